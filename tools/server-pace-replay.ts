/**
 * Replays requests on simulated servers against the server choice of many instances while one server returns empty.
 * Each instance knows its own requests at once, and those of the others and their windows as late as their records
 * arrive. Everything runs in simulated time from one seed, without input or output.
 */
import { BackendFleet } from '../src/fleet/backend-fleet.js';
import { CallTimes } from '../src/fleet/call-times.js';
import type { FleetServer } from '../src/fleet/fleet-server.js';
import { ServerPace } from '../src/fleet/server-pace.js';
import { getHeartbeatInterval, getRemoteRecordInterval } from '../src/gossip/record-interval.js';
import { chooseReplica } from '../src/relay/server-choice.js';
import { EventQueue } from './event-queue.js';
import { createRandom, type Random } from './random.js';
import { SimulatedReplica, type ReplicaAnswer } from './simulated-replica.js';

/** Options of {@link replayServerPace}. */
export interface ServerPaceReplayOptions {
  readonly seed: number;
  readonly instances: number;
  readonly dataCentres: number;
  readonly servers: number;
  readonly slots: number;
  /** Arrivals as a multiple of what the servers can run, the returning one not counted. */
  readonly load: number;
  /** Whether the windows are observed. */
  readonly isPaced: boolean;
  /** How many times slower the returning server is at first. */
  readonly coldFactor: number;
  /** After so many requests it is as fast as the others; infinite for a server that stays slow. */
  readonly warmRequests: number;
}

/** What became of the requests that arrived within 6 s from the return of the server on, and of that server. */
export interface ServerPaceReplayResult {
  readonly requests: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** The most requests that ran or waited on the server in the first second. */
  readonly mostAtFirst: number;
  /** The most by which these exceeded the largest window that an instance knew while it was open. */
  readonly mostAboveWindow: number;
  /** Places of the window at the end; infinite once no instance has it open. */
  readonly lastPlaces: number;
  /** After how many milliseconds the server had begun as many requests in 500 ms as four fifths of the others' mean. */
  readonly fullShareAfter: number;
}

const SERVICE_MILLISECONDS = 80;
const TARGET_MILLISECONDS = 240;
const WARM_UP_MILLISECONDS = 3000;
const OBSERVED_MILLISECONDS = 6000;
const SHARE_INTERVAL_MILLISECONDS = 500;
const SAMPLE_MILLISECONDS = 20;
const FULL_SHARE = 0.8;
const MAXIMUM_ATTEMPTS = 2;
const SERVICE = 'look-up';

interface Instance {
  readonly name: string;
  readonly dataCentre: string;
  readonly fleet: BackendFleet;
  readonly callTimes: CallTimes;
  readonly pace: ServerPace;
  /** Running requests by server that instances of the own data centre, and of the others, know. */
  readonly told: readonly [Map<string, number>, Map<string, number>];
}

class ServerPaceReplay {
  readonly #options: ServerPaceReplayOptions;

  readonly #random: Random;

  /** Separate, so that the arrivals don't depend on the decisions. */
  readonly #arrivalRandom: Random;

  readonly #queue = new EventQueue();

  readonly #replicas = new Map<string, SimulatedReplica>();

  readonly #instances: Instance[];

  readonly #counts = { requests: 0, inTime: 0, late: 0, refused: 0 };

  #mostAtFirst = 0;

  #mostAboveWindow = 0;

  #fullShareAfter = Number.POSITIVE_INFINITY;

  constructor(options: ServerPaceReplayOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#arrivalRandom = createRandom(-options.seed);
    for (let index = 0; index < options.servers; index += 1) this.#createReplica(index);
    const { instances } = options;
    this.#instances = Array.from({ length: instances }, (_, index) => this.#createInstance(index));
    this.#instances.forEach((instance) => this.#startGossip(instance));
  }

