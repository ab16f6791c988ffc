/**
 * Tells whether this instance has lost its links to the backend servers, while they go on. Handles an
 * instance, or most of those of a data centre, that is cut from all servers for seconds: what such an
 * instance fails to reach says nothing of the servers.
 *
 * The first connection that fails makes it try servers of all data centres at once. If none can be reached,
 * it is cut; it goes on trying a few until two of them accept a connection.
 */
import { sleep } from '../common/clock.js';
import type { ConnectionResult } from '../common/connection-probe.js';
import type { Logger } from '../telemetry/log.js';
import type { ServerEntry } from './server-entry.js';

/** Options of {@link ServerReach}. */
export interface ServerReachOptions {
  readonly listServers: () => readonly ServerEntry[];
  readonly probe: (entry: ServerEntry) => Promise<ConnectionResult>;
  /** Called when the instance turns out to be cut, or to reach servers again. */
  readonly onChange: (isCut: boolean) => void;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly now?: () => number;
}

/** After a connection was made, the first failures of others within this long are theirs. */
const REACH_LIFETIME_MILLISECONDS = 300;
/** Servers tried at once to find out whether it is one of them or the instance itself. */
const PROBES_TO_DECIDE = 4;
const PROBES_TO_CONFIRM = 2;
/** So many servers that fail, of two data centres where there are two, make the instance the likelier fault. */
const FAILURES_TO_DECIDE = 3;
const DATA_CENTRES_TO_DECIDE = 2;
const PROBES_WHILE_CUT = 2;
const PROBE_INTERVAL_MILLISECONDS = 300;
/** Servers that have to accept a connection, in quick succession, to end the cut. */
const CONTACTS_TO_RECOVER = 2;
const RECOVERY_WINDOW_MILLISECONDS = 1500;

/** Takes servers at random, from one data centre after the other. */
function pickSpread(servers: readonly ServerEntry[], count: number): ServerEntry[] {
  const byDataCentre = new Map<string, ServerEntry[]>();
  [...servers]
    .sort(() => Math.random() - 0.5)
    .forEach((entry) => {
      const group = byDataCentre.get(entry.dataCentre);
      if (group) group.push(entry);
      else byDataCentre.set(entry.dataCentre, [entry]);
    });
  const groups = [...byDataCentre.values()];
  const longest = Math.max(0, ...groups.map(({ length }) => length));
  const picked = Array.from({ length: longest }, (_, index) =>
    groups.flatMap((group) => group[index] ?? []),
  );
  return picked.flat().slice(0, count);
}

export class ServerReach {
  readonly #options: ServerReachOptions;

  readonly #now: () => number;

  /** Servers to which a connection failed since one last succeeded. */
  readonly #failed = new Map<string, ServerEntry>();

  /** While cut: servers that accepted a connection lately, and when. */
  readonly #contacts = new Map<string, number>();

  /** When a server last accepted a connection. */
  #connectedAt = Number.NEGATIVE_INFINITY;

  /** How many connections were accepted. */
  #connections = 0;

  #lastConnectedId: string | undefined;

  #isChecking = false;

  #isCheckPlanned = false;

  #isCut = false;

  /** When the first of the failed connections failed. */
  #failingSince = 0;

  constructor(options: ServerReachOptions) {
    this.#options = options;
    this.#now = options.now ?? (() => performance.now());
  }

  /** Whether the instance reaches no backend server. */
  get isCut(): boolean {
    return this.#isCut;
  }

  /** When the first connection failed since the last one that succeeded, on the monotonic clock. */
  get failingSince(): number {
    return this.#failingSince;
  }

