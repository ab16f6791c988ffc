/**
 * A simulated fleet whose instances are late for a while: their event loops are held in long turns, and the
 * configuration changes in quick succession. Shows what they believe of each other meanwhile and afterwards.
 */
import { setImmediate } from 'node:timers/promises';
import { EventQueue } from '../event-queue.js';
import { createRandom } from '../random.js';
import { HeldLoop } from './held-loop.js';
import {
  getInstanceName,
  getPort,
  SimulatedInstance,
  type SimulatedDocument,
  type SimulatedNetwork,
} from './simulated-instance.js';
import { getDelay, SimulatedLinks } from './simulated-links.js';

/** Options of {@link simulateLateFleet}. Times are in seconds of simulated time, from the start. */
export interface LateFleetOptions {
  readonly seed: number;
  readonly instances?: number;
  readonly dataCentres?: number;
  /** From when until when loops are held, and the configuration changes. */
  readonly lateFrom?: number;
  readonly lateUntil?: number;
  /** Share of the instances whose loops are held. */
  readonly lateShare?: number;
  /** The shortest and the longest time for which a loop is held after each turn, in milliseconds. */
  readonly holdMilliseconds?: readonly [number, number];
  readonly end?: number;
  /** When one instance ends. */
  readonly killAt?: number;
  /** What a configuration costs. */
  readonly document?: SimulatedDocument;
}

/** What is seen in one second. */
export interface FleetSecond {
  readonly second: number;
  /** Pairs of live instances of which one takes the other for dead, at the end of the second. */
  readonly wronglyDead: number;
  readonly pairs: number;
  /** Live instances that take the ended one for alive, at the end of the second. */
  readonly wronglyAlive: number;
  /** How often in this second an instance began to take a live one for dead. */
  readonly wrongDeaths: number;
  /** Bytes that instances sent in the second, on average. */
  readonly bytes: number;
  /** Milliseconds of a core that membership took in the second, on average. */
  readonly workMilliseconds: number;
  readonly failedExchanges: number;
  /**
   * How long the configurations in force have been overtaken, in milliseconds at the end of the second: of the instance
   * in the middle, of the one that 99 of 100 are at least as new as, and of the last.
   */
  readonly ages: { readonly median: number; readonly late: number; readonly last: number };
  /** Bytes of configurations that instances sent each other in the second, on average. */
  readonly documentBytes: number;
  /** Configurations that could not be read from a peer in time. */
  readonly failedDocuments: number;
}

/** What was seen of a simulated fleet. */
export interface LateFleetReport {
  readonly seconds: readonly FleetSecond[];
  /** Seconds after which all instances of the ended one's data centre, and of the others, knew of its end. */
  readonly endKnownAfter: { readonly sameDataCentre: number; readonly others: number };
}

const SECOND = 1000;
const MINIMUM_SHARE = 0.12;
const MAXIMUM_SHARE = 0.5;
const SOUND_HOLD_MILLISECONDS = 5;
const CHANGE_INTERVAL_MILLISECONDS = 200;
const SAMPLE_MILLISECONDS = 100;
const ENDED_INDEX = 5;

const DEFAULTS = {
  instances: 80,
  dataCentres: 4,
  lateFrom: 10,
  lateUntil: 20,
  lateShare: 1,
  holdMilliseconds: [100, 600],
  end: 50,
  killAt: 15,
  document: { bytes: 25_000, writeMilliseconds: 6, readMilliseconds: 12 },
} as const;

function describeAges(ages: readonly number[]): FleetSecond['ages'] {
  const pick = (share: number): number =>
    Math.round(ages[Math.min(ages.length - 1, Math.floor(share * ages.length))] ?? 0);
  return { median: pick(0.5), late: pick(0.99), last: pick(1) };
}

/** Runs the fleet and looks at it. */
class LateFleet {
  readonly #options: Required<LateFleetOptions>;

  readonly #queue = new EventQueue();

  readonly #random;

  readonly #instances: SimulatedInstance[];

  readonly #loops: HeldLoop[];

