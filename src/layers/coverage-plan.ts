/**
 * Plans which layers each engine holds. In each data centre the engines cover the model at least
 * once, each holding layers in proportion to its memory so that KV cache remains for as many
 * requests as its slots take. Answers an empty fleet, which is laid out whole; the loss of an
 * engine, whose layers its neighbours take over within the memory they have; and engines that
 * come empty, which take the layers with the least KV cache.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { cacheCapacity, layerCapacity, layersBeside } from './engine-estimates.js';

/** An engine to plan for. */
export interface PlannedEngine {
  readonly id: string;
  readonly dataCentre: string;
  readonly kind: string | undefined;
  readonly slots: number;
  /** What it holds or has been ordered to hold. */
  readonly layers: LayerRange | undefined;
  /** Whether requests pass through it, for which it waits before it gives layers up. */
  readonly isInUse: boolean;
  /** Whether it is busy with an order, so that it takes no other. */
  readonly isFixed: boolean;
}

/** New ranges by engine; engines that stay as they are aren't listed. */
export type CoveragePlan = ReadonlyMap<string, LayerRange>;

/**
 * The share of an engine's slots that its KV cache is to serve. A lower one leaves memory for more
 * layers, which makes chains faster and covers the loss of engines.
 */
const COMFORTABLE_SLOT_SHARE = 1;

/**
 * An engine with KV cache for a smaller share of its slots refuses nearly all requests: a chain
 * over another data centre serves more.
 */
const LEAST_SLOT_SHARE = 0.1;

function lengthOf(range: LayerRange | undefined): number {
  return range ? range.to - range.from : 0;
}

/** The most layers beside which an engine's KV cache serves enough requests. */
function comfortableLayers({ kind, slots }: PlannedEngine, profile: EngineProfile): number {
  return layersBeside(profile, kind, COMFORTABLE_SLOT_SHARE * slots);
}

/** The most layers that an engine may be given. */
type MostLayers = (engine: PlannedEngine) => number;

/** Lays a data centre's engines out anew; none when they can't cover the model. */
function layOut(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  mostLayers: MostLayers,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const capacities = engines.map((engine) => mostLayers(engine));
  const most = capacities.reduce((sum, capacity) => sum + capacity, 0);
  if (most < layerCount) return undefined;
  const counts = engines.map((engine) => comfortableLayers(engine, profile));
  let total = counts.reduce((sum, count) => sum + count, 0);
  while (total < layerCount) {
    // The engine with the most room in proportion takes one more.
    let widest = 0;
    counts.forEach((count, index) => {
      const room = (capacities[index] ?? 0) / (count + 1);
      const best = (capacities[widest] ?? 0) / ((counts[widest] ?? 0) + 1);
      if (room > best) widest = index;
    });
    counts[widest] = (counts[widest] ?? 0) + 1;
    total += 1;
  }
  const plan = new Map<string, LayerRange>();
  let taken = 0;
  engines.forEach((engine, index) => {
    const count = counts[index] ?? 0;
    const start = Math.min(layerCount - count, Math.floor((taken * layerCount) / total));
    plan.set(engine.id, { from: Math.max(0, start), to: Math.max(0, start) + count });
    taken += count;
  });
  return plan;
}

/** Runs of layers that no range covers. */
export function findUncoveredRanges(
  ranges: readonly LayerRange[],
  layerCount: number,
): LayerRange[] {
  const sorted = [...ranges].sort((left, right) => left.from - right.from);
  const holes: LayerRange[] = [];
  let covered = 0;
  sorted.forEach(({ from, to }) => {
    if (from > covered) holes.push({ from: covered, to: from });
    covered = Math.max(covered, to);
  });
  if (covered < layerCount) holes.push({ from: covered, to: layerCount });
  return holes;
}

/** The window of layers with the least KV cache over all engines. */
function neediestWindow(
  engines: readonly PlannedEngine[],
  ranges: ReadonlyMap<string, LayerRange>,
  count: number,
  profile: EngineProfile,
): LayerRange {
  const cache = new Array<number>(profile.layerCount).fill(0);
  engines.forEach((engine) => {
    const range = ranges.get(engine.id);
    if (!range) return;
    const tokens = cacheCapacity(profile, engine.kind, range) / lengthOf(range);
    for (let layer = range.from; layer < range.to; layer += 1) {
      cache[layer] = (cache[layer] ?? 0) + tokens;
    }
  });
  let best = 0;
  let bestNeed = Number.NEGATIVE_INFINITY;
  for (let from = 0; from + count <= profile.layerCount; from += 1) {
    let need = 0;
    for (let layer = from; layer < from + count; layer += 1) need += 1 / (1 + (cache[layer] ?? 0));
    if (need > bestNeed) {
      bestNeed = need;
      best = from;
    }
  }
  return { from: best, to: best + count };
}

