/**
 * Closes layer ranges that no engine holds, with as few and as small loads as possible, while requests are served.
 * Handles the loss of engines that leave free memory on others: repair by moving many ranges at once kept some layer
 * without an engine for over half a minute, since each move dropped layers and took a load.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { maximumLayerCountWithCache } from './engine-estimates.js';
import { countCachedRequests, layerChangeCost } from './layer-change-cost.js';
import { HolderCounts } from './coverage-holders.js';
import { countLayers, countNewLayers, subtractRange } from './layer-ranges.js';
import type { PlanConditions, PlannedEngine } from './planned-engine.js';

/** How an engine gets the layers of a gap; a lower number is preferred. */
const METHODS = {
  /** Extends a neighbour of the gap into its free memory. */
  neighbour: 0,
  /** Loads the layers into an engine that holds none. */
  withoutLayers: 1,
  /** Replaces layers that other engines hold as well. */
  heldByOthers: 2,
} as const;

/** A range that an engine may get. */
interface RangeChoice {
  readonly range: LayerRange;
  readonly method: (typeof METHODS)[keyof typeof METHODS];
}

/** An order that would load a part of a gap. */
interface GapOrder extends RangeChoice {
  readonly engine: PlannedEngine;
  /** Number of layers of the gap that it leaves open. */
  readonly missing: number;
  readonly cost: number;
}

/** The orders that close gaps. */
export interface GapOrders {
  /** The new ranges by engine id of the orders that close whole gaps. */
  readonly closing: ReadonlyMap<string, LayerRange>;
  /** The new ranges by engine id for gaps of which a part stays open. */
  readonly partial: ReadonlyMap<string, LayerRange>;
  /** Whether all gaps are closed. */
  readonly isClosed: boolean;
}

/** Lists the parts of a gap that a range of `count` layers can start or end with. */
function listEndRanges({ from, to }: LayerRange, count: number): LayerRange[] {
  if (count <= 0) return [];
  if (count >= to - from) return [{ from, to }];
  return [
    { from, to: from + count },
    { from: to - count, to },
  ];
}

/** Finds the orders for one group of engines; each engine gets at most one. */
class GapCloser {
  readonly #conditions: PlanConditions;

  /** Engines that no order uses yet. */
  #free: ReadonlyMap<string, PlannedEngine>;

  readonly #holderCounts: HolderCounts;

  constructor(engines: readonly PlannedEngine[], conditions: PlanConditions) {
    this.#conditions = conditions;
    const free = engines.filter(({ hasOrderInProgress }) => !hasOrderInProgress);
    this.#free = new Map(free.map((engine) => [engine.id, engine]));
    this.#holderCounts = new HolderCounts(engines, conditions.profile.layerCount);
  }

  /**
   * Closes a gap: by one order if one suffices, otherwise by several.
   *
   * @returns The new ranges, and whether they close the whole gap.
   */
  close(gap: LayerRange): { readonly ranges: [string, LayerRange][]; readonly isClosed: boolean } {
    const ranges: [string, LayerRange][] = [];
    const open = [gap];
    while (open.length > 0) {
      const orders = open.flatMap((part) =>
        this.#listOrders(part).map((order) => ({ order, part })),
      );
      const [best] = orders.sort((one, other) => compareOrders(one.order, other.order));
      if (!best) return { ranges, isClosed: false };
      const { engine, range } = best.order;
      ranges.push([engine.id, range]);
      this.#markUsed(engine, range);
      open.splice(open.indexOf(best.part), 1, ...subtractRange(best.part, range));
    }
    return { ranges, isClosed: true };
  }

  /** Closes a gap as {@link close} does, or changes nothing if that is not possible. */
  closeWhole(gap: LayerRange): [string, LayerRange][] | undefined {
    const freeBefore = this.#free;
    const { ranges, isClosed } = this.close(gap);
    if (isClosed) return ranges;
    this.#free = freeBefore;
    ranges.forEach(([id, range]) => {
      const engine = freeBefore.get(id);
      if (engine) this.#holderCounts.change(engine, range, 1);
    });
    return undefined;
  }