  /** Notes that a server accepted a new connection. */
  recordConnected({ id }: ServerEntry): void {
    const now = this.#now();
    this.#connectedAt = now;
    this.#connections += 1;
    this.#lastConnectedId = id;
    if (!this.#isCut) {
      this.#failed.clear();
      return;
    }
    this.#contacts.set(id, now);
    this.#contacts.forEach((contactAt, other) => {
      if (now - contactAt > RECOVERY_WINDOW_MILLISECONDS) this.#contacts.delete(other);
    });
    const needed = Math.min(CONTACTS_TO_RECOVER, this.#options.listServers().length);
    if (this.#contacts.size >= needed) this.#endCut();
  }

  /** Notes that a new connection to a server was refused, reset or not made in time. */
  recordUnreachable(entry: ServerEntry): void {
    this.#noteFailure(entry);
    const isReachKnown =
      this.#now() - this.#connectedAt < REACH_LIFETIME_MILLISECONDS &&
      this.#failed.size < FAILURES_TO_DECIDE;
    if (isReachKnown) void this.#checkLater();
    else this.#startCheck();
  }

  /**
   * Finds out whether this instance reaches servers other than one that it couldn't connect to.
   *
   * @param entry - That server.
   * @returns True also if there is no other server to try.
   */
  async confirm({ id }: ServerEntry): Promise<boolean> {
    if (this.#isCut) return false;
    const connections = this.#connections;
    const others = this.#options.listServers().filter((entry) => entry.id !== id);
    await this.#probe(pickSpread(others, PROBES_TO_CONFIRM));
    return others.length === 0 || this.#connections > connections;
  }

  #noteFailure(entry: ServerEntry): void {
    if (this.#failed.size === 0) this.#failingSince = this.#now();
    this.#failed.set(entry.id, entry);
  }

  /** Checks once the last connection proves nothing any more, unless another one is made by then. */
  async #checkLater(): Promise<void> {
    if (this.#isCheckPlanned) return;
    this.#isCheckPlanned = true;
    await sleep(REACH_LIFETIME_MILLISECONDS, this.#options.signal);
    this.#isCheckPlanned = false;
    if (this.#failed.size > 0) this.#startCheck();
  }

  #startCheck(): void {
    if (!this.#isChecking && !this.#isCut) void this.#check();
  }

  /** Finds out whether other servers can be reached. */
  async #check(): Promise<void> {
    const connections = this.#connections;
    this.#isChecking = true;
    await this.#probe(this.#pickWitnesses());
    this.#isChecking = false;
    if (this.#connections === connections && this.#isLikelyCut()) this.#beginCut();
  }

  /** Takes the server that accepted the last connection, and others that haven't failed. */
  #pickWitnesses(): ServerEntry[] {
    const others = this.#options.listServers().filter(({ id }) => !this.#failed.has(id));
    const last = others.filter(({ id }) => id === this.#lastConnectedId);
    const rest = others.filter(({ id }) => id !== this.#lastConnectedId);
    return [...last, ...pickSpread(rest, PROBES_TO_DECIDE - last.length)];
  }

  #isLikelyCut(): boolean {
    const servers = this.#options.listServers();
    const failed = servers.filter(({ id }) => this.#failed.has(id));
    const countDataCentres = (entries: readonly ServerEntry[]): number =>
      new Set(entries.map(({ dataCentre }) => dataCentre)).size;
    return (
      failed.length >= Math.min(FAILURES_TO_DECIDE, Math.max(2, servers.length)) &&
      countDataCentres(failed) >= Math.min(DATA_CENTRES_TO_DECIDE, countDataCentres(servers))
    );
  }

  async #probe(entries: readonly ServerEntry[]): Promise<void> {
    await Promise.all(
      entries.map(async (entry) => {
        if ((await this.#options.probe(entry)) === 'held') this.recordConnected(entry);
        else this.#noteFailure(entry);
      }),
    );
  }

  #beginCut(): void {
    this.#isCut = true;
    this.#contacts.clear();
    this.#options.log.warn('No backend server can be reached; the instance is cut from them.', {
      failed: [...this.#failed.keys()],
      failingMilliseconds: Math.round(this.#now() - this.#failingSince),
    });
    this.#options.onChange(true);
    void this.#probeUntilReached();
  }

  #endCut(): void {
    this.#isCut = false;
    this.#failed.clear();
    this.#options.log.info('Backend servers can be reached again.', {
      servers: [...this.#contacts.keys()],
      cutMilliseconds: Math.round(this.#now() - this.#failingSince),
    });
    this.#options.onChange(false);
  }

  async #probeUntilReached(): Promise<void> {
    const { signal, listServers } = this.#options;
    while (this.#isCut && !signal.aborted) {
      await this.#probe(pickSpread(listServers(), PROBES_WHILE_CUT));
      await sleep(PROBE_INTERVAL_MILLISECONDS, signal);
    }
  }
}
