/**
 * Replays requests on a simulated fleet of engines against the chain selection of many instances. Each
 * instance knows its own requests at once and those of the others as late as their records arrive.
 * Everything runs in simulated time from one seed, without input or output.
 */
import { BackendFleet } from '../src/fleet/backend-fleet.js';
import { recordAcceptance, recordRefusal } from '../src/fleet/server-availability.js';
import { getHeartbeatInterval, getRemoteRecordInterval } from '../src/gossip/record-interval.js';
import { DataCentreLinkLoad } from '../src/layers/data-centre-link-load.js';
import { ChainSelector } from '../src/relay/chain-selector.js';
import type { EntryContext } from '../src/entry/entry-context.js';
import type { EntryRequest } from '../src/entry/entry-request.js';
import { RefusalPacing } from '../src/entry/refusal-pacing.js';
import { RetryBudget } from '../src/relay/retry-budget.js';
import { EventQueue } from './event-queue.js';
import { createRandom, type Random } from './random.js';
import {
  DATA_CENTRES,
  PROFILE,
  SERVICE,
  SimulatedEngines,
  startWaiting,
  type RequestSize,
  type SimulatedEngine,
} from './simulated-engines.js';

/** Options of {@link replayChainLoad}. */
export interface ChainLoadOptions {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  /** Arrivals as a multiple of what the KV cache of the scarcest layer can hold. */
  readonly load: number;
  readonly seconds?: number;
}

/** What became of the requests of a replay. */
export interface ChainLoadResult {
  readonly requests: number;
  /** First event within the target time of the request's first arrival. */
  readonly inTime: number;
  readonly late: number;
  /** Ended without an event. */
  readonly refused: number;
  /** Requests that reached an engine. */
  readonly arrivals: number;
  readonly rejectedArrivals: number;
  /** Arrivals at the busiest engine that holds the first layer, against the mean of these engines. */
  readonly busiestToMean: number;
  /** By engine id: of how many chains that requests were sent over it was a stage. */
  readonly chainsByEngine: ReadonlyMap<string, number>;
}

const QUEUED_REQUESTS = 48;
const TARGET_MILLISECONDS = 500;
const PAUSE_TARGET_MILLISECONDS = 200;
const DEADLINE_MILLISECONDS = 8000;
/** A caller gives up after this long without an event. */
const CALLER_PATIENCE_MILLISECONDS = 2000;
const LATE_RETRY_SHARE = 0.7;
const MAXIMUM_REFUSED_ATTEMPTS = 4;
const MAXIMUM_CALLER_ATTEMPTS = 3;
/** Until a request that is not accepted is back at its instance. */
const REFUSAL_MILLISECONDS = 3;
const RETRY_BUDGET = { ratio: 0.2, minimumRetries: 10, windowMilliseconds: 10_000 };

interface Instance {
  readonly name: string;
  readonly fleet: BackendFleet;
  readonly context: EntryContext;
  readonly pacing: RefusalPacing;
  readonly budget: RetryBudget;
  /** The loads that instances of the own data centre, and of the others, know. */
  readonly told: readonly [Map<string, [number, number]>, Map<string, [number, number]>];
}

interface CallerRequest extends RequestSize {
  readonly arrivedAt: number;
  attempts: number;
}

class ChainLoadReplay {
  readonly #options: ChainLoadOptions;

  readonly #random: Random;

  /** Of its own, so that the same requests come whatever is decided. */
  readonly #arrivalRandom: Random;

  readonly #queue = new EventQueue();

  readonly #engines: SimulatedEngines;

  readonly #instances: Instance[];

  readonly #chainsByEngine = new Map<string, number>();

  #requests = 0;

  #inTime = 0;

  #late = 0;

  #arrivals = 0;

  #rejectedArrivals = 0;