  /** Marks an engine as used by an order; the layers that it drops no longer count as held by it. */
  #markUsed(engine: PlannedEngine, range: LayerRange): void {
    this.#free = new Map([...this.#free].filter(([id]) => id !== engine.id));
    this.#holderCounts.change(engine, range, -1);
  }

  #listOrders(gap: LayerRange): GapOrder[] {
    return [...this.#free.values()].flatMap((engine) =>
      this.#listRanges(engine, gap).map(({ range, method }) => ({
        engine,
        range,
        method,
        missing: countNewLayers(gap, range),
        cost: layerChangeCost(engine, range, this.#conditions.profile),
      })),
    );
  }

  #listRanges(engine: PlannedEngine, gap: LayerRange): RangeChoice[] {
    const limit = this.#conditions.layerLimit(engine);
    const { layers } = engine;
    if (!layers)
      return listEndRanges(gap, limit).map((range) => ({ range, method: METHODS.withoutLayers }));
    const isBelow = layers.to === gap.from;
    const isAbove = layers.from === gap.to;
    const added = Math.min(limit - countLayers(layers), countLayers(gap));
    const extended =
      added > 0 && isBelow
        ? { from: layers.from, to: gap.from + added }
        : { from: gap.to - added, to: layers.to };
    const neighbour =
      added > 0 && (isBelow || isAbove) ? [{ range: extended, method: METHODS.neighbour }] : [];
    return [
      ...neighbour,
      ...this.#listReplacements(engine, layers, gap).map((range) => ({
        range,
        method: METHODS.heldByOthers,
      })),
    ];
  }

  /** Lists ranges for which the engine drops only layers that other engines hold. */
  #listReplacements(engine: PlannedEngine, layers: LayerRange, gap: LayerRange): LayerRange[] {
    const limit = this.#conditions.layerLimit(engine);
    const moved = [
      { from: Math.max(layers.from, gap.to - limit), to: gap.to },
      { from: gap.from, to: Math.min(layers.to, gap.from + limit) },
    ].filter(
      ({ from, to }) =>
        (layers.to === gap.from || layers.from === gap.to) && from <= gap.from && gap.to <= to,
    );
    return [...moved, ...listEndRanges(gap, limit)].filter((range) =>
      subtractRange(layers, range).every((part) => this.#holderCounts.isHeldByOthers(engine, part)),
    );
  }
}

/** An order that closes its gap comes first, then the preferred method, then the larger part, then the lower cost. */
function compareOrders(one: GapOrder, other: GapOrder): number {
  return (
    Math.sign(one.missing) - Math.sign(other.missing) ||
    one.method - other.method ||
    one.missing - other.missing ||
    one.cost - other.cost
  );
}

/** Closes the largest gaps first, as the fewest engines can hold them; then those of which a part stays open. */
function closeInTurn(
  engines: readonly PlannedEngine[],
  gaps: readonly LayerRange[],
  conditions: PlanConditions,
): GapOrders {
  const closer = new GapCloser(engines, conditions);
  const closing = new Map<string, LayerRange>();
  const partial = new Map<string, LayerRange>();
  const remaining = [...gaps]
    .sort((one, other) => countLayers(other) - countLayers(one))
    .filter((gap) => {
      const ranges = closer.closeWhole(gap);
      ranges?.forEach(([id, range]) => closing.set(id, range));
      return ranges === undefined;
    });
  remaining.forEach((gap) =>
    closer.close(gap).ranges.forEach(([id, range]) => partial.set(id, range)),
  );
  return { closing, partial, isClosed: remaining.length === 0 };
}

/**
 * Chooses the orders that close gaps. First leaves each engine the KV cache that it should have, as that memory isn't
 * free; where that doesn't close all gaps, fills engines up to their limits.
 *
 * @param engines - The engines of one group.
 * @param gaps - The ranges that no engine holds or has been ordered to load.
 * @param conditions - The model's profile and the limit of each engine.
 */
export function closeGaps(
  engines: readonly PlannedEngine[],
  gaps: readonly LayerRange[],
  conditions: PlanConditions,
): GapOrders {
  const { profile, layerLimit } = conditions;
  const limitWithCache = (engine: PlannedEngine): number =>
    Math.min(
      layerLimit(engine),
      maximumLayerCountWithCache(profile, engine.kind, countCachedRequests(engine)),
    );
  const withCache = closeInTurn(engines, gaps, { profile, layerLimit: limitWithCache });
  return withCache.isClosed ? withCache : closeInTurn(engines, gaps, conditions);
}
