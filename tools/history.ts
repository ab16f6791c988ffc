/**
 * A history of a run under faults, and the checks of what must always hold. The tests, the demo
 * and the load tool use the same checks.
 */

/** What a caller asked for and was told. Times are wall-clock milliseconds. */
export interface Submission {
  readonly id: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  /** The outcome's kind, or `broken` when the caller got no whole answer. */
  readonly outcome: string;
  /** The idempotency key of a call to a plain service. */
  readonly key?: string;
  /** Whether the call may run more than once. */
  readonly isIdempotent?: boolean;
  /** What a whole, right answer has to contain or be. */
  readonly expected?: string;
  /** What came, as far as it came. */
  readonly received: string;
}

/** One execution at a plain service. */
export interface Execution {
  readonly submission: string | undefined;
  readonly key: string | undefined;
  readonly startedAt: number;
}

/** New work that reached a backend server. */
export interface Arrival {
  readonly server: string;
  readonly at: number;
}

/** One sighting of a branch's revision in force on an instance. */
export interface RevisionSighting {
  readonly instance: string;
  readonly team: string;
  readonly revision: number;
}

/** Everything that was seen. */
export interface History {
  readonly submissions: readonly Submission[];
  readonly executions: readonly Execution[];
  /** How often each layer range ran, by request, attempt, position and first layer. */
  readonly layerRuns?: ReadonlyMap<string, number>;
  readonly arrivals?: readonly Arrival[];
  /** When each leaving server began to leave. */
  readonly leavingSince?: ReadonlyMap<string, number>;
  /** Sightings in the order in which they were made. */
  readonly revisions?: readonly RevisionSighting[];
}

/** A promise that the history breaks. */
export interface Violation {
  readonly rule: string;
  readonly subject: string;
}

type Check = (history: History) => string[];

/** After this long, nobody may send new work to a server that leaves. */
export const LEAVING_GRACE_MILLISECONDS = 3000;

function groupBy<Item>(
  items: readonly Item[],
  getGroupName: (item: Item) => string,
): Map<string, Item[]> {
  const groups = new Map<string, Item[]>();
  items.forEach((item) => {
    const name = getGroupName(item);
    groups.set(name, [...(groups.get(name) ?? []), item]);
  });
  return groups;
}

const CHECKS: Readonly<Record<string, Check>> = {
  /** What is not idempotent runs at most once, whoever sends it how often. */
  'at most once': ({ executions, submissions }) => {
    const idempotentIds = new Set(
      submissions.filter((one) => one.isIdempotent).map((one) => one.id),
    );
    const atMostOnceRuns = executions.filter(
      (one) => one.key ?? !idempotentIds.has(one.submission ?? ''),
    );
    const groups = groupBy(atMostOnceRuns, (one) => one.key ?? `submission ${one.submission}`);
    return [...groups].filter(([, runs]) => runs.length > 1).map(([name]) => name);
  },
  /** What was refused as not run did not run, nor had an earlier submission of its key. */
  'refused did not run': ({ submissions, executions }) =>
    submissions
      .filter((one) => one.outcome === 'refused')
      .filter((one) =>
        executions.some(
          (run) =>
            run.submission === one.id ||
            (one.key !== undefined && run.key === one.key && run.startedAt < one.sentAt),
        ),
      )
      .map((one) => one.id),
  /** A completed call did run. */
  'completed did run': ({ submissions, executions }) =>
    submissions
      .filter((one) => one.outcome === 'completed' && one.key !== undefined)
      .filter((one) => !executions.some((run) => run.key === one.key))
      .map((one) => one.id),
  /** A completed answer is whole and the caller's own. */
  'whole and own answer': ({ submissions }) =>
    submissions
      .filter((one) => one.outcome === 'completed' && one.expected !== undefined)
      .filter((one) => one.received !== one.expected)
      .map((one) => one.id),
  /** What came of an unfinished answer is a right beginning of it. */
  'right as far as it came': ({ submissions }) =>
    submissions
      .filter((one) => one.outcome !== 'completed' && one.expected !== undefined)
      .filter((one) => !one.expected?.startsWith(one.received))
      .map((one) => one.id),
  /** Within an attempt, a layer range runs once for each token. */
  'each layer once': ({ layerRuns = new Map<string, number>() }) =>
    [...layerRuns].filter(([, runs]) => runs !== 1).map(([name]) => name),
  /** A leaving server gets no new work after a few seconds. */
  'nothing new for the leaving': ({ arrivals = [], leavingSince = new Map<string, number>() }) =>
    arrivals
      .filter(({ server, at }) => {
        const since = leavingSince.get(server);
        return since !== undefined && at > since + LEAVING_GRACE_MILLISECONDS;
      })
      .map(({ server }) => server),
  /** No instance goes back to an older revision. */
  'revisions only grow': ({ revisions = [] }) => {
    const highestRevisions = new Map<string, number>();
    return revisions
      .filter(({ instance, team, revision }) => {
        const name = `${instance}/${team}`;
        const isLower = revision < (highestRevisions.get(name) ?? 0);
        highestRevisions.set(name, Math.max(revision, highestRevisions.get(name) ?? 0));
        return isLower;
      })
      .map(({ instance, team }) => `${instance}/${team}`);
  },
};

/**
 * Checks a history against everything that must always hold.
 *
 * @param history - What was seen.
 * @returns Every violation; none when all of it held.
 */
export function checkHistory(history: History): Violation[] {
  return Object.entries(CHECKS).flatMap(([rule, check]) =>
    check(history).map((subject) => ({ rule, subject })),
  );
}
