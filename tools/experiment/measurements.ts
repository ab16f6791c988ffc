/** Summarises the requests measured in an experiment: counts, latencies and throughput. */
import { build, type Histogram } from 'hdr-histogram-js';
import type { StreamResult } from '../caller.js';

/** A finished request of an experiment. */
export interface RequestMeasurement {
  readonly account: string;
  readonly phase: string;
  readonly answer: StreamResult;
  /** When the request ended, in milliseconds on the monotonic clock. */
  readonly endedAt: number;
  /** Whether all received tokens are the expected ones and a completed request has all of them. */
  readonly isCorrect: boolean;
}

/**
 * Counts and latencies of a group of requests. Latencies are in milliseconds and cover
 * completed requests only; a number in a name is the percentile. `firstToken50` is the median
 * time to the first token, and a gap is the time between two tokens of a request.
 */
export interface RequestSummary {
  readonly requests: number;
  readonly completed: number;
  readonly refused: number;
  /** Requests that were neither completed nor refused. */
  readonly other: number;
  /** Requests with a token that is not the expected one, or completed with too few or too many. */
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
 * Summarises a group of requests.
 *
 * @param measurements - The finished requests, whatever their outcome.
 * @returns The counts over all requests and the latencies of the completed ones.
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
 * Computes the throughput in a time span from the tokens of completed requests.
 *
 * @param measurements - The finished requests; those that were not completed are ignored.
 * @param startAt - The start of the span, in milliseconds on the monotonic clock.
 * @param endAt - The end of the span, exclusive, on the same clock.
 * @returns The throughput in tokens per second.
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
