/** What an instance tells its peers of parts of prompts that end engines, bounded in size. */
import type { RequestContent } from './blocked-parts.js';
import type { EngineEnd, EngineEnds } from './engine-ends.js';

/** What an instance tells its peers. Times are in milliseconds on its own monotonic clock. */
export interface ReportedPartRecords {
  /** By process: when it ended, and for each request that it had just begun the hash and the parts. */
  readonly ends: Record<string, [endedAt: number, requests: string[][]]>;
  /**
   * By part: when an engine first began to write on it after the last end at which it was beginning, or else
   * when one did before.
   */
  readonly written: Record<string, number>;
  /** By blocked part: when an instance last tried a request with it. */
  readonly tried: Record<string, number>;
}

/** An end with the requests of it that peers are told of. */
interface DescribedEnd {
  readonly end: EngineEnd;
  readonly requests: readonly RequestContent[];
}

// Bounds on the size of the records that peers exchange.
const MAXIMUM_REPORTED_ENDS = 40;
const MAXIMUM_REPORTED_REQUESTS_PER_END = 8;
const MAXIMUM_REPORTED_PARTS_PER_REQUEST = 16;

/** Chooses the requests of each end, those that were beginning at the most ends first. */
function chooseRequests(reported: readonly EngineEnd[], ends: EngineEnds): DescribedEnd[] {
  const endsByContent = ends.countByContent();
  const countEnds = ({ hash }: RequestContent): number => endsByContent.get(hash) ?? 0;
  return reported.slice(0, MAXIMUM_REPORTED_ENDS).map((end) => ({
    end,
    requests: [...end.beginning]
      .sort((one, two) => countEnds(two) - countEnds(one))
      .slice(0, MAXIMUM_REPORTED_REQUESTS_PER_END),
  }));
}

function describeEnd({ end, requests }: DescribedEnd): ReportedPartRecords['ends'][string] {
  return [
    Math.round(end.endedAt),
    requests.map(({ hash, sharedParts }) => [
      hash,
      ...sharedParts.slice(0, MAXIMUM_REPORTED_PARTS_PER_REQUEST),
    ]),
  ];
}

/** Rounds the times that are known. */
function describeTimes(
  parts: readonly string[],
  findTime: (part: string) => number | undefined,
): Record<string, number> {
  const times: Record<string, number> = {};
  parts.forEach((part) => {
    const time = findTime(part);
    if (time !== undefined) times[part] = Math.round(time);
  });
  return times;
}

/** What {@link describePartRecords} describes. */
export interface DescribedRecords {
  /** The ends to tell of, the most important ones first. */
  readonly reported: readonly EngineEnd[];
  /** All ends that are known. */
  readonly ends: EngineEnds;
  readonly blockedParts: readonly string[];
  /** Returns when a blocked part was last tried, or undefined if it never was. */
  readonly findTriedAt: (part: string) => number | undefined;
}

/**
 * Describes what an instance knows for its peers.
 *
 * @param records - The ends to tell of, and what is known about their parts.
 * @returns The records, without what exceeds the bounds.
 */
export function describePartRecords({
  reported,
  ends,
  blockedParts,
  findTriedAt,
}: DescribedRecords): ReportedPartRecords {
  const described = chooseRequests(reported, ends);
  const parts = described.flatMap(({ requests }) =>
    requests.flatMap(({ sharedParts }) => sharedParts),
  );
  return {
    ends: Object.fromEntries(described.map((each) => [each.end.processKey, describeEnd(each)])),
    written: describeTimes(parts, (part) => ends.findFirstWrittenAt(part)),
    tried: describeTimes(blockedParts, findTriedAt),
  };
}
