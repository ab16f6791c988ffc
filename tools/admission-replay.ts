/**
 * Replays requests of several priorities on engines whose KV cache or slots run short, against the chain selection and
 * the admission of several instances. Each instance knows its own requests at once and those of the others late.
 * Everything runs in simulated time from one seed, without input or output.
 */
import { AccountShares } from '../src/admission/account-shares.js';
import { AdmissionControl } from '../src/admission/admission-control.js';
import { PriorityClasses } from '../src/admission/priority-classes.js';
import type { EntryContext } from '../src/entry/entry-context.js';
import type { EntryRequest } from '../src/entry/entry-request.js';
import { RefusalPacing } from '../src/entry/refusal-pacing.js';
import type { ServingConfiguration } from '../src/entry/serving-configuration.js';
import { BackendFleet } from '../src/fleet/backend-fleet.js';
import { recordAcceptance, recordRefusal } from '../src/fleet/server-availability.js';
import type { ServerEntry } from '../src/fleet/server-entry.js';
import { ChainSelector, type EngineChain } from '../src/relay/chain-selector.js';
import {
  computeTakenPlaces,
  computeUse,
  countHeldRequests,
  createEngines,
  DATA_CENTRE,
  PROFILE,
  REQUEST_TOKENS,
  SERVICE,
  type ShortResource,
} from './admission-engines.js';
import { EventQueue } from './event-queue.js';
import { createRandom, type Random } from './random.js';

/** Requests of one route and client account that come at random. */
export interface ReplayedLoad {
  readonly priority: number;
  readonly account?: string;
  /** Arrivals as a multiple of what the fleet can hold. */
  readonly load: number;
  readonly from: number;
  readonly to: number;
}

/** Options of {@link replayAdmission}. */
export interface AdmissionReplayOptions {
  readonly seed: number;
  readonly instances: number;
  readonly shortOf: ShortResource;
  /** By priority; the priorities of the service's routes follow from it. */
  readonly loads: readonly ReplayedLoad[];
  readonly seconds: number;
  readonly isAdmissionUsed: boolean;
  /** From then on, no records of peers arrive, in milliseconds; never by default. */
  readonly recordsEndAt?: number;
}

/** What became of one request. */
export interface ReplayedRequest {
  readonly at: number;
  readonly priority: number;
  readonly account: string;
  readonly outcome: 'served' | 'notAdmitted' | 'rejected';
  /** Share of the places that was taken in truth when it came. */
  readonly takenPlaces: number;
}

interface Instance {
  readonly fleet: BackendFleet;
  readonly context: EntryContext;
  readonly admission: AdmissionControl;
  readonly shares: AccountShares;
}

const SERVICE_MILLISECONDS = 3000;
/** Until a request that an engine rejects is back at its instance. */
const REFUSAL_MILLISECONDS = 3;
/** An instance tries this many further chains after engines have rejected a request. */
const MAXIMUM_RETRIES = 2;
const ROUTE_MILLISECONDS = 20_000;
/** Records are made this often, and arrive after the delay. */
const RECORD_INTERVAL_MILLISECONDS = 200;
const RECORD_DELAY_MILLISECONDS = 60;
/** Peers without records are taken for dead after this long, and their loads no longer count. */
const SILENCE_LIMIT_MILLISECONDS = 1000;

function createRoute(priority: number) {
  return {
    name: `route-${priority}`,
    kind: 'streaming',
    priority,
    isPublic: false,
    services: [{ service: SERVICE, weight: 1 }],
    timeoutMilliseconds: ROUTE_MILLISECONDS,
    targetMilliseconds: 500,
    gapTargetMilliseconds: 250,
  };
}

class AdmissionReplay {
  readonly #options: AdmissionReplayOptions;

  readonly #random: Random;

  readonly #queue = new EventQueue();

  readonly #entries: readonly ServerEntry[];

  readonly #instances: readonly Instance[];

  readonly #requests: ReplayedRequest[] = [];

  readonly #configuration: ServingConfiguration;