  readonly #running = new Set<SimulatedInstance>();

  /** When an instance last took the ended one for alive, in milliseconds; those of its data centre, and others. */
  readonly #lastThoughtAlive = { sameDataCentre: 0, others: 0 };

  #wrongDeaths = 0;

  /** When each version was changed at the store, in milliseconds, from version 1 on. */
  readonly #changedAt = [0];

  #hasSettled = false;

  constructor(options: Required<LateFleetOptions>) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    const indexes = Array.from({ length: options.instances }, (_, index) => index);
    this.#loops = indexes.map((index) => this.#createLoop(index));
    const network = this.#createNetwork();
    this.#instances = this.#loops.map((loop, index) => this.#createInstance(index, loop, network));
    this.#instances.forEach((instance) => this.#running.add(instance));
  }

  #createLoop(index: number): HeldLoop {
    const { lateFrom, lateUntil, lateShare, instances } = this.#options;
    const [shortest, longest] = this.#options.holdMilliseconds;
    const { next } = this.#random;
    return new HeldLoop({
      queue: this.#queue,
      share: MINIMUM_SHARE + next() * (MAXIMUM_SHARE - MINIMUM_SHARE),
      drawHold: () => {
        const second = this.#queue.now / SECOND;
        const isLate = second >= lateFrom && second < lateUntil && index < lateShare * instances;
        return isLate ? shortest + next() * (longest - shortest) : next() * SOUND_HOLD_MILLISECONDS;
      },
    });
  }

  #createNetwork(): SimulatedNetwork {
    const links = new SimulatedLinks(this.#loops.length, this.#random.next);
    return {
      noteSettled: () => {
        this.#hasSettled = true;
      },
      find: (port) => {
        const found = this.#instances.find(({ index }) => getPort(index) === port);
        return found && this.#running.has(found) ? found : undefined;
      },
      getArrival: (from, to, bytes) =>
        links.send({
          sender: from.index,
          bytes,
          sentAt: this.#loops[from.index]?.now ?? this.#queue.now,
          delay: getDelay(from.dataCentre, to.dataCentre),
        }),
    };
  }

  #createInstance(index: number, loop: HeldLoop, network: SimulatedNetwork): SimulatedInstance {
    return new SimulatedInstance({
      index,
      dataCentre: `dc-${index % this.#options.dataCentres}`,
      loop,
      network,
      random: this.#random.next,
      document: this.#options.document,
      onPeerLost: (peer) => {
        if ([...this.#running].some(({ name }) => name === peer)) this.#wrongDeaths += 1;
      },
    });
  }

  async run(): Promise<LateFleetReport> {
    const { end, killAt } = this.#options;
    this.#introduce();
    this.#planChanges();
    this.#queue.add(killAt * SECOND, () => this.#endOne());
    const seconds: FleetSecond[] = [];
    for (let second = 0; second < end; second += 1) seconds.push(await this.#runSecond(second));
    const { sameDataCentre, others } = this.#lastThoughtAlive;
    const getSecondsSinceEnd = (at: number): number => Math.max(0, at / SECOND - killAt);
    return {
      seconds,
      endKnownAfter: {
        sameDataCentre: getSecondsSinceEnd(sameDataCentre),
        others: getSecondsSinceEnd(others),
      },
    };
  }

  /** All know each other at the start. */
  #introduce(): void {
    this.#instances.forEach((instance, index) => {
      this.#instances.forEach(({ record }) => instance.table.accept(record));
      this.#loops[index]?.add(this.#random.next() * SECOND, () => instance.start());
    });
  }

  /** Two instances of each data centre hear of each change at the store. */
  #planChanges(): void {
    const { lateFrom, lateUntil, dataCentres } = this.#options;
    const interval = CHANGE_INTERVAL_MILLISECONDS;
    for (let at = lateFrom * SECOND, version = 2; at < lateUntil * SECOND; at += interval) {
      const changed = version;
      this.#queue.add(at, () => this.#changedAt.push(at));
      this.#instances
        .slice(0, 2 * dataCentres)
        .forEach((instance, index) =>
          this.#loops[index]?.add(at, () => instance.takeFromStore(changed)),
        );
      version += 1;
    }
  }

  #endOne(): void {
    const ended = this.#instances[ENDED_INDEX];
    if (!ended) return;
    this.#running.delete(ended);
    this.#loops[ENDED_INDEX]?.stop();
  }

  /** Runs the events up to a time, and after each one what waited for its promises. */
  async #runUntil(end: number): Promise<void> {
    while (this.#queue.isNextDue(end)) {
      this.#queue.runNext();
      if (this.#hasSettled) await setImmediate();
      this.#hasSettled = false;
    }
  }

  /** For each live instance, how long its configuration has been overtaken, the longest last. */
  #listAges(): number[] {
    const getAge = ({ version }: SimulatedInstance): number => {
      const overtakenAt = this.#changedAt[version];
      return overtakenAt === undefined ? 0 : this.#queue.now - overtakenAt;
    };
    return [...this.#running].map(getAge).sort((one, other) => one - other);
  }

  async #runSecond(second: number): Promise<FleetSecond> {
    const before = this.#sumCosts();
    this.#wrongDeaths = 0;
    for (let sample = 1; sample * SAMPLE_MILLISECONDS <= SECOND; sample += 1) {
      await this.#runUntil(second * SECOND + sample * SAMPLE_MILLISECONDS);
      this.#noteBelievers();
    }
    const after = this.#sumCosts();
    const live = this.#running.size;
    return {
      second,
      wronglyDead: this.#countWronglyDead(),
      pairs: live * (live - 1),
      wronglyAlive: this.#listBelievers().length,
      wrongDeaths: this.#wrongDeaths,
      bytes: Math.round((after.bytes - before.bytes) / live),
      workMilliseconds: (after.work - before.work) / live,
      failedExchanges: after.failed - before.failed,
      ages: describeAges(this.#listAges()),
      documentBytes: Math.round((after.documentBytes - before.documentBytes) / live),
      failedDocuments: after.failedDocuments - before.failedDocuments,
    };
  }

  /** Live instances that take the ended one for alive. */
  #listBelievers(): SimulatedInstance[] {
    const ended = getInstanceName(ENDED_INDEX);
    if (this.#running.size === this.#instances.length) return [];
    return [...this.#running].filter(({ table }) => table.findAlive(ended) !== undefined);
  }

  #noteBelievers(): void {
    const dataCentre = this.#instances[ENDED_INDEX]?.dataCentre;
    this.#listBelievers().forEach((believer) => {
      const kind = believer.dataCentre === dataCentre ? 'sameDataCentre' : 'others';
      this.#lastThoughtAlive[kind] = this.#queue.now;
    });
  }

  #countWronglyDead(): number {
    const live = [...this.#running];
    return live.reduce((sum, { table, name }) => {
      const dead = live.filter((peer) => peer.name !== name && !table.findAlive(peer.name));
      return sum + dead.length;
    }, 0);
  }

  #sumCosts(): Record<'bytes' | 'work' | 'failed' | 'documentBytes' | 'failedDocuments', number> {
    const all = this.#instances;
    return {
      bytes: all.reduce((sum, { sentBytes }) => sum + sentBytes, 0),
      work: all.reduce((sum, { index }) => sum + (this.#loops[index]?.workMilliseconds ?? 0), 0),
      failed: all.reduce((sum, { failedExchanges }) => sum + failedExchanges, 0),
      documentBytes: all.reduce((sum, { documentBytes }) => sum + documentBytes, 0),
      failedDocuments: all.reduce((sum, { failedDocuments }) => sum + failedDocuments, 0),
    };
  }
}

/**
 * Simulates a fleet whose instances are late for a while.
 *
 * @param options - The fleet and its load; what is left out has a default.
 * @returns What was seen.
 */
export function simulateLateFleet(options: LateFleetOptions): Promise<LateFleetReport> {
  return new LateFleet({ ...DEFAULTS, ...options }).run();
}
