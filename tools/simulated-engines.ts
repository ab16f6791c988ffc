/** Simulated engines: what each one holds, which requests it has room for, and when it writes their events. */
import type { ServerEntry } from '../src/fleet/server-entry.js';
import { cacheCapacityTokenLayers, estimateLayerTimes } from '../src/layers/engine-estimates.js';
import type { EngineChain } from '../src/relay/chain-selector.js';
import { ENGINE_PROFILE } from './engine-profile.js';
import type { Random } from './random.js';

export const PROFILE = {
  ...ENGINE_PROFILE,
  kvCacheBytesPerToken: 2 * ENGINE_PROFILE.kvCacheBytesPerToken,
};
export const SERVICE = 'generation';
export const DATA_CENTRES = ['east', 'west', 'north'];
const LAYERS_BY_KIND = { large: 12, middle: 8, small: 5 };
/** Of 104 engines, as many are of each kind. */
const KINDS = [
  ...Array.from({ length: 1 }, () => 'large' as const),
  ...Array.from({ length: 6 }, () => 'middle' as const),
  ...Array.from({ length: 6 }, () => 'small' as const),
];
const SLOTS = 96;
const PREFILL_CHUNK_TOKENS = 512;
const HOP_MILLISECONDS = 1;

/** The tokens of a request. */
export interface RequestSize {
  readonly prompt: number;
  readonly output: number;
}

/** One engine. */
export interface SimulatedEngine {
  readonly entry: ServerEntry;
  readonly capacity: number;
  usedTokenLayers: number;
  startedHere: number;
  running: number;
  prefillFreeAt: number;
  arrivals: number;
  /** Requests that wait for a slot or for memory as the first stage of their chains, in order. */
  waiting: WaitingRequest[];
}

/** A request that waits at the first engine of its chain. */
interface WaitingRequest {
  /** Starts the request if its first engine has room; returns whether it no longer waits. */
  readonly tryStart: () => boolean;
}

/** Options of {@link SimulatedEngines}. */
export interface SimulatedEnginesOptions {
  readonly count: number;
  readonly random: Random;
  /** Simulated time in milliseconds. */
  readonly now: () => number;
}

/** Starts the requests that wait at an engine, in order, while it has room. */
export function startWaiting(engine: SimulatedEngine): void {
  while (engine.waiting[0]?.tryStart()) engine.waiting.shift();
}

/** The engines of all data centres, and the links between these. */
export class SimulatedEngines {
  readonly #now: () => number;

  readonly #engines = new Map<string, SimulatedEngine>();

  readonly #linkFreeAt = new Map<string, number>();

  constructor(options: SimulatedEnginesOptions) {
    this.#now = options.now;
    DATA_CENTRES.forEach((dataCentre) => this.#placeLayers(options, dataCentre));
  }

  get all(): readonly SimulatedEngine[] {
    return [...this.#engines.values()];
  }

  /** Requests of the usual size that the KV cache of the scarcest layer can serve. */
  computeCapacityPerMillisecond(): number {
    const tokensByLayer = Array.from({ length: PROFILE.layerCount }, () => 0);
    let factorSum = 0;
    this.#engines.forEach(({ entry, capacity }) => {
      const { from, to } = entry.layers ?? { from: 0, to: 0 };
      const times = estimateLayerTimes(PROFILE, entry.kind, 0);
      factorSum += times.decodeMillisecondsPerToken * PROFILE.layerCount;
      for (let layer = from; layer < to; layer += 1)
        tokensByLayer[layer] = (tokensByLayer[layer] ?? 0) + capacity / (to - from);
    });
    const tokens = PROFILE.typicalPromptTokens + PROFILE.typicalOutputTokens;
    const meanTokenMilliseconds = (1.5 * factorSum) / this.#engines.size;
    const residence = PROFILE.typicalOutputTokens * meanTokenMilliseconds;
    return Math.min(...tokensByLayer) / tokens / residence;
  }

