/**
 * Plans which layers each engine holds. In each data centre the engines cover the model at least
 * once, each holding layers in proportion to its memory so that KV cache remains for as many
 * requests as its slots take. Answers an empty fleet, which is laid out whole; the loss of an
 * engine, whose layers its neighbours take over within the memory they have; and engines that
 * come empty, which take the layers with the least KV cache.
 */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { acceleratorOf, cacheCapacity, layerCapacity } from './engine-times.js';

/** An engine to plan for. */
export interface PlannedEngine {
  readonly id: string;
  readonly dataCentre: string;
  readonly kind: string | undefined;
  readonly slots: number;
  /** What it holds or has been ordered to hold. */
  readonly layers: LayerRange | undefined;
}

/** New ranges by engine; engines that stay as they are aren't listed. */
export type CoverPlan = ReadonlyMap<string, LayerRange>;

const BYTES_PER_MEGABYTE = 1_000_000;

function lengthOf(range: LayerRange | undefined): number {
  return range ? range.to - range.from : 0;
}

/** The layers that an engine holds when its KV cache is to serve as many requests as its slots. */
function comfortableLayers(engine: PlannedEngine, profile: EngineProfile): number {
  const tokens = engine.slots * (profile.usualPromptTokens + profile.usualAnswerTokens);
  const cacheBytes = (tokens * profile.cacheBytesPerToken) / profile.layerCount;
  const perLayer = profile.layerMegabytes + cacheBytes / BYTES_PER_MEGABYTE;
  const { memoryMegabytes } = acceleratorOf(profile, engine.kind);
  const comfortable = Math.floor(memoryMegabytes / perLayer);
  return Math.max(1, Math.min(comfortable, layerCapacity(profile, engine.kind)));
}

/** Lays a data centre's engines out anew; none when they can't cover the model. */
function layOut(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
): Map<string, LayerRange> | undefined {
  const { layerCount } = profile;
  const capacities = engines.map(({ kind }) => layerCapacity(profile, kind));
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
export function holesIn(ranges: readonly LayerRange[], layerCount: number): LayerRange[] {
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

/** Fills a hole: empty engines first, then the neighbours on both sides, as far as they can. */
function fillHole(
  hole: LayerRange,
  engines: readonly PlannedEngine[],
  ranges: Map<string, LayerRange>,
  profile: EngineProfile,
): void {
  let { from, to } = hole;
  engines
    .filter(({ id }) => !ranges.has(id))
    .sort((left, right) => layerCapacity(profile, right.kind) - layerCapacity(profile, left.kind))
    .forEach((engine) => {
      if (from >= to) return;
      const wanted = Math.max(comfortableLayers(engine, profile), to - from);
      const count = Math.min(layerCapacity(profile, engine.kind), wanted);
      const start = Math.max(0, Math.min(from, profile.layerCount - count));
      ranges.set(engine.id, { from: start, to: start + count });
      from = Math.max(from, start + count);
    });
  const spare = (engine: PlannedEngine): number =>
    layerCapacity(profile, engine.kind) - lengthOf(ranges.get(engine.id));
  while (from < to) {
    // One layer at a time, from the side whose engine has more memory left.
    let best: PlannedEngine | undefined;
    let bestRoom = 0;
    const [start, end] = [from, to];
    engines.forEach((engine) => {
      const range = ranges.get(engine.id);
      if (!range || spare(engine) <= 0) return;
      if (range.to !== start && range.from !== end) return;
      const room = spare(engine) / layerCapacity(profile, engine.kind);
      if (room <= bestRoom) return;
      bestRoom = room;
      best = engine;
    });
    const range = best && ranges.get(best.id);
    if (!best || !range) return;
    if (range.to === from) {
      ranges.set(best.id, { from: range.from, to: from + 1 });
      from += 1;
    } else {
      ranges.set(best.id, { from: to - 1, to: range.to });
      to -= 1;
    }
  }
}

function planDataCentre(
  engines: readonly PlannedEngine[],
  profile: EngineProfile,
): Map<string, LayerRange> {
  const held = new Map<string, LayerRange>();
  engines.forEach(({ id, layers }) => {
    if (layers) held.set(id, layers);
  });
  const fresh = held.size === 0 ? layOut(engines, profile) : undefined;
  if (fresh) return fresh;
  const ranges = new Map(held);
  holesIn([...ranges.values()], profile.layerCount).forEach((hole) =>
    fillHole(hole, engines, ranges, profile),
  );
  if (holesIn([...ranges.values()], profile.layerCount).length > 0) {
    const anew = layOut(engines, profile);
    if (anew) return anew;
  }
  engines
    .filter(({ id }) => !ranges.has(id))
    .forEach((engine) => {
      const count = comfortableLayers(engine, profile);
      ranges.set(engine.id, neediestWindow(engines, ranges, count, profile));
    });
  return ranges;
}

/**
 * Plans the ranges of a service's engines.
 *
 * @param engines - The engines that live and stay.
 * @param profile - The service's profile.
 * @returns The ranges that change.
 */
export function planCover(engines: readonly PlannedEngine[], profile: EngineProfile): CoverPlan {
  const groups = new Map<string, PlannedEngine[]>();
  [...engines]
    .sort((left, right) => (left.id < right.id ? -1 : 1))
    .forEach((engine) => {
      const group = groups.get(engine.dataCentre) ?? [];
      group.push(engine);
      groups.set(engine.dataCentre, group);
    });
  const changes = new Map<string, LayerRange>();
  groups.forEach((group) => {
    const planned = planDataCentre(group, profile);
    group.forEach(({ id, layers }) => {
      const range = planned.get(id);
      if (!range || (layers && layers.from === range.from && layers.to === range.to)) return;
      changes.set(id, range);
    });
  });
  return changes;
}
