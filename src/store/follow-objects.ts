/**
 * Follows all objects of one kind in the object store: lists them once, then watches for changes
 * from the revision of the list. Lists them again if the store's history is lost or a watch fails.
 */
import { sleep } from '../common/clock.js';
import type { Logger } from '../telemetry/log.js';
import type { Confirmation } from './confirmation.js';
import { isLater, type StorePosition } from './store-position.js';
import type { ObjectChange, ObjectStore, StoredObject, StoreUnavailable } from './object-store.js';

/** Options of {@link followObjects}. */
export interface FollowObjectsOptions {
  readonly store: ObjectStore;
  /** The kind of object to follow. */
  readonly objectKind: string;
  /**
   * Returns the pause after a change before the next watch, so that changes in quick succession
   * arrive as one batch. Read anew after each batch; no pause by default.
   */
  readonly batchPauseMilliseconds?: () => number;
  /** When the store last answered this follower; decides how long watches wait, and over which connections. */
  readonly confirmation: Confirmation;
  /**
   * Whether the store need not be called now, because peers provide the objects; never by default. A
   * watch that is waiting is not interrupted.
   */
  readonly isPaused?: () => boolean;
  /**
   * After a pause: whether peers have provided newer objects whose position isn't known. They are listed then, since a
   * watch from the old revision would bring each change that peers have provided already; never by default.
   */
  readonly isListedAfterPause?: () => boolean;
  /** After a pause: what the objects provided by peers reflect; revision 0 if there are none. */
  readonly knownPosition?: () => StorePosition;
  /**
   * Ends the watch that waits when it aborts, so that another one begins; read anew for each watch. It aborts
   * with `signal` as well, which is the default.
   */
  readonly watchSignal?: () => AbortSignal;
  /** Called with all objects after each list. */
  readonly onList: (objects: readonly StoredObject[], revision: number, era: number) => void;
  /** Called with the changes that a watch returned, never with none. */
  readonly onChanges: (changes: readonly ObjectChange[], revision: number, era: number) => void;
  /** Called after each answer from the store, whatever it says. */
  readonly onStoreAnswer: () => void;
  /**
   * Called once all is known that the store held at a time, on the monotonic clock: after a list, and after a watch
   * without changes. An answer may have been under way, or have waited for this process to read it, since the store was asked.
   */
  readonly onCurrent?: (heldAt: number) => void;
  /** Called after each call that fails, with whether its connection was silent. */
  readonly onStoreUnavailable?: (isSilent: boolean) => void;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

const PAUSE_POLL_MILLISECONDS = 100;
const INITIAL_BACKOFF_MILLISECONDS = 40;
const MAXIMUM_BACKOFF_MILLISECONDS = 320;

/** Exponential backoff with jitter between attempts while the store is unavailable. */
class RetryBackoff {
  #milliseconds = INITIAL_BACKOFF_MILLISECONDS;

  isFailing = false;

  reset(): void {
    this.#milliseconds = INITIAL_BACKOFF_MILLISECONDS;
    this.isFailing = false;
  }

