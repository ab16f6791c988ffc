/**
 * Plans the engines of a data centre with spare memory, so that every layer keeps a holder there when any tenth of
 * the engines is lost. The copies of the model share the data centre's requests, so that each needs KV cache only for
 * its part of them; the memory that this leaves holds more layers, which makes chains shorter.
 *
 * The engines are arranged in rows of about the same memory, each of which holds the whole model once without overlap.
 * A row consists of engines of similar speed, so that a chain over the fast ones need not mix them with slow ones.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { findAccelerator, maximumLayerCount } from './engine-estimates.js';
import { CACHE_SHORTAGE_SLOT_SHARE } from './layer-change-cost.js';
import { countLayers } from './layer-ranges.js';
import { countHolders, findLeastCachedRange, sumCachedTokens } from './least-cached-range.js';
import { targetLayerCount, type PlannedEngine } from './planned-engine.js';
import { countModelCopies, hasSpareMemory } from './spare-memory.js';

/** The share of a data centre's engines that may be lost. */
const TOLERATED_LOSS_SHARE = 0.1;
/**
 * Slots of the engines with the first layer, relative to the requests that the KV cache has to serve: a request takes
 * a slot only there, and these slots are used unevenly.
 */
const FIRST_LAYER_RESERVE = 1.2;
/** With fewer, the loss of a single engine leaves a gap. */
const MINIMUM_HOLDERS = 2;
/** The KV cache of all copies serves at least this many times the slots of one engine. */
const MINIMUM_SLOT_MULTIPLE = 2;
/** Fine enough that one step changes an engine's range by a layer or two. */
const SLOT_SHARE_STEP = 0.05;
/** The shares of its slots for which an engine may get KV cache, the highest first. */
const SLOT_SHARES = Array.from(
  { length: 1 + Math.round((1 - CACHE_SHORTAGE_SLOT_SHARE) / SLOT_SHARE_STEP) },
  (_, index) => 1 - index * SLOT_SHARE_STEP,
);
/** Step between the numbers of copies that are tried. */
const COPY_STEP = 0.2;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Whether the engines are those of one data centre with spare memory. */
function isSpareGroup(engines: readonly PlannedEngine[], profile: EngineProfile): boolean {
  const dataCentre = engines[0]?.dataCentre;
  if (dataCentre === undefined) return false;
  if (engines.some((engine) => engine.dataCentre !== dataCentre)) return false;
  return hasSpareMemory(engines, dataCentre, profile);
}

/**
 * Returns how many holders each layer needs, so that one is left when any tenth of the engines is lost.
 *
 * @param engineCount - Number of engines of the data centre.
 */
export function countWantedHolders(engineCount: number): number {
  return Math.ceil(TOLERATED_LOSS_SHARE * engineCount) + 1;
}

/** Returns for how many requests at once the copies of each layer need KV cache together. */
function estimateDemand(engines: readonly PlannedEngine[]): number {
  return engines.reduce(
    (demand, { slots, peakRequests }) =>
      Math.max(demand, MINIMUM_SLOT_MULTIPLE * slots, peakRequests),
    0,
  );
}

/** Returns how many requests can start at the engines that hold the first layer. */
function countFirstSlots(
  engines: readonly PlannedEngine[],
  ranges: ReadonlyMap<string, LayerRange>,
): number {
  return sum(engines.map(({ id, slots }) => (ranges.get(id)?.from === 0 ? slots : 0)));
}

/** Returns the engines with the fastest kinds first; of one kind, in the given order. */
function sortBySpeed(engines: readonly PlannedEngine[], profile: EngineProfile): PlannedEngine[] {
  const factor = ({ kind }: PlannedEngine): number => findAccelerator(profile, kind).decodeFactor;
  return [...engines].sort((one, other) => factor(one) - factor(other));
}

/** Divides engines into groups of consecutive ones with about the same memory; the last may have less. */
function divideByMemory(
  engines: readonly PlannedEngine[],
  groupMemory: number,
  profile: EngineProfile,
): PlannedEngine[][] {
  const groups: PlannedEngine[][] = [];
  let before = 0;
  engines.forEach((engine) => {
    const memory = maximumLayerCount(profile, engine.kind);
    const index = Math.floor((before + memory / 2) / groupMemory);
    (groups[index] ??= []).push(engine);
    before += memory;
  });
  return groups;
}

/**
 * Returns how many layers each engine of a row could hold with KV cache for the same share of its slots, the highest
 * with which they hold the model. Undefined if the lowest share is too high for that.
 */
function sizeRow(row: readonly PlannedEngine[], profile: EngineProfile): number[] | undefined {
  return SLOT_SHARES.map((share) =>
    row.map((engine) => targetLayerCount(engine, profile, share)),
  ).find((counts) => sum(counts) >= profile.layerCount);
}

/** Spreads the layers over a row of engines in order, in proportion to the layers that each could hold. */
function spreadOverRow(
  row: readonly PlannedEngine[],
  counts: readonly number[],
  layerCount: number,
): [string, LayerRange][] {
  const scale = layerCount / sum(counts);
  let taken = 0;
  return row.map(({ id }, index) => {
    const from = Math.round(taken * scale);
    taken += counts[index] ?? 0;
    return [id, { from, to: Math.round(taken * scale) }];
  });
}

/**
 * Arranges engines in rows. Those that are left over get the first layers while these have too few slots, and then the
 * layers that most need a holder. Returns undefined if some row can't hold every layer.
 */