/** What loading one more layer costs, against layers given up and memory taken from KV cache. */
const LOAD_COST = 1;
const DROP_COST = 0.5;
const DROP_IN_USE_COST = 3;
const STRAIN_COST = 4;
/** An engine is strained once its KV cache serves no more than this share of its slots. */
const STRAINED_SLOT_SHARE = 0.3;

interface Shift {
  readonly cost: number;
  readonly range: LayerRange | undefined;
  readonly covered: number;
  readonly previous: Shift | undefined;
}

function newLayers(range: LayerRange, held: LayerRange | undefined): number {
  if (!held) return lengthOf(range);
  const kept = Math.min(range.to, held.to) - Math.max(range.from, held.from);
  return lengthOf(range) - Math.max(0, kept);
}

/** Grows steeply where an engine's KV cache would hold fewer requests than it should. */
function strain(engine: PlannedEngine, range: LayerRange, profile: EngineProfile): number {
  const requestTokens = profile.typicalPromptTokens + profile.typicalOutputTokens;
  const needed = STRAINED_SLOT_SHARE * engine.slots * requestTokens;
  const tokens = cacheCapacity(profile, engine.kind, range) / lengthOf(range);
  return STRAIN_COST * (needed / Math.max(1, tokens)) ** 2;
}

function changeCost(
  engine: PlannedEngine,
  range: LayerRange | undefined,
  profile: EngineProfile,
): number {
  if (!range) return 0;
  const added = newLayers(range, engine.layers);
  const dropped = engine.layers ? newLayers(engine.layers, range) : 0;
  const dropCost = engine.isInUse ? DROP_IN_USE_COST : DROP_COST;
  return LOAD_COST * added + dropCost * dropped + strain(engine, range, profile);
}

/** The range of an engine that must reach from the covered layers to `to`, keeping what it can. */
function reachingRange(
  held: LayerRange | undefined,
  covered: number,
  to: number,
  capacity: number,
): LayerRange | undefined {
  if (held) {
    const whole = { from: Math.min(held.from, covered), to: Math.max(held.to, to) };
    if (lengthOf(whole) <= capacity) return whole;
  }
  if (to - covered > capacity) return undefined;
  const isTouching = held !== undefined && held.from <= covered && held.to > held.from;
  const from = isTouching ? Math.max(held.from, to - capacity) : covered;
  return { from, to };
}

/**
 * Shifts engines, in the order of what they hold, so that they cover every layer with the fewest
 * layers loaded and the least strain on KV cache.
 */
function shiftOver(
  engines: readonly PlannedEngine[],
  order: ReadonlyMap<string, number>,
  profile: EngineProfile,
  mostLayers: MostLayers,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const sorted = [...engines].sort(
    (left, right) => (order.get(left.id) ?? 0) - (order.get(right.id) ?? 0),
  );
  let best = new Map<number, Shift>([
    [0, { cost: 0, range: undefined, covered: 0, previous: undefined }],
  ]);
  sorted.forEach((engine) => {
    const { layers: held } = engine;
    const capacity = mostLayers(engine);
    const next = new Map<number, Shift>();
    const offer = (from: Shift, range: LayerRange | undefined, covered: number): void => {
      const cost = from.cost + (range === held ? 0 : changeCost(engine, range, profile));
      if (cost >= (next.get(covered)?.cost ?? Number.POSITIVE_INFINITY)) return;
      next.set(covered, { cost, range, covered, previous: from });
    };
    best.forEach((shift, covered) => {
      const reach = held && held.from <= covered ? Math.max(covered, held.to) : covered;
      offer(shift, held, reach);
      if (engine.isFixed) return;
      const least = held && held.from <= covered ? Math.max(covered, held.to) + 1 : covered + 1;
      for (let to = least; to <= Math.min(layerCount, covered + capacity); to += 1) {
        const range = reachingRange(held, covered, to, capacity);
        if (range) offer(shift, range, Math.max(to, range.to));
      }
    });
    best = next;
  });
  let last = best.get(layerCount);
  if (!last) return undefined;
  const ranges = new Map<string, LayerRange>();
  for (let index = sorted.length - 1; index >= 0 && last; index -= 1) {
    const engine = sorted[index];
    if (engine && last.range) ranges.set(engine.id, last.range);
    last = last.previous;
  }
  return ranges;
}