  /** Finds the first engine of a chain that has no room for a request. */
  findFull(chain: EngineChain, { prompt, output }: RequestSize): SimulatedEngine | undefined {
    const engines = chain.stages.map(({ engine }) => this.get(engine.id));
    return engines.find((engine, index) => {
      const { from = 0, to = 0 } = chain.stages[index]?.layers ?? {};
      const needed = (prompt + output) * (to - from);
      const hasSlot = index > 0 || engine.startedHere < SLOTS;
      return !hasSlot || engine.usedTokenLayers + needed > engine.capacity;
    });
  }

  /** Takes room for a request at all engines of its chain; the result gives it back. */
  occupy(chain: EngineChain, { prompt, output }: RequestSize): () => void {
    const change = (sign: number): void =>
      chain.stages.forEach(({ engine: { id }, layers }, index) => {
        const engine = this.get(id);
        engine.usedTokenLayers += sign * (prompt + output) * (layers.to - layers.from);
        engine.running += sign;
        if (index === 0) engine.startedHere += sign;
      });
    change(1);
    return () => {
      change(-1);
      chain.stages.forEach(({ engine: { id } }) => startWaiting(this.get(id)));
    };
  }

  /** Computes when a request's first and last event leave its chain. */
  schedule(
    chain: EngineChain,
    { prompt, output }: RequestSize,
  ): { firstEventAt: number; endAt: number } {
    let at = this.#now() + HOP_MILLISECONDS;
    let tokenMilliseconds = 0;
    const passes = Math.ceil(prompt / PREFILL_CHUNK_TOKENS);
    chain.stages.forEach(({ engine: { id, kind, dataCentre }, layers }, index) => {
      const engine = this.get(id);
      const layerCount = layers.to - layers.from;
      const times = estimateLayerTimes(PROFILE, kind, engine.running);
      const decode = times.decodeMillisecondsPerToken * layerCount;
      const reading = prompt * times.prefillMillisecondsPerToken * layerCount;
      const start = Math.max(at, engine.prefillFreeAt);
      at = start + reading + passes * PROFILE.tokensPerEvent * decode;
      engine.prefillFreeAt = at;
      tokenMilliseconds += 1.5 * decode;
      const next = chain.stages[index + 1]?.engine.dataCentre ?? dataCentre;
      if (next === dataCentre) return;
      const link = [dataCentre, next].sort().join('/');
      const bits = 8 * prompt * PROFILE.activationBytesPerToken;
      const transfer = bits / (1000 * PROFILE.dataCentreLinkMegabitsPerSecond);
      at = Math.max(at, this.#linkFreeAt.get(link) ?? 0) + transfer + HOP_MILLISECONDS;
      this.#linkFreeAt.set(link, at);
      tokenMilliseconds += HOP_MILLISECONDS;
    });
    const firstEventAt = at + PROFILE.tokensPerEvent * tokenMilliseconds;
    return { firstEventAt, endAt: firstEventAt + output * tokenMilliseconds };
  }

  /** Returns an engine by its id. */
  get(id: string): SimulatedEngine {
    const engine = this.#engines.get(id);
    if (!engine) throw new Error(`unknown engine ${id}`);
    return engine;
  }

  /** Places whole copies of the model one after another, each engine after the one before. */
  #placeLayers({ count, random }: SimulatedEnginesOptions, dataCentre: string): void {
    const centre = DATA_CENTRES.indexOf(dataCentre);
    let from = 0;
    for (let index = centre; index < count; index += DATA_CENTRES.length) {
      const kind = random.pick(KINDS);
      const to = Math.min(PROFILE.layerCount, from + LAYERS_BY_KIND[kind]);
      const id = `${dataCentre}-${index}`;
      const entry: ServerEntry = {
        id,
        service: SERVICE,
        address: { host: id, port: 80 },
        dataCentre,
        slots: SLOTS,
        isLeaving: false,
        kind,
        layers: { from, to },
      };
      this.#engines.set(id, {
        entry,
        capacity: cacheCapacityTokenLayers(PROFILE, kind, { from, to }),
        usedTokenLayers: 0,
        startedHere: 0,
        running: 0,
        prefillFreeAt: 0,
        arrivals: 0,
        waiting: [],
      });
      from = to % PROFILE.layerCount;
    }
  }
}
