/**
 * Tells which client accounts use more than their fair share of their class's load, from the requests of this instance
 * and those that peers report. Handles one account whose requests would take the room of all others of its class.
 */
import { z } from 'zod';

const Amount = z.number().min(0).max(Number.MAX_SAFE_INTEGER);

/**
 * By service and priority: all requests in progress of client accounts, and those of the accounts with the most. Lists
 * rather than maps, since an account may have the name of an inherited property, such as `constructor`.
 */
export const AccountLoads = z.array(
  z.tuple([z.string(), Amount, Amount, z.array(z.tuple([z.string(), Amount]))]),
);
export type AccountLoads = z.infer<typeof AccountLoads>;

/** Identifies the load of one client account in one class. */
export interface AccountKey {
  readonly service: string;
  readonly priority: number;
  readonly account: string;
}

/** How the load of an account compares with that of the others of its class. */
export interface AccountShare {
  /** Its requests in progress at all instances that are known of. */
  readonly load: number;
  /** The mean of the other accounts of its class that have requests in progress. */
  readonly meanOfOthers: number;
  readonly isOver: boolean;
  /** Age of the oldest record that the load is from; undefined if it is from this instance alone. */
  readonly oldestRecordMilliseconds: number | undefined;
}

/** Requests of one class at one or more instances. */
interface ClassLoad {
  total: number;
  readonly accounts: Map<string, number>;
}

/** Accounts in a record, which all 1,900 accounts of a large deployment would make several times as long. */
const MAXIMUM_REPORTED_ACCOUNTS = 16;
/** Accounts that are read from a record, which a newer build may have written. */
const MAXIMUM_READ_ACCOUNTS = 64;
/** Loads that a peer reported longer ago are ignored, since these requests may have ended. */
const MAXIMUM_AGE_MILLISECONDS = 3000;
/** How long the sum over all peers is reused; with 380 instances computing it takes about a millisecond. */
const SUM_INTERVAL_MILLISECONDS = 250;
/** An account may use this many times the mean of the others before it is over its share. */
const FAIR_SHARE_FACTOR = 2;
/** With fewer requests of an account, its ratio to the others is mostly chance. */
const MINIMUM_OVER_LOAD = 4;

function toClassKey({ service, priority }: Omit<AccountKey, 'account'>): string {
  return `${priority} ${service}`;
}

function getClassLoad(loads: Map<string, ClassLoad>, key: Omit<AccountKey, 'account'>): ClassLoad {
  const classKey = toClassKey(key);
  const load = loads.get(classKey) ?? { total: 0, accounts: new Map<string, number>() };
  loads.set(classKey, load);
  return load;
}

function add(loads: Map<string, ClassLoad>, key: AccountKey, requests: number): void {
  const load = getClassLoad(loads, key);
  load.total += requests;
  const next = (load.accounts.get(key.account) ?? 0) + requests;
  if (next > 0) load.accounts.set(key.account, next);
  else load.accounts.delete(key.account);
}

/** Adds what one peer reported, as far as the bound on the accounts that are read allows. */
function addReported(loads: Map<string, ClassLoad>, reported: AccountLoads): void {
  let readAccounts = 0;
  reported.slice(0, MAXIMUM_READ_ACCOUNTS).forEach(([service, priority, total, accounts]) => {
    const read = accounts.slice(0, Math.max(0, MAXIMUM_READ_ACCOUNTS - readAccounts));
    readAccounts += read.length;
    read.forEach(([account, requests]) => add(loads, { service, priority, account }, requests));
    const named = read.reduce((sum, [, requests]) => sum + requests, 0);
    getClassLoad(loads, { service, priority }).total += Math.max(0, total - named);
  });
}

export class AccountShares {
  readonly #now: () => number;

  readonly #own = new Map<string, ClassLoad>();

  /** The service and priority of each class key in {@link #own}. */
  readonly #ownClasses = new Map<string, Omit<AccountKey, 'account'>>();

  readonly #peers = new Map<
    string,
    { readonly loads: AccountLoads; readonly receivedAt: number }
  >();