  constructor(options: AdmissionReplayOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#entries = createEngines(options.shortOf);
    const priorities = new Set(options.loads.map(({ priority }) => priority));
    this.#configuration = {
      routes: [...priorities].map(createRoute),
      accounts: new Map(),
      hasAccounts: false,
    } as unknown as ServingConfiguration;
    this.#instances = Array.from({ length: options.instances }, () => this.#createInstance());
    this.#instances.forEach((instance, index) => this.#startRecords(instance, `${index}`));
    const { recordsEndAt } = options;
    if (recordsEndAt !== undefined)
      this.#queue.add(recordsEndAt + SILENCE_LIMIT_MILLISECONDS, () => this.#forgetPeers());
  }

  run(): readonly ReplayedRequest[] {
    const held = countHeldRequests(this.#options.shortOf);
    this.#options.loads.forEach((load) => {
      const interval = SERVICE_MILLISECONDS / (load.load * held);
      const schedule = (at: number): void => {
        if (at >= load.to) return;
        this.#queue.add(at, () => {
          this.#offer(load);
          schedule(at + this.#random.exponential(interval));
        });
      };
      schedule(load.from + this.#random.exponential(interval));
    });
    this.#queue.runUntil(1000 * this.#options.seconds);
    return this.#requests;
  }

  #createInstance(): Instance {
    const now = (): number => this.#queue.now;
    const log = { info: () => undefined };
    const fleet = new BackendFleet({ log: log as never, now });
    fleet.replaceAll(this.#entries, 1);
    const outlierEjection = { isEjected: () => false, counts: {} };
    const linkLoad = { estimateUtilisation: () => 0, recordTransfer: () => undefined };
    const context = {
      dataCentre: DATA_CENTRE,
      fleet,
      linkLoad,
      serverPace: { isAtWindow: () => false, begin: () => () => undefined },
      outlierEjection,
      logs: () => log,
    } as unknown as EntryContext;
    const shares = new AccountShares(now);
    const admission = new AdmissionControl({
      classes: new PriorityClasses(() => this.#configuration),
      accountShares: shares,
      fleet,
      outlierEjection,
      callTimes: { expectedMilliseconds: () => 50, reportedLoad: () => 0 },
      linkLoad,
      refusalPacing: new RefusalPacing({ now, random: this.#random.next }),
      metrics: { countEvent: () => undefined },
      logs: () => log as never,
      now,
      random: this.#random.next,
    });
    return { fleet, context, admission, shares };
  }

  #startRecords(instance: Instance, name: string): void {
    let published: ReadonlyMap<string, readonly [number, number]> = new Map();
    const publish = (): void => {
      const loads = new Map(
        instance.fleet.servers.map(({ entry, ownLoad }) => [
          entry.id,
          [ownLoad.requests, ownLoad.reservedTokenLayers] as const,
        ]),
      );
      const accountLoads = instance.shares.reported;
      this.#queue.add(this.#queue.now + RECORD_DELAY_MILLISECONDS, () => {
        const { recordsEndAt = Number.POSITIVE_INFINITY } = this.#options;
        if (this.#queue.now >= recordsEndAt) return;
        this.#instances
          .filter((other) => other !== instance)
          .forEach(({ fleet, shares }) => {
            shares.merge(name, accountLoads);
            loads.forEach(([requests, tokenLayers], id) => {
              const peerLoad = fleet.find(id)?.peerLoad;
              const [oldRequests, oldTokenLayers] = published.get(id) ?? [0, 0];
              if (!peerLoad) return;
              peerLoad.requests += requests - oldRequests;
              peerLoad.reservedTokenLayers += tokenLayers - oldTokenLayers;
            });
          });
        published = loads;
      });
      this.#queue.add(this.#queue.now + RECORD_INTERVAL_MILLISECONDS, publish);
    };
    this.#queue.add(RECORD_INTERVAL_MILLISECONDS * this.#random.next(), publish);
  }

  get #fleets(): readonly BackendFleet[] {
    return this.#instances.map(({ fleet }) => fleet);
  }

  #forgetPeers(): void {
    this.#instances
      .flatMap(({ fleet }) => fleet.servers)
      .forEach(({ peerLoad }) => {
        peerLoad.requests = 0;
        peerLoad.reservedTokenLayers = 0;
      });
  }

  #offer({ priority, account = '' }: ReplayedLoad): void {
    const instance = this.#random.pick(this.#instances);
    const takenPlaces = computeTakenPlaces(this.#entries, this.#fleets);
    const at = this.#queue.now;
    const record = (outcome: ReplayedRequest['outcome']): void => {
      this.#requests.push({ at, priority, account, outcome, takenPlaces });
    };
    let endCount = (): void => undefined;
    const request = {
      service: { name: SERVICE },
      account: account === '' ? undefined : { name: account, priority: undefined },
      route: createRoute(priority),
      metadata: {
        requestId: 'r',
        promptTokens: REQUEST_TOKENS.prompt,
        expectedOutputTokens: REQUEST_TOKENS.output,
      },
      deadline: this.#queue.now + ROUTE_MILLISECONDS,
      response: {
        once: (_event: string, listener: () => void) => {
          endCount = listener;
        },
      },
    } as unknown as EntryRequest;
    const selector = new ChainSelector(instance.context, request, PROFILE, () => true, {
      now: () => this.#queue.now,
      random: this.#random.next,
    });
    const chain = selector.choose({ hasStarted: false });
    if (!chain) {
      record('rejected');
      return;
    }
    const tokens = REQUEST_TOKENS;
    if (this.#options.isAdmissionUsed) {
      if (instance.admission.admitStream({ request, chain, profile: PROFILE, tokens })) {
        record('notAdmitted');
        return;
      }
    }
    this.#attempt(selector, chain, 0, (outcome) => {
      record(outcome);
      if (outcome === 'rejected') endCount();
      else this.#queue.add(this.#queue.now + SERVICE_MILLISECONDS, endCount);
    });
  }

  /** Sends a request over a chain, and over others if engines reject it. */
  #attempt(
    selector: ChainSelector,
    chain: EngineChain,
    retries: number,
    end: (outcome: 'served' | 'rejected') => void,
  ): void {
    const release = selector.reserve(chain);
    const { now } = this.#queue;
    const full = chain.stages.find(({ engine }) =>
      computeUse(engine.server.entry, this.#fleets).some((use) => use > 1 + Number.EPSILON),
    );
    if (!full) {
      chain.stages.forEach(({ engine }) => recordAcceptance(engine.server));
      end('served');
      this.#queue.add(now + SERVICE_MILLISECONDS, release);
      return;
    }
    recordRefusal(full.engine.server, now);
    selector.avoidedEngineIds.add(full.engine.id);
    this.#queue.add(now + REFUSAL_MILLISECONDS, () => {
      release();
      const other = selector.choose({ hasStarted: false });
      if (other && retries < MAXIMUM_RETRIES) this.#attempt(selector, other, retries + 1, end);
      else end('rejected');
    });
  }
}

/**
 * Replays a load of several priorities.
 *
 * @param options - The load and the seed.
 * @returns What became of the requests, in the order in which they came.
 */
export function replayAdmission(options: AdmissionReplayOptions): readonly ReplayedRequest[] {
  return new AdmissionReplay(options).run();
}