  constructor(options: ChainLoadOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#arrivalRandom = createRandom(-options.seed);
    this.#engines = new SimulatedEngines({
      count: options.engines,
      random: this.#random,
      now: () => this.#queue.now,
    });
    const { instances } = options;
    this.#instances = Array.from({ length: instances }, (_, index) => this.#createInstance(index));
    this.#instances.forEach((instance) => this.#startGossip(instance));
  }

  run(): ChainLoadResult {
    const { seconds = 8, load } = this.#options;
    const end = 1000 * seconds;
    const interval = 1 / (load * this.#engines.computeCapacityPerMillisecond());
    const scheduleArrival = (at: number): void => {
      if (at >= end) return;
      this.#queue.add(at, () => {
        this.#requests += 1;
        const scale = 0.5 + this.#arrivalRandom.next();
        this.#offer({
          arrivedAt: at,
          prompt: Math.round(PROFILE.typicalPromptTokens * scale),
          output: Math.round(PROFILE.typicalOutputTokens * (0.5 + this.#arrivalRandom.next())),
          attempts: 0,
        });
        scheduleArrival(at + this.#arrivalRandom.exponential(interval));
      });
    };
    scheduleArrival(this.#arrivalRandom.exponential(interval));
    this.#queue.runUntil(end + DEADLINE_MILLISECONDS);
    const first = this.#engines.all.filter(({ entry }) => entry.layers?.from === 0);
    const counts = first.map(({ arrivals }) => arrivals);
    const mean = counts.reduce((sum, count) => sum + count, 0) / counts.length;
    return {
      requests: this.#requests,
      inTime: this.#inTime,
      late: this.#late,
      refused: this.#requests - this.#inTime - this.#late,
      arrivals: this.#arrivals,
      rejectedArrivals: this.#rejectedArrivals,
      busiestToMean: Math.max(...counts) / mean,
      chainsByEngine: this.#chainsByEngine,
    };
  }

  #createInstance(index: number): Instance {
    const now = (): number => this.#queue.now;
    const log = { info: () => undefined };
    const dataCentre = DATA_CENTRES[index % DATA_CENTRES.length] ?? '';
    const fleet = new BackendFleet({ log: log as never, now });
    fleet.replaceAll(
      this.#engines.all.map(({ entry }) => entry),
      1,
    );
    const linkLoad = new DataCentreLinkLoad({
      instanceCount: () => this.#options.instances,
      now,
    });
    const context = {
      dataCentre,
      fleet,
      linkLoad,
      outlierEjection: { isEjected: () => false, counts: {} },
      serverPace: { isAtWindow: () => false, begin: () => () => undefined },
      logs: () => log,
      metrics: { countEvent: () => undefined },
    } as unknown as EntryContext;
    const budget = new RetryBudget({
      settings: RETRY_BUDGET,
      peerCount: () => this.#options.instances - 1,
      peerCountsOf: () => [0, 0],
      now,
    });
    const pacing = new RefusalPacing({ now, random: this.#random.next });
    return { name: `${index}`, fleet, context, budget, pacing, told: [new Map(), new Map()] };
  }

  #startGossip(instance: Instance): void {
    const peers = this.#options.instances - 1;
    const heartbeat = getHeartbeatInterval(peers);
    const remoteInterval = getRemoteRecordInterval(peers);
    let round = 0;
    const publish = (): void => {
      this.#tell(instance, true);
      if (round % remoteInterval === 0) this.#tell(instance, false);
      round += 1;
      this.#queue.add(this.#queue.now + heartbeat, publish);
    };
    this.#queue.add(heartbeat * this.#random.next(), publish);
  }

  /** Tells the instances of the own data centre, or all others, what an instance has running. */
  #tell(instance: Instance, isLocal: boolean): void {
    const told = instance.told[isLocal ? 0 : 1];
    const changes: [string, number, number][] = [];
    instance.fleet.servers.forEach(({ entry: { id }, ownLoad }) => {
      const [requests, tokenLayers] = told.get(id) ?? [0, 0];
      const tokenLayersNow = ownLoad.reservedTokenLayers;
      if (requests === ownLoad.requests && tokenLayers === tokenLayersNow) return;
      changes.push([id, ownLoad.requests - requests, tokenLayersNow - tokenLayers]);
      told.set(id, [ownLoad.requests, tokenLayersNow]);
    });
    const { dataCentre } = instance.context;
    this.#instances
      .filter((other) => (other.context.dataCentre === dataCentre) === isLocal)
      .filter((other) => other !== instance)
      .forEach(({ fleet }) =>
        changes.forEach(([id, requests, tokenLayers]) => {
          const peerLoad = fleet.find(id)?.peerLoad;
          if (!peerLoad) return;
          peerLoad.requests += requests;
          peerLoad.reservedTokenLayers += tokenLayers;
        }),
      );
  }

  #offer(request: CallerRequest): void {
    request.attempts += 1;
    const instance = this.#random.pick(this.#instances);
    instance.budget.recordFirstAttempt(SERVICE);
    const entryRequest = {
      service: { name: SERVICE },
      route: {
        targetMilliseconds: TARGET_MILLISECONDS,
        gapTargetMilliseconds: PAUSE_TARGET_MILLISECONDS,
      },
      metadata: {
        promptTokens: request.prompt,
        maximumOutputTokens: request.output,
        expectedOutputTokens: request.output,
      },
    } as unknown as EntryRequest;
    const selector = new ChainSelector(instance.context, entryRequest, PROFILE, () => true, {
      now: () => this.#queue.now,
      random: this.#random.next,
    });
    this.#attempt(instance, selector, request, 0, false);
  }

  #attempt(
    instance: Instance,
    selector: ChainSelector,
    request: CallerRequest,
    refusedAttempts: number,
    hasRetriedLate: boolean,
  ): void {
    const { now } = this.#queue;
    if (now > request.arrivedAt + DEADLINE_MILLISECONDS) return;
    const chain = selector.choose({ hasStarted: false });
    if (!chain) {
      this.#refuse(instance, request);
      return;
    }
    const release = selector.reserve(chain);
    const first = this.#engines.get(chain.stages[0]?.engine.id ?? '');
    this.#arrivals += 1;
    first.arrivals += 1;
    chain.stages.forEach(({ engine: { id } }) =>
      this.#chainsByEngine.set(id, 1 + (this.#chainsByEngine.get(id) ?? 0)),
    );
    const reject = (engine: SimulatedEngine): void => {
      this.#rejectedArrivals += 1;
      this.#queue.add(this.#queue.now + REFUSAL_MILLISECONDS, () => {
        release();
        const server = instance.fleet.find(engine.entry.id);
        if (server) recordRefusal(server, this.#queue.now);
        selector.avoidedEngineIds.add(engine.entry.id);
        const isRetried =
          refusedAttempts < MAXIMUM_REFUSED_ATTEMPTS && instance.budget.tryAcquire(SERVICE);
        if (isRetried)
          this.#attempt(instance, selector, request, refusedAttempts + 1, hasRetriedLate);
        else this.#refuse(instance, request);
      });
    };
    let state: 'waiting' | 'running' | 'over' = 'waiting';
    let hasEvents = false;
    let finish = (): void => undefined;
    const giveUp = (): void => {
      if (state === 'over') return;
      state = 'over';
      release();
      finish();
    };
    const beginEvents = (endAt: number): void => {
      if (state === 'over') return;
      hasEvents = true;
      chain.stages.forEach(({ engine }) => recordAcceptance(engine.server));
      instance.pacing.recordAccepted();
      if (this.#queue.now - request.arrivedAt <= TARGET_MILLISECONDS) this.#inTime += 1;
      else this.#late += 1;
      this.#queue.add(endAt, giveUp);
    };
    const tryStart = (): boolean => {
      if (state !== 'waiting') return true;
      const full = this.#engines.findFull(chain, request);
      if (full === first) return false;
      if (full) {
        state = 'over';
        reject(full);
        return true;
      }
      state = 'running';
      finish = this.#engines.occupy(chain, request);
      const { firstEventAt, endAt } = this.#engines.schedule(chain, request);
      this.#queue.add(firstEventAt, () => beginEvents(endAt));
      return true;
    };
    startWaiting(first);
    if (first.waiting.length >= QUEUED_REQUESTS) {
      state = 'over';
      reject(first);
      return;
    }
    if (!tryStart()) first.waiting.push({ tryStart });
    if (!hasRetriedLate)
      this.#queue.add(now + LATE_RETRY_SHARE * TARGET_MILLISECONDS, () => {
        if (hasEvents || state === 'over') return;
        const ids = chain.stages.map(({ engine }) => engine.id);
        if (!selector.avoidIfPossible(ids) || !instance.budget.tryAcquire(SERVICE)) return;
        giveUp();
        this.#attempt(instance, selector, request, refusedAttempts, true);
      });
    this.#queue.add(now + CALLER_PATIENCE_MILLISECONDS, () => {
      if (!hasEvents) giveUp();
    });
  }

  #refuse(instance: Instance, request: CallerRequest): void {
    instance.pacing.recordRefused();
    const seconds = instance.pacing.chooseRetryAfterSeconds();
    const { now } = this.#queue;
    const left = request.arrivedAt + DEADLINE_MILLISECONDS - now;
    if (request.attempts >= MAXIMUM_CALLER_ATTEMPTS || left <= 0) return;
    this.#queue.add(now + Math.min(1000 * seconds, left / 3), () => this.#offer(request));
  }
}

/**
 * Replays a load on the chain selection.
 *
 * @param options - The size of the fleet, the load and the seed.
 * @returns What became of the requests.
 */
export function replayChainLoad(options: ChainLoadOptions): ChainLoadResult {
  return new ChainLoadReplay(options).run();
}