  async wait(signal: AbortSignal): Promise<void> {
    this.isFailing = true;
    await sleep(this.#milliseconds * (0.5 + Math.random()), signal);
    this.#milliseconds = Math.min(MAXIMUM_BACKOFF_MILLISECONDS, 2 * this.#milliseconds);
  }
}

function toWholeMilliseconds(milliseconds: number): number | undefined {
  return Number.isFinite(milliseconds) ? Math.round(milliseconds) : undefined;
}

/** Whether an answer is of another era; not if it doesn't tell one that can be read, which counts as 0. */
function isOtherEra(told: number | undefined, known: number): boolean {
  return told !== undefined && told !== 0 && told !== known;
}

async function waitWhilePaused(isPaused: () => boolean, signal: AbortSignal): Promise<void> {
  while (isPaused() && !signal.aborted) await sleep(PAUSE_POLL_MILLISECONDS, signal);
}

/**
 * Follows the objects of one kind until the signal aborts. Never throws for an unavailable store,
 * but retries until it answers.
 *
 * @param options - The kind of object and the callbacks for what is found.
 */
export async function followObjects(options: FollowObjectsOptions): Promise<void> {
  const { store, objectKind, onList, onChanges, onStoreAnswer, log, signal } = options;
  const { onStoreUnavailable = () => undefined, onCurrent = () => undefined } = options;
  const { isPaused = () => false, watchSignal = () => signal } = options;
  const { isListedAfterPause = () => false } = options;
  const { knownPosition = () => ({ era: 0, revision: 0 }) } = options;
  const { confirmation, batchPauseMilliseconds = () => 0 } = options;
  const backoff = new RetryBackoff();
  let revision: number | undefined;
  let era = 0;
  const recordAnswer = (latencyMilliseconds?: number): void => {
    confirmation.confirm(latencyMilliseconds);
    if (backoff.isFailing) log.info('Object store is available again.', { objectKind, revision });
    backoff.reset();
    onStoreAnswer();
  };
  const recordFailure = async ({ message, isSilent = false }: StoreUnavailable): Promise<void> => {
    if (!backoff.isFailing) {
      const ageMilliseconds = toWholeMilliseconds(confirmation.ageMilliseconds);
      const failure = { objectKind, revision, message, isSilent, ageMilliseconds };
      log.warn('Object store is unavailable; retrying.', failure);
    }
    confirmation.fail(isSilent);
    onStoreUnavailable(isSilent);
    await backoff.wait(signal);
  };
  while (!signal.aborted) {
    if (isPaused()) {
      await waitWhilePaused(isPaused, signal);
      if (isListedAfterPause()) revision = undefined;
      const known = knownPosition();
      if (known.revision > 0 && isLater(known, { era, revision: revision ?? 0 })) {
        revision = known.revision;
        era = known.era ?? era;
      }
    } else if (revision === undefined) {
      const { isOnNewConnection, listTimeoutMilliseconds } = confirmation.planCall();
      const startedAt = performance.now();
      const listed = await store.list(objectKind, {
        isOnNewConnection,
        timeoutMilliseconds: listTimeoutMilliseconds,
      });
      if (listed.kind === 'listed') {
        recordAnswer(performance.now() - startedAt);
        revision = listed.revision;
        // Without an era the list is taken for one of the era that is known.
        if (isOtherEra(listed.era, era)) era = listed.era ?? era;
        onList(listed.objects, revision, era);
        onCurrent(startedAt);
      } else {
        await recordFailure(listed);
      }
    } else {
      const ended = watchSignal();
      const { isOnNewConnection, waitMilliseconds, allowanceMilliseconds } =
        confirmation.planCall();
      const startedAt = performance.now();
      const watched = await store.watch(objectKind, {
        since: revision,
        waitMilliseconds,
        allowanceMilliseconds,
        isOnNewConnection,
        signal: ended,
      });
      if (watched.kind === 'changed' && isOtherEra(watched.era, era)) {
        // Its revision says nothing of what the older copy lacks.
        log.warn('Object store is back from an older copy; listing all objects.', {
          objectKind,
          revision,
          era,
          newEra: watched.era,
        });
        confirmation.confirm();
        revision = undefined;
      } else if (watched.kind === 'changed') {
        const hasWaited = watched.changes.length === 0;
        recordAnswer(hasWaited ? performance.now() - startedAt - waitMilliseconds : undefined);
        revision = Math.max(revision, watched.revision);
        if (!hasWaited) onChanges(watched.changes, revision, era);
        // An answer with changes may be cut short by its size, so that the store has further ones.
        if (hasWaited) {
          // Without a change the store has waited before it answered, unless the watch was cut off.
          const waitedUntil = startedAt + waitMilliseconds;
          onCurrent(waitedUntil <= performance.now() ? waitedUntil : startedAt);
        } else {
          const milliseconds = batchPauseMilliseconds();
          if (milliseconds > 0) await sleep(milliseconds, signal);
        }
      } else if (watched.kind === 'historyLost') {
        log.info(
          'Object store no longer has the changes since this revision; listing all objects.',
          { objectKind, revision },
        );
        recordAnswer();
        revision = undefined;
      } else if (!ended.aborted) {
        await recordFailure(watched);
        // The objects are listed again: if the store has lost its history meanwhile, a watch from
        // the old revision could wait without ever seeing a change.
        revision = undefined;
      }
    }
  }
}