  run(): ServerPaceReplayResult {
    const { load, slots, servers } = this.#options;
    const perMillisecond = (load * slots * (servers - 1)) / SERVICE_MILLISECONDS;
    const end = WARM_UP_MILLISECONDS + OBSERVED_MILLISECONDS;
    const scheduleArrival = (at: number): void => {
      if (at >= end) return;
      this.#queue.add(at, () => {
        this.#attempt(this.#arrivalRandom.pick(this.#instances), at, []);
        scheduleArrival(at + this.#arrivalRandom.exponential(1 / perMillisecond));
      });
    };
    scheduleArrival(1);
    this.#queue.add(WARM_UP_MILLISECONDS, () => this.#returnServer());
    this.#queue.add(WARM_UP_MILLISECONDS, () => this.#measureShare());
    this.#queue.add(WARM_UP_MILLISECONDS, () => this.#observeReturning());
    this.#queue.runUntil(end + 1000);
    return {
      ...this.#counts,
      mostAtFirst: this.#mostAtFirst,
      mostAboveWindow: this.#mostAboveWindow,
      lastPlaces: this.#getLargestWindow(),
      fullShareAfter: this.#fullShareAfter,
    };
  }

  get #returning(): SimulatedReplica {
    return this.#getReplica('replica-0');
  }

  #getReplica(id: string): SimulatedReplica {
    const replica = this.#replicas.get(id);
    if (!replica) throw new Error(`unknown server ${id}`);
    return replica;
  }

  #createReplica(index: number): void {
    const { slots, dataCentres, coldFactor, warmRequests } = this.#options;
    const id = `replica-${index}`;
    const isCold = index === 0;
    const replica = new SimulatedReplica({
      entry: {
        id,
        service: SERVICE,
        address: { host: id, port: 80 },
        dataCentre: `${index % dataCentres}`,
        slots,
        isLeaving: false,
        kind: undefined,
        layers: undefined,
      },
      queue: this.#queue,
      drawMilliseconds: () => SERVICE_MILLISECONDS * (0.7 + 0.6 * this.#random.next()),
      coldFactor: isCold ? coldFactor : 1,
      warmRequests: isCold ? warmRequests : 0,
    });
    this.#replicas.set(id, replica);
  }

  #createInstance(index: number): Instance {
    const now = (): number => this.#queue.now;
    const log = { info: () => undefined };
    const name = `entry-${index}`;
    const dataCentre = `${index % this.#options.dataCentres}`;
    const fleet = new BackendFleet({ log: log as never, now });
    const entries = [...this.#replicas.values()].slice(1).map(({ entry }) => entry);
    fleet.replaceAll(entries, 1);
    const pace = new ServerPace({
      instance: { name, dataCentre },
      listPeers: () => this.#instances,
      listServers: () => fleet.servers,
      fleetEra: () => 1,
      isEjected: () => false,
      findProfile: () => undefined,
      log,
      now,
      wallClock: now,
    });
    pace.observe();
    const told = [new Map<string, number>(), new Map<string, number>()] as const;
    return { name, dataCentre, fleet, callTimes: new CallTimes(now), pace, told };
  }

  #startGossip(instance: Instance): void {
    const peers = this.#options.instances - 1;
    const remoteInterval = getRemoteRecordInterval(peers);
    let round = 0;
    const publish = (): void => {
      instance.pace.observe();
      this.#tell(instance, true);
      if (round % remoteInterval === 0) this.#tell(instance, false);
      round += 1;
      this.#queue.add(this.#queue.now + getHeartbeatInterval(peers), publish);
    };
    this.#queue.add(getHeartbeatInterval(peers) * this.#random.next(), publish);
  }

  /** Tells the instances of the own data centre, or all others, what an instance has running and its windows. */
  #tell(instance: Instance, isLocal: boolean): void {
    const told = instance.told[isLocal ? 0 : 1];
    const windows = instance.pace.reported;
    const others = this.#instances.filter(
      (other) => other !== instance && (other.dataCentre === instance.dataCentre) === isLocal,
    );
    instance.fleet.servers.forEach(({ entry: { id }, ownLoad }) => {
      const change = ownLoad.requests - (told.get(id) ?? 0);
      told.set(id, ownLoad.requests);
      others.forEach(({ fleet }) => {
        const server = fleet.find(id);
        if (server) server.peerLoad.requests += change;
      });
    });
    others.forEach(({ pace }) => pace.merge(instance.name, windows));
  }

  /** Registers the server at all instances, at random within the delay of the store's notifications. */
  #returnServer(): void {
    const { entry } = this.#returning;
    this.#instances.forEach(({ fleet, pace }) => {
      this.#queue.add(this.#queue.now + 100 * this.#random.next(), () => {
        fleet.put(entry, 2);
        pace.observe();
      });
    });
  }

  /** Compares the requests that the server begins with those of the others, until it has its full share. */
  #measureShare(): void {
    const begunBefore = new Map<string, number>();
    const measure = (): void => {
      const begun = [...this.#replicas].map(([id, replica]) => {
        const count = replica.begun - (begunBefore.get(id) ?? 0);
        begunBefore.set(id, replica.begun);
        return count;
      });
      const [own = 0, ...others] = begun;
      const mean = others.reduce((sum, count) => sum + count, 0) / others.length;
      const age = this.#queue.now - WARM_UP_MILLISECONDS;
      if (age > 0 && own >= FULL_SHARE * mean)
        this.#fullShareAfter = Math.min(this.#fullShareAfter, age);
      if (age < OBSERVED_MILLISECONDS)
        this.#queue.add(this.#queue.now + SHARE_INTERVAL_MILLISECONDS, measure);
    };
    measure();
  }

  /** The largest window that an instance knows; infinite where none has it open. */
  #getLargestWindow(): number {
    const places = this.#instances.map(({ pace }) => pace.reported['replica-0']?.[1] ?? undefined);
    const open = places.filter((count) => count !== undefined);
    return open.length === this.#instances.length ? Math.max(...open) : Number.POSITIVE_INFINITY;
  }

  #attempt(instance: Instance, arrivedAt: number, triedIds: readonly string[]): void {
    const { now } = this.#queue;
    const isCounted = arrivedAt >= WARM_UP_MILLISECONDS;
    if (isCounted && triedIds.length === 0) this.#counts.requests += 1;
    const { callTimes, dataCentre, fleet, pace } = instance;
    const server = chooseReplica({
      replicas: fleet.servers.filter(({ entry }) => !triedIds.includes(entry.id)),
      dataCentre,
      callTimes,
      serverPace: this.#options.isPaced ? pace : { isAtWindow: () => false },
    });
    if (!server) {
      if (isCounted) this.#counts.refused += 1;
      return;
    }
    const endCount = pace.begin(server);
    server.ownLoad.requests += 1;
    const settle = (answer: ReplicaAnswer): void => {
      server.ownLoad.requests -= 1;
      endCount();
      if (answer === 'refused') {
        pace.recordFailure(server, now, 'refused');
        const tried = [...triedIds, server.entry.id];
        if (tried.length < MAXIMUM_ATTEMPTS) this.#attempt(instance, arrivedAt, tried);
        else if (isCounted) this.#counts.refused += 1;
        return;
      }
      this.#recordAnswer(instance, server, now);
      if (!isCounted) return;
      const isInTime = this.#queue.now - arrivedAt <= TARGET_MILLISECONDS;
      this.#counts[isInTime ? 'inTime' : 'late'] += 1;
    };
    this.#getReplica(server.entry.id).offer(settle);
  }

  #recordAnswer({ callTimes, pace }: Instance, server: FleetServer, sentAt: number): void {
    const { id } = server.entry;
    callTimes.record(id, this.#queue.now - sentAt, this.#getReplica(id).load);
    const targetMilliseconds = TARGET_MILLISECONDS;
    pace.recordAnswer({ servers: [server], sentAt, targetMilliseconds });
  }

  #observeReturning(): void {
    const { load } = this.#returning;
    const age = this.#queue.now - WARM_UP_MILLISECONDS;
    if (age >= 0 && age < 1000) this.#mostAtFirst = Math.max(this.#mostAtFirst, load);
    const places = this.#getLargestWindow();
    if (Number.isFinite(places))
      this.#mostAboveWindow = Math.max(this.#mostAboveWindow, load - places);
    if (age < OBSERVED_MILLISECONDS)
      this.#queue.add(this.#queue.now + SAMPLE_MILLISECONDS, () => this.#observeReturning());
  }
}

/**
 * Replays a load while a server returns empty.
 *
 * @param options - The size of the fleet, the load and the seed.
 * @returns What became of the requests, and of the server.
 */
export function replayServerPace(options: ServerPaceReplayOptions): ServerPaceReplayResult {
  return new ServerPaceReplay(options).run();
}
