/**
 * Decides which parts of prompts are blocked, because engines end as soon as they begin to write an answer on
 * them. Handles requests of which no two are alike, but which have such a part in common, beside sound
 * requests that share their other parts, and engines that end for other reasons.
 *
 * - Only requests that an engine had just begun can have ended it; one that was being written isn't at fault.
 * - A part on which an engine began to write later than an end, and lived on, didn't cause that end.
 * - Each end has one cause: ends that a blocked part explains count against no other part.
 * - Engines that end at the same moment fail together, for a reason of their own: they count once.
 * - What requests with the part had in common at all ends can't be told apart, so only requests that have
 *   all of it are blocked; the others go on and show which of the parts it is.
 */

/** What identifies a request to those that look for the cause of an end. */
export interface RequestContent {
  /** A hash over account, path and body, the same on all instances. */
  readonly hash: string;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly sharedParts: readonly string[];
}

/** A process of an engine that has ended, and the requests that it had just begun. */
export interface EndedProcess {
  readonly processKey: string;
  /** In milliseconds on the monotonic clock. */
  readonly endedAt: number;
  readonly beginning: readonly RequestContent[];
}

/** A part with which requests are blocked. */
export interface BlockedPart {
  readonly part: string;
  /** The parts that a request must all have to be blocked, this one included. */
  readonly commonParts: readonly string[];
  /** Other parts that would explain almost as many of these ends; a trial should have none of them. */
  readonly rivals: readonly string[];
  /** The processes whose ends it explains. */
  readonly processKeys: readonly string[];
  /** Whether an engine wrote on it before, as far as is known. */
  readonly wasWrittenBefore: boolean;
}

/** What the decision rests on. */
export interface BlockingEvidence {
  readonly ends: readonly EndedProcess[];
  /** When an engine last began to write on a part and lived on; undefined if that isn't known. */
  readonly writtenAt: (part: string) => number | undefined;
  readonly now: number;
}

/** A part is blocked once processes ended as they began to write on it at this many different moments. */
export const ENDS_TO_BLOCK = 3;
/** Ends within this time are of one moment. */
const MOMENT_MILLISECONDS = 50;
/**
 * A part on which engines did write before is blocked only when none has for this long: when many engines
 * fail together, requests that were beginning there are cleared by those that begin elsewhere.
 */
const UNWRITTEN_MILLISECONDS = 1000;

/** A part, with the ends that no other part explains so far. */
interface Candidate {
  readonly part: string;
  readonly ends: readonly EndedProcess[];
  /** At how many different moments these were. */
  readonly moments: number;
  readonly writtenAt: number | undefined;
}

function isCleared(
  { writtenAt }: BlockingEvidence,
  part: string,
  { endedAt }: EndedProcess,
): boolean {
  return (writtenAt(part) ?? Number.NEGATIVE_INFINITY) > endedAt;
}

function countMoments(ends: readonly EndedProcess[]): number {
  const times = ends.map(({ endedAt }) => endedAt).sort((one, two) => one - two);
  let count = 0;
  let momentBegan = Number.NEGATIVE_INFINITY;
  times.forEach((time) => {
    if (time - momentBegan <= MOMENT_MILLISECONDS) return;
    momentBegan = time;
    count += 1;
  });
  return count;
}

/** Lists the parts that weren't written on since ends of at least so many moments. */
function listCandidates(
  evidence: BlockingEvidence,
  ends: readonly EndedProcess[],
  minimumMoments = ENDS_TO_BLOCK,
): Candidate[] {
  const endsByPart = new Map<string, EndedProcess[]>();
  ends.forEach((end) => {
    const parts = new Set(end.beginning.flatMap(({ sharedParts }) => sharedParts));
    parts.forEach((part) => {
      if (isCleared(evidence, part, end)) return;
      const known = endsByPart.get(part);
      if (known) known.push(end);
      else endsByPart.set(part, [end]);
    });
  });
  return [...endsByPart]
    .map(([part, partEnds]) => ({
      part,
      ends: partEnds,
      moments: countMoments(partEnds),
      writtenAt: evidence.writtenAt(part),
    }))
    .filter(({ moments }) => moments >= minimumMoments)
    .filter(({ writtenAt = -Infinity }) => evidence.now - writtenAt >= UNWRITTEN_MILLISECONDS);
}

/** Sorts the likelier cause first: never written on, ends at more moments, written on longer ago. */
function compareByLikelihood(one: Candidate, other: Candidate): number {
  return (
    Number(one.writtenAt !== undefined) - Number(other.writtenAt !== undefined) ||
    other.moments - one.moments ||
    other.ends.length - one.ends.length ||
    (one.writtenAt ?? 0) - (other.writtenAt ?? 0) ||
    (one.part < other.part ? -1 : 1)
  );
}

function findCommon([first = [], ...others]: readonly (readonly string[])[]): string[] {
  const otherSets = others.map((items) => new Set(items));
  return [...new Set(first)].filter((item) => otherSets.every((items) => items.has(item)));
}

/** Whether some content was beginning at all of the ends, so that it is the likelier cause. */
function haveCommonContent(ends: readonly EndedProcess[]): boolean {
  return findCommon(ends.map(({ beginning }) => beginning.map(({ hash }) => hash))).length > 0;
}

/** Parts that some request with the candidate part had at each of its ends. */
function findCommonParts({ part, ends }: Candidate): string[] {
  return findCommon(
    ends.map(({ beginning }) =>
      beginning.flatMap(({ sharedParts }) => (sharedParts.includes(part) ? sharedParts : [])),
    ),
  );
}

/**
 * Chooses the parts to block.
 *
 * @param evidence - Ends of engines, and what was written since.
 * @returns The blocked parts, the likeliest cause first. A part isn't blocked while one content was beginning
 *   at all of its ends, with the part or not; that content is blocked by itself.
 */
export function chooseBlockedParts(evidence: BlockingEvidence): BlockedPart[] {
  const blocked: BlockedPart[] = [];
  let unexplained = evidence.ends;
  for (;;) {
    const [likeliest] = listCandidates(evidence, unexplained).sort(compareByLikelihood);
    if (!likeliest) return blocked;
    const { part, ends, writtenAt } = likeliest;
    const explained = new Set(ends.map(({ processKey }) => processKey));
    unexplained = unexplained.filter(({ processKey }) => !explained.has(processKey));
    if (!haveCommonContent(ends)) {
      const commonParts = findCommonParts(likeliest).filter(
        (common) => !ends.some((end) => isCleared(evidence, common, end)),
      );
      blocked.push({
        part,
        commonParts,
        rivals: listCandidates(evidence, ends, ENDS_TO_BLOCK - 1)
          .map((rival) => rival.part)
          .filter((rival) => !commonParts.includes(rival)),
        processKeys: [...explained],
        wasWrittenBefore: writtenAt !== undefined,
      });
    }
  }
}

/**
 * Tells whether a blocked part blocks a request.
 *
 * @param blocked - The blocked part.
 * @param content - The request.
 */
export function isBlockedBy(
  { commonParts }: BlockedPart,
  { sharedParts }: RequestContent,
): boolean {
  return commonParts.every((part) => sharedParts.includes(part));
}