  #sum: {
    readonly loads: ReadonlyMap<string, ClassLoad>;
    readonly computedAt: number;
    readonly oldestAt: number | undefined;
  } = { loads: new Map(), computedAt: Number.NEGATIVE_INFINITY, oldestAt: undefined };

  #newestRecordAt = Number.NEGATIVE_INFINITY;

  /** @param now - Current time on the monotonic clock, in milliseconds. */
  constructor(now: () => number = () => performance.now()) {
    this.#now = now;
  }

  /**
   * Counts a request in progress.
   *
   * @param key - Whose request it is.
   * @returns A function that ends the count; further calls have no effect.
   */
  begin(key: AccountKey): () => void {
    this.#ownClasses.set(toClassKey(key), { service: key.service, priority: key.priority });
    add(this.#own, key, 1);
    let isCounted = true;
    return () => {
      if (isCounted) add(this.#own, key, -1);
      isCounted = false;
    };
  }

  /** The loads for this instance's record; undefined if there are none. */
  get reported(): AccountLoads | undefined {
    const entries = [...this.#own].flatMap(([classKey, { accounts }]) =>
      [...accounts].map(([account, requests]) => ({ classKey, account, requests })),
    );
    if (entries.length === 0) return undefined;
    const largest = entries
      .sort((one, other) => other.requests - one.requests)
      .slice(0, MAXIMUM_REPORTED_ACCOUNTS);
    return [...this.#ownClasses]
      .map(([classKey, { service, priority }]): AccountLoads[number] => [
        service,
        priority,
        this.#own.get(classKey)?.total ?? 0,
        largest
          .filter((entry) => entry.classKey === classKey)
          .map(({ account, requests }) => [account, requests]),
      ])
      .filter(([, , total]) => total > 0);
  }

  /**
   * Takes over what a peer's record says.
   *
   * @param instance - Name of the peer.
   * @param loads - The loads in its record; undefined if it has none, or leaves them out.
   */
  merge(instance: string, loads: AccountLoads | undefined): void {
    this.#newestRecordAt = this.#now();
    if (loads) this.#peers.set(instance, { loads, receivedAt: this.#now() });
    else this.#peers.delete(instance);
  }

  /** Milliseconds since a record of any peer last arrived; infinite if none has. */
  get newestRecordMilliseconds(): number {
    return this.#now() - this.#newestRecordAt;
  }

  /** Compares the load of an account with that of the others of its class. */
  find(key: AccountKey): AccountShare {
    const { loads, oldestAt } = this.#sumPeers();
    const classKey = toClassKey(key);
    const own = this.#own.get(classKey);
    const peers = loads.get(classKey);
    const load = (own?.accounts.get(key.account) ?? 0) + (peers?.accounts.get(key.account) ?? 0);
    const total = (own?.total ?? 0) + (peers?.total ?? 0);
    const names = new Set([...(own?.accounts.keys() ?? []), ...(peers?.accounts.keys() ?? [])]);
    names.delete(key.account);
    // Accounts that records leave out are in the total only, so the mean may be too high.
    const meanOfOthers = names.size > 0 ? (total - load) / names.size : 0;
    const isOver =
      names.size > 0 && load >= MINIMUM_OVER_LOAD && load > FAIR_SHARE_FACTOR * meanOfOthers;
    return {
      load,
      meanOfOthers,
      isOver,
      oldestRecordMilliseconds: oldestAt === undefined ? undefined : this.#now() - oldestAt,
    };
  }

  #sumPeers(): {
    readonly loads: ReadonlyMap<string, ClassLoad>;
    readonly oldestAt: number | undefined;
  } {
    const now = this.#now();
    if (now - this.#sum.computedAt < SUM_INTERVAL_MILLISECONDS) return this.#sum;
    const loads = new Map<string, ClassLoad>();
    let oldestAt: number | undefined;
    this.#peers.forEach((peer, instance) => {
      if (now - peer.receivedAt > MAXIMUM_AGE_MILLISECONDS) {
        this.#peers.delete(instance);
        return;
      }
      oldestAt = Math.min(oldestAt ?? now, peer.receivedAt);
      addReported(loads, peer.loads);
    });
    this.#sum = { loads, computedAt: now, oldestAt };
    return this.#sum;
  }
}
