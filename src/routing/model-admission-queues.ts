/** Keeps one admission queue per combination of model, version, adapter and accelerator kinds. */
import type { BackendDirectory } from '../backend/directory.js';
import { AdmissionQueue } from './admission-queue.js';
import { LruMap } from '../common/lru-map.js';

/** A version of a model as it is served, for which there is one admission queue. */
export interface ServedVersion {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  /** The accelerator kinds that may be used; empty allows every kind. */
  readonly fleets: readonly string[];
}

/** Above this number the least recently used queue is dropped from the map. */
const MAXIMUM_QUEUES = 1000;

/**
 * Sums the concurrency limits of the engines that can be the first stage of a chain.
 *
 * @param directory - The known backend servers.
 * @param served - The model, version, adapter and accelerator kinds that the engines must match.
 * @returns How many generations this instance may run concurrently.
 */
export function sumFirstStageLimits(directory: BackendDirectory, served: ServedVersion): number {
  const now = performance.now();
  return directory.findEngines(served.model).reduce((sum, server) => {
    const { engine } = server;
    const canBeFirstStage =
      engine?.from === 0 &&
      engine.version === served.version &&
      engine.adapter === served.adapter &&
      (served.fleets.length === 0 || served.fleets.includes(engine.accelerator));
    return canBeFirstStage && server.isUsable(now) ? sum + server.limit.value : sum;
  }, 0);
}

export class ModelAdmissionQueues {
  readonly #queues = new LruMap<string, AdmissionQueue>(MAXIMUM_QUEUES);

  readonly #directory: BackendDirectory;

  readonly #maximumQueued: number;

  constructor(options: { readonly directory: BackendDirectory; readonly maximumQueued: number }) {
    this.#directory = options.directory;
    this.#maximumQueued = options.maximumQueued;
  }

  /**
   * Finds or creates the admission queue of a served version.
   *
   * @param served - The model, version, adapter and accelerator kinds.
   * @returns The queue, always the same one for equal values.
   */
  queueFor(served: ServedVersion): AdmissionQueue {
    const key = JSON.stringify([served.model, served.version, served.adapter, served.fleets]);
    const existing = this.#queues.get(key);
    if (existing) return existing;
    const queue = new AdmissionQueue({
      maximumConcurrency: () => sumFirstStageLimits(this.#directory, served),
      maximumQueued: this.#maximumQueued,
    });
    this.#queues.set(key, queue);
    return queue;
  }

  /** Sets the concurrency of every queue to what the servers' limits allow now. */
  updateConcurrency(): void {
    [...this.#queues.entries()].forEach(([, queue]) => queue.updateConcurrency());
  }
}
