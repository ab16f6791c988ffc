/**
 * The recorded history of a test run under faults, and the checks of the guarantees that must hold
 * in every such run.
 */

/** A request of a caller and its result. Times are wall-clock milliseconds since 1970. */
export interface Submission {
  readonly id: string;
  readonly sentAt: number;
  readonly answeredAt: number;
  /** The outcome that the response states, or `broken` if the caller got no complete response. */
  readonly outcome: string;
  /** The idempotency key of a call to a plain service. */
  readonly key?: string;
  /** Whether the call may run more than once. */
  readonly isIdempotent?: boolean;
  /** The complete, correct answer, if it is known. */
  readonly expected?: string;
  /** The part of the answer that arrived. */
  readonly received: string;
}

/** One call that a plain service executed. */
export interface Execution {
  /** The id of the submission that caused it. */
  readonly submission: string | undefined;
  readonly key: string | undefined;
  readonly startedAt: number;
}

/** A new request that reached a backend server. */
export interface Arrival {
  readonly server: string;
  readonly at: number;
}

/** The revision of a team's branch that was in force on an instance at one time. */
export interface RevisionObservation {
  readonly instance: string;
  readonly team: string;
  readonly revision: number;
}

/** Everything that was recorded during a run. */
export interface History {
  readonly submissions: readonly Submission[];
  readonly executions: readonly Execution[];
  /** Number of runs, by request, attempt, token position and first layer of the range. */
  readonly layerRuns?: ReadonlyMap<string, number>;
  readonly arrivals?: readonly Arrival[];
  /** When each leaving server began to leave, by server. */
  readonly leavingSince?: ReadonlyMap<string, number>;
  /** In the order in which they were read. */
  readonly revisions?: readonly RevisionObservation[];
}

/** A guarantee that the history violates. */
export interface Violation {
  readonly rule: string;
  /** The submission, key, server or instance in question. */
  readonly subject: string;
}

/** Returns the subjects for which the history violates the rule. */
type Check = (history: History) => string[];

/** The time after which no instance may send new requests to a leaving server. */
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
  /**
   * A call with an idempotency key, or one that is not idempotent, runs at most once, however often
   * it is sent.
   */
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
  /**
   * A call that was refused as not run did not run, and no earlier call with its key had run
   * either.
   */
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
  /** A completed call with an idempotency key has run. */
  'completed did run': ({ submissions, executions }) =>
    submissions
      .filter((one) => one.outcome === 'completed' && one.key !== undefined)
      .filter((one) => !executions.some((run) => run.key === one.key))
      .map((one) => one.id),
  /** The answer of a completed request is complete and belongs to that request. */
  'whole and own answer': ({ submissions }) =>
    submissions
      .filter((one) => one.outcome === 'completed' && one.expected !== undefined)
      .filter((one) => one.received !== one.expected)
      .map((one) => one.id),
  /** The received part of an incomplete answer is a prefix of the correct one. */
  'right as far as it came': ({ submissions }) =>
    submissions
      .filter((one) => one.outcome !== 'completed' && one.expected !== undefined)
      .filter((one) => !one.expected?.startsWith(one.received))
      .map((one) => one.id),
  /** Within an attempt, each layer range runs exactly once for each token. */
  'each layer once': ({ layerRuns = new Map<string, number>() }) =>
    [...layerRuns].filter(([, runs]) => runs !== 1).map(([name]) => name),
  /** A leaving server gets no new requests after the grace period. */
  'nothing new for the leaving': ({ arrivals = [], leavingSince = new Map<string, number>() }) =>
    arrivals
      .filter(({ server, at }) => {
        const since = leavingSince.get(server);
        return since !== undefined && at > since + LEAVING_GRACE_MILLISECONDS;
      })
      .map(({ server }) => server),
  /** No instance returns to an older revision. */
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
 * Checks a history against all guarantees.
 *
 * @param history - The recorded run.
 * @returns Every violation; an empty list if there is none.
 */
export function checkHistory(history: History): Violation[] {
  return Object.entries(CHECKS).flatMap(([rule, check]) =>
    check(history).map((subject) => ({ rule, subject })),
  );
}
