/** One admission queue for each model, version, adapter and set of fleets. */
import type { BackendDirectory } from '../backend/directory.js';
import { AdmissionQueue } from './admission-queue.js';
import { LruMap } from '../common/lru-map.js';

/** What a queue is for. */
export interface ServedVersion {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly fleets: readonly string[];
}

const MAXIMUM_QUEUES = 1000;

/**
 * Sums the limits of the engines that could be a pipeline's first stage.
 *
 * @param directory - The engines.
 * @param served - What they must hold.
 * @returns How many generations may run at once from here.
 */
export function firstStageConcurrency(directory: BackendDirectory, served: ServedVersion): number {
  const now = performance.now();
  return directory.enginesOf(served.model).reduce((sum, server) => {
    const { engine } = server;
    const isFirst =
      engine?.from === 0 &&
      engine.version === served.version &&
      engine.adapter === served.adapter &&
      (served.fleets.length === 0 || served.fleets.includes(engine.accelerator));
    return isFirst && server.isUsable(now) ? sum + server.limit.value : sum;
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
   * Gives the queue for a version of a model.
   *
   * @param served - The model, version, adapter and fleets.
   * @returns The queue, made if there was none.
   */
  queueFor(served: ServedVersion): AdmissionQueue {
    const name = JSON.stringify([served.model, served.version, served.adapter, served.fleets]);
    const known = this.#queues.get(name);
    if (known) return known;
    const admission = new AdmissionQueue({
      maximumConcurrency: () => firstStageConcurrency(this.#directory, served),
      maximumQueued: this.#maximumQueued,
    });
    this.#queues.set(name, admission);
    return admission;
  }

  /** Adapts the width of every queue to the servers' limits now. */
  updateConcurrency(): void {
    [...this.#queues.entries()].forEach(([, admission]) => admission.updateConcurrency());
  }
}
