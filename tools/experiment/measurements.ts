/** What an experiment measured, summed up. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { StreamAnswer } from '../caller.js';

/** One request of an experiment. */
export interface RequestMeasurement {
  readonly account: string;
  readonly phase: string;
  readonly answer: StreamAnswer;
  readonly endedAt: number;
  readonly isCorrect: boolean;
}

/** Times of one group of requests, in milliseconds. */
export interface RequestSummary {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  readonly other: number;
  readonly wrong: number;
  readonly firstToken50: number;
  readonly firstToken95: number;
  readonly gap95: number;
  readonly total95: number;
  readonly longestGap: number;
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 3 });
}

/**
 * Sums up requests.
 *
 * @param measurements - The requests.
 * @returns Counts and percentiles.
 */
export function summariseRequests(measurements: readonly RequestMeasurement[]): RequestSummary {
  const firstTokenTimes = createHistogram();
  const tokenGaps = createHistogram();
  const totalTimes = createHistogram();
  let longestGap = 0;
  measurements.forEach(({ answer, endedAt }) => {
    if (answer.outcome !== 'completed') return;
    totalTimes.recordValue(endedAt - answer.sentAt);
    answer.tokenTimes.forEach((tokenAt, index) => {
      const previousTokenAt = answer.tokenTimes[index - 1];
      if (previousTokenAt === undefined) firstTokenTimes.recordValue(tokenAt - answer.sentAt);
      else {
        tokenGaps.recordValue(tokenAt - previousTokenAt);
        longestGap = Math.max(longestGap, tokenAt - previousTokenAt);
      }
    });
  });
  const countOutcome = (outcome: string): number =>
    measurements.filter(({ answer }) => answer.outcome === outcome).length;
  const completed = countOutcome('completed');
  const refused = countOutcome('refused');
  return {
    requests: measurements.length,
    completed,
    refused,
    other: measurements.length - completed - refused,
    wrong: measurements.filter(({ isCorrect }) => !isCorrect).length,
    firstToken50: firstTokenTimes.getValueAtPercentile(50),
    firstToken95: firstTokenTimes.getValueAtPercentile(95),
    gap95: tokenGaps.getValueAtPercentile(95),
    total95: totalTimes.getValueAtPercentile(95),
    longestGap: Math.round(longestGap),
  };
}

/**
 * Counts the tokens of completed requests that came within a span.
 *
 * @param measurements - The requests.
 * @param startAt - The span's start on the monotonic clock.
 * @param endAt - Its end.
 * @returns Tokens a second.
 */
export function computeTokensPerSecond(
  measurements: readonly RequestMeasurement[],
  startAt: number,
  endAt: number,
): number {
  const tokens = measurements.reduce((sum, { answer }) => {
    if (answer.outcome !== 'completed') return sum;
    return sum + answer.tokenTimes.filter((time) => time >= startAt && time < endAt).length;
  }, 0);
  return (tokens * 1000) / (endAt - startAt);
}
