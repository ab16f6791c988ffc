/** Counts the engines that hold each layer, as the coverage guard counts them. */
import type { LayerRange } from '../fleet/server-entry.js';
import { isWithinModel, subtractRange } from './layer-ranges.js';
import { getServedLayers, type PlannedEngine } from './planned-engine.js';

export class HolderCounts {
  readonly #layerCount: number;

  readonly #byDataCentre = new Map<string, number[]>();

  readonly #total: number[];

  /** Data centres whose engines hold every layer, and which must go on doing so by themselves. */
  readonly #wholeDataCentres: ReadonlySet<string>;

  /**
   * Counts the holders of each layer.
   *
   * @param engines - The engines of one or several data centres; in a group of several, one that lacks layers may rely
   *   on the others.
   * @param layerCount - Number of layers of the model.
   */
  constructor(engines: readonly PlannedEngine[], layerCount: number) {
    this.#layerCount = layerCount;
    this.#total = new Array<number>(layerCount).fill(0);
    engines.forEach((engine) => {
      const layers = getServedLayers(engine);
      if (layers && isWithinModel(layers, layerCount)) this.#add(engine.dataCentre, layers, 1);
    });
    this.#wholeDataCentres = new Set(
      [...this.#byDataCentre]
        .filter(([, counts]) => counts.every((count) => count > 0))
        .map(([dataCentre]) => dataCentre),
    );
  }

  /**
   * Tells whether another engine holds each of these layers.
   *
   * @param engine - An engine that holds the layers.
   * @param layers - The layers.
   */
  isHeldByOthers({ dataCentre }: PlannedEngine, { from, to }: LayerRange): boolean {
    const counts = this.#wholeDataCentres.has(dataCentre)
      ? (this.#byDataCentre.get(dataCentre) ?? [])
      : this.#total;
    return counts.slice(from, to).every((count) => count > 1);
  }

  /**
   * Changes the counts of the layers that an engine would drop.
   *
   * @param engine - The engine with the layers that it holds now.
   * @param range - The layers that it would hold.
   * @param difference - The number that is added to each count.
   */
  change({ dataCentre, layers }: PlannedEngine, range: LayerRange, difference: number): void {
    if (!layers || !isWithinModel(layers, this.#layerCount)) return;
    subtractRange(layers, range).forEach((dropped) => this.#add(dataCentre, dropped, difference));
  }

  #add(dataCentre: string, { from, to }: LayerRange, difference: number): void {
    const counts =
      this.#byDataCentre.get(dataCentre) ?? new Array<number>(this.#layerCount).fill(0);
    this.#byDataCentre.set(dataCentre, counts);
    for (let layer = from; layer < to; layer += 1) {
      counts[layer] = (counts[layer] ?? 0) + difference;
      this.#total[layer] = (this.#total[layer] ?? 0) + difference;
    }
  }
}
