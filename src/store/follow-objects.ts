/** Follows all objects of one kind: a list, then watches from its revision. */
import { sleep } from '../common/clock.js';
import type { Logger } from '../telemetry/log.js';
import type { ObjectChange, ObjectStore, StoredObject } from './object-store.js';

/** Who follows and what to do with what is found. */
export interface FollowObjectsOptions {
  readonly store: ObjectStore;
  readonly objectKind: string;
  /** Between two watches, so that changes in quick succession come together, in milliseconds. */
  readonly batchPauseMilliseconds?: () => number;
  /** How long one watch may wait, in milliseconds. */
  readonly waitMilliseconds?: number;
  readonly onList: (objects: readonly StoredObject[], revision: number) => void;
  readonly onChanges: (changes: readonly ObjectChange[], revision: number) => void;
  /** Called after each answer of the store. */
  readonly onStoreAnswer: () => void;
  /** Called when a call fails. */
  readonly onStoreUnavailable?: () => void;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

const DEFAULT_WAIT_MILLISECONDS = 10_000;
const FIRST_PAUSE_MILLISECONDS = 40;
const LONGEST_PAUSE_MILLISECONDS = 320;

/** Grows the pause between tries while the store is away. */
class Pause {
  #milliseconds = FIRST_PAUSE_MILLISECONDS;

  isFailing = false;

  reset(): void {
    this.#milliseconds = FIRST_PAUSE_MILLISECONDS;
    this.isFailing = false;
  }

  async wait(signal: AbortSignal): Promise<void> {
    this.isFailing = true;
    await sleep(this.#milliseconds * (0.5 + Math.random()), signal);
    this.#milliseconds = Math.min(LONGEST_PAUSE_MILLISECONDS, 2 * this.#milliseconds);
  }
}

/**
 * Follows a kind until the signal aborts.
 *
 * @param options - What to follow and whom to tell.
 */
export async function followObjects(options: FollowObjectsOptions): Promise<void> {
  const { store, objectKind, onList, onChanges, onStoreAnswer: onContact, log, signal } = options;
  const { onStoreUnavailable: onLost = () => undefined } = options;
  const {
    waitMilliseconds = DEFAULT_WAIT_MILLISECONDS,
    batchPauseMilliseconds: pauseMilliseconds = () => 0,
  } = options;
  const pause = new Pause();
  let revision: number | undefined;
  const noteContact = (): void => {
    if (pause.isFailing) log.info('Store regained.', { objectKind, revision });
    pause.reset();
    onContact();
  };
  const noteFailure = async (message: string): Promise<void> => {
    if (!pause.isFailing) log.warn('Store lost.', { objectKind, revision, message });
    onLost();
    await pause.wait(signal);
  };
  while (!signal.aborted) {
    if (revision === undefined) {
      const listed = await store.list(objectKind);
      if (listed.kind === 'listed') {
        noteContact();
        revision = listed.revision;
        onList(listed.objects, revision);
      } else {
        await noteFailure(listed.message);
      }
    } else {
      const watched = await store.watch(objectKind, { since: revision, waitMilliseconds, signal });
      if (watched.kind === 'changed') {
        noteContact();
        revision = Math.max(revision, watched.revision);
        if (watched.changes.length > 0) {
          onChanges(watched.changes, revision);
          const milliseconds = pauseMilliseconds();
          if (milliseconds > 0) await sleep(milliseconds, signal);
        }
      } else if (watched.kind === 'historyLost') {
        log.info('History of the store is gone; reading it whole.', { objectKind, revision });
        noteContact();
        revision = undefined;
      } else if (!signal.aborted) {
        await noteFailure(watched.message);
        // A store that lost its history meanwhile may let a watch from an old revision wait.
        revision = undefined;
      }
    }
  }
}