function planRows(
  engines: readonly PlannedEngine[],
  copies: number,
  profile: EngineProfile,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const memory = sum(engines.map(({ kind }) => maximumLayerCount(profile, kind)));
  const groups = divideByMemory(engines, memory / copies, profile);
  const rows = groups.slice(0, Math.floor(copies));
  const sizes = rows.map((row) => sizeRow(row, profile));
  const ranges = new Map<string, LayerRange>();
  const areAllWhole = rows.every((row, index) => {
    const counts = sizes[index];
    if (counts)
      spreadOverRow(row, counts, layerCount).forEach(([id, range]) => ranges.set(id, range));
    // Rounding may leave an engine of many without a layer.
    return counts && row.every(({ id }) => countLayers(ranges.get(id)) > 0);
  });
  if (!areAllWhole) return undefined;
  const wantedHolders = countWantedHolders(engines.length);
  const wantedFirstSlots = FIRST_LAYER_RESERVE * estimateDemand(engines);
  groups.slice(rows.length).forEach((rest) =>
    rest.forEach((engine) => {
      const fitting = targetLayerCount(engine, profile, CACHE_SHORTAGE_SLOT_SHARE);
      const part = (maximumLayerCount(profile, engine.kind) / memory) * copies * layerCount;
      const count = Math.max(1, Math.min(fitting, Math.round(part)));
      const options = { engines, ranges, profile, wantedHolders };
      const range =
        countFirstSlots(engines, ranges) < wantedFirstSlots
          ? { from: 0, to: count }
          : findLeastCachedRange(count, options);
      ranges.set(engine.id, range);
    }),
  );
  return ranges;
}

function isHeldAlready(
  ranges: ReadonlyMap<string, LayerRange>,
  engines: readonly PlannedEngine[],
): boolean {
  return engines.every(({ id, layers }) => {
    const range = ranges.get(id);
    return range?.from === layers?.from && range?.to === layers?.to;
  });
}

/**
 * Plans the engines of a data centre with spare memory as if they held no layers: such that the fewest holders of a
 * layer are as many as wanted, or as many as possible, and then with the longest ranges that leave enough KV cache.
 * An arrangement that they hold already is kept if it has as many holders; the observed peak falls while a service is
 * idle, and the layers would otherwise be moved for that.
 *
 * @param engines - The engines, sorted by id.
 * @param profile - The service's profile.
 * @returns The range of each engine by id; undefined if no arrangement with two holders leaves enough KV cache.
 */
function planSpareHolders(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const wantedHolders = countWantedHolders(engines.length);
  const requestTokens = profile.typicalPromptTokens + profile.typicalOutputTokens;
  const demand = estimateDemand(engines);
  const isEnough = (ranges: ReadonlyMap<string, LayerRange>): boolean =>
    Math.min(...sumCachedTokens(engines, ranges, profile)) >= demand * requestTokens &&
    countFirstSlots(engines, ranges) >= demand;
  const sorted = sortBySpeed(engines, profile);
  const maximumCopies = countModelCopies(engines, engines[0]?.dataCentre ?? '', profile);
  let best: Map<string, LayerRange> | undefined;
  let bestHolders = MINIMUM_HOLDERS - 1;
  // Fewer copies leave more KV cache.
  for (
    let copies = maximumCopies;
    copies >= Math.max(bestHolders, MINIMUM_HOLDERS);
    copies -= COPY_STEP
  ) {
    const ranges = planRows(sorted, copies, profile);
    if (ranges && isEnough(ranges)) {
      const holders = Math.min(wantedHolders, ...countHolders(ranges, layerCount));
      const isBetter = holders > bestHolders;
      if (isBetter || (holders === bestHolders && isHeldAlready(ranges, engines))) best = ranges;
      bestHolders = Math.max(bestHolders, holders);
    }
  }
  return best;
}

/**
 * Plans engines as {@link planSpareHolders} does if they are those of one data centre with spare memory.
 *
 * @param engines - The engines that are planned together, sorted by id.
 * @param profile - The service's profile.
 * @returns The range of each engine by id; undefined without spare memory or an arrangement for it.
 */
export function planSpareGroup(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
): Map<string, LayerRange> | undefined {
  return isSpareGroup(engines, profile) ? planSpareHolders(engines, profile) : undefined;
}

/**
 * Finds the layers for an engine that comes without any, while the others keep theirs. With spare memory it gets as
 * many as it would if all were planned anew, and first those that have too few holders.
 *
 * @param engine - The engine.
 * @param options - The engines that are planned together, their ranges, and the model's profile.
 * @param sparePlan - What {@link planSpareGroup} returns for the engines.
 * @returns The range.
 */
export function findRangeForNewEngine(
  engine: PlannedEngine,
  options: {
    readonly engines: readonly PlannedEngine[];
    readonly ranges: ReadonlyMap<string, LayerRange>;
    readonly profile: EngineProfile;
  },
  sparePlan: ReadonlyMap<string, LayerRange> | undefined,
): LayerRange {
  const { engines, profile } = options;
  const planned = sparePlan?.get(engine.id);
  if (!planned) return findLeastCachedRange(targetLayerCount(engine, profile), options);
  const wantedHolders = countWantedHolders(engines.length);
  return findLeastCachedRange(countLayers(planned), { ...options, wantedHolders });
}