/** Where each engine stands in the order of layers; empty ones stand before holes, widest first. */
function orderOf(
  engines: readonly PlannedEngine[],
  holes: readonly LayerRange[],
  mostLayers: MostLayers,
): Map<string, number> {
  const order = new Map<string, number>();
  engines.forEach(({ id, layers }) => {
    if (layers) order.set(id, (layers.from + layers.to) / 2);
  });
  const left = holes.map(({ from, to }) => ({ from, to }));
  engines
    .filter(({ layers }) => !layers)
    .sort((one, other) => mostLayers(other) - mostLayers(one))
    .forEach((engine) => {
      const [widest] = left.sort((one, other) => lengthOf(other) - lengthOf(one));
      if (!widest || lengthOf(widest) <= 0) return;
      const taken = Math.min(lengthOf(widest), mostLayers(engine));
      order.set(engine.id, widest.from + taken / 2);
      widest.from += taken;
    });
  return order;
}

function planDataCentre(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  isIdle: boolean,
  mostLayers: MostLayers,
): Map<string, LayerRange> {
  const isEmpty = engines.every(({ layers }) => layers === undefined);
  const anew = isIdle || isEmpty ? layOut(engines, profile, mostLayers) : undefined;
  if (anew) return anew;
  const ranges = new Map<string, LayerRange>();
  engines.forEach(({ id, layers }) => {
    if (layers) ranges.set(id, layers);
  });
  const holes = findUncoveredRanges([...ranges.values()], profile.layerCount);
  if (holes.length > 0) {
    const order = orderOf(engines, holes, mostLayers);
    const taking = engines.filter(({ id }) => order.has(id));
    shiftOver(taking, order, profile, mostLayers)?.forEach((range, id) => ranges.set(id, range));
  }
  engines
    .filter(({ id, isFixed }) => !ranges.has(id) && !isFixed)
    .forEach((engine) => {
      const count = comfortableLayers(engine, profile);
      ranges.set(engine.id, neediestWindow(engines, ranges, count, profile));
    });
  return ranges;
}

/** The ranges of all engines after planning each data centre. */
function planAll(
  groups: readonly (readonly PlannedEngine[])[],
  profile: EngineProfile,
  isIdle: boolean,
  mostLayers: MostLayers,
): Map<string, LayerRange> {
  const plans = groups.map((group) => planDataCentre(group, profile, isIdle, mostLayers));
  return new Map(plans.flatMap((plan) => [...plan]));
}

/**
 * Plans the ranges of a service's engines.
 *
 * @param engines - The engines that live and stay.
 * @param profile - The service's profile.
 * @param isIdle - Whether no request has been served of late, so that all may be laid out anew.
 * @returns The ranges that change.
 */
export function planCoverage(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
  isIdle: boolean,
): CoveragePlan {
  const groups = new Map<string, PlannedEngine[]>();
  [...engines]
    .sort((left, right) => (left.id < right.id ? -1 : 1))
    .forEach((engine) => {
      const group = groups.get(engine.dataCentre) ?? [];
      group.push(engine);
      groups.set(engine.dataCentre, group);
    });
  const spared: MostLayers = ({ kind, slots }) =>
    layersBeside(profile, kind, LEAST_SLOT_SHARE * slots);
  let planned = planAll([...groups.values()], profile, isIdle, spared);
  if (findUncoveredRanges([...planned.values()], profile.layerCount).length > 0) {
    const whole: MostLayers = ({ kind }) => layerCapacity(profile, kind);
    planned = planAll([...groups.values()], profile, isIdle, whole);
  }
  const changes = new Map<string, LayerRange>();
  engines.forEach(({ id, layers }) => {
    const range = planned.get(id);
    if (!range || (layers && layers.from === range.from && layers.to === range.to)) return;
    changes.set(id, range);
  });
  return changes;
}
