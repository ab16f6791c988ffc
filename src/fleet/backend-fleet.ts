/**
 * Registry of all backend servers with their load and state as seen by this instance and its peers.
 */
import { formatAddress } from '../common/address.js';
import { LruMap } from '../common/lru-map.js';
import type { Logger } from '../telemetry/log.js';
import { STATE_OF_NEW_PROCESS, type FleetServer, type OwnWord } from './fleet-server.js';
import { isLaterStart, isReplacedBy } from './newer-process.js';
import { getProcessKey, type ServerEntry } from './server-entry.js';

/** Options of {@link BackendFleet}. */
export interface BackendFleetOptions {
  readonly log: Logger;
  /** Called with the key of a process that is shown to have ended. */
  readonly onEnded?: (processKey: string) => void;
  /** Called when a server has started again under its id; what is known of the old process is void. */
  readonly onRestarted?: (id: string) => void;
  /** Called when a process has become known; other entries of the same list may follow. */
  readonly onRegistered?: () => void;
  readonly now?: () => number;
}

/** After the store is back from an outage, entries of running servers may be missing for this long. */
const MISSING_ENTRY_GRACE_MILLISECONDS = 1900;

/** Ended processes that are remembered; far more than may run one request. */
const MAXIMUM_ENDED_PROCESSES = 1000;
const MAXIMUM_OWN_WORDS = 2000;

export class BackendFleet {
  readonly #servers = new Map<string, FleetServer>();

  readonly #log: Logger;

  readonly #onEnded: (processKey: string) => void;

  readonly #onRestarted: (id: string) => void;

  readonly #onRegistered: () => void;

  readonly #now: () => number;

  /** Revision of the store that the servers reflect. */
  revision = 0;

  /** Era of the store to which the revision belongs; undefined where only an older build told the revision. */
  era: number | undefined;

  /** When the store was back from an outage in which entries may have lapsed, on the monotonic clock. */
  storeBackAt = Number.NEGATIVE_INFINITY;

  /** Keys of processes that are shown to have ended, also when they are no longer registered. */
  readonly #endedProcesses = new LruMap<string, true>(MAXIMUM_ENDED_PROCESSES);

  /**
   * Processes whose entries said last that they leave. Outlasts the entries, which an older copy of the store
   * may bring back as they were before.
   */
  readonly #leaving = new LruMap<string, true>(MAXIMUM_OWN_WORDS);

  /** Revision of the first list of this era; an entry that was written later is none of the older copy. */
  #eraRevision = -1;

  /** Whether entries are those of an older copy of the store, whose order says nothing of which process is newer. */
  #isReadingCopy = false;

  /** By process. */
  readonly #ownWords = new LruMap<string, OwnWord>(MAXIMUM_OWN_WORDS);

  constructor(options: BackendFleetOptions) {
    this.#log = options.log;
    this.#onEnded = options.onEnded ?? (() => undefined);
    this.#onRestarted = options.onRestarted ?? (() => undefined);
    this.#onRegistered = options.onRegistered ?? (() => undefined);
    this.#now = options.now ?? (() => performance.now());
  }

  /**
   * Notes that a server's process has ended. Only what the server's own host says shows this; silence
   * doesn't, as a slow link or a busy process on this side looks the same.
   *
   * @param entry - The entry of that process.
   * @param evidence - What shows it, for the log.
   */
  recordEnd(entry: ServerEntry, evidence: string): void {
    const { id, incarnation } = entry;
    const processKey = getProcessKey(entry);
    if (this.hasEnded(processKey)) return;
    this.#endedProcesses.set(processKey, true);
    const { revision } = this;
    this.#log.info('Backend server has ended.', { id, incarnation, evidence, revision });
    this.#onEnded(processKey);
  }

  /**
   * Notes that a server has said in an answer that it leaves; that process gets no new request.
   *
   * @param entry - The entry of that process.
   */
  recordLeaving(entry: ServerEntry): void {
    const ownWord = this.#getOwnWord(entry);
    if (ownWord.isLeaving) return;
    ownWord.isLeaving = true;
    const { id, incarnation } = entry;
    this.#log.info('Backend server says that it leaves.', {
      id,
      incarnation,
      revision: this.revision,
    });
  }

  /**
   * Notes that a server wants nothing from this instance for a time.
   *
   * @param entry - The entry of the process that said so.
   * @param milliseconds - How long. An earlier word that reaches further stays in force.
   */
  recordPause(entry: ServerEntry, milliseconds: number): void {
    const ownWord = this.#getOwnWord(entry);
    ownWord.pausedSince = this.#now();
    ownWord.pausedUntil = Math.max(ownWord.pausedUntil, this.#now() + milliseconds);
  }

  /** Keys of registered processes that have told this instance that they leave. */
  get leavingProcessKeys(): string[] {
    return this.servers
      .filter(({ ownWord }) => ownWord.isLeaving)
      .map(({ entry }) => getProcessKey(entry));
  }

  /** Withdraws {@link recordEnd}, since the process has answered. */
  recordLife(entry: ServerEntry): void {
    this.#endedProcesses.delete(getProcessKey(entry));
  }

  /**
   * Whether a server's process is shown to have ended; false while that is only likely.
   *
   * @param processKey - As {@link getProcessKey} returns it.
   */
  hasEnded(processKey: string): boolean {
    return this.#endedProcesses.get(processKey) === true;
  }

  /**
   * All registered servers, including leaving ones; discards those that have been missing too long.
   */
  get servers(): readonly FleetServer[] {
    this.#removeExpiredMissing();
    return [...this.#servers.values()];
  }

  /**
   * Finds a server by its id.
   *
   * @param id - Id of the server's registry entry.
   * @returns The server, or undefined if it is not registered.
   */
  find(id: string): FleetServer | undefined {
    return this.#servers.get(id);
  }

  /**
   * Finds a server by the address on which it listens.
   *
   * @param address - The address as `host:port`.
   * @returns The server, one that hasn't ended if there is one; undefined if none is registered with this
   *   address.
   */
  findByAddress(address: string): FleetServer | undefined {
    const servers = this.servers.filter(({ entry }) => formatAddress(entry.address) === address);
    return servers.find(({ entry }) => !this.hasEnded(getProcessKey(entry))) ?? servers[0];
  }

  /**
   * Lists the servers of a service that are not leaving, by their entries or by their own word.
   *
   * @param service - Name of the service.
   * @returns The servers, ejected and full ones included.
   */
  listForService(service: string): FleetServer[] {
    return this.servers.filter(
      ({ entry, ownWord }) => entry.service === service && !entry.isLeaving && !ownWord.isLeaving,
    );
  }

  /**
   * Replaces all entries; ignored if they are older than the current ones.
   *
   * @param entries - All entries in the store.
   * @param revision - Revision of the store that the entries reflect.
   */
  replaceAll(entries: readonly ServerEntry[], revision: number): void {
    if (revision < this.revision) return;
    this.revision = revision;
    const present = new Set(entries.map(({ id }) => id));
    entries.forEach((entry) => this.#applyEntry(entry));
    [...this.#servers.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.#removeOrMarkMissing(id));
  }

  /**
   * Replaces all entries by those of a store that is back from an older copy, in which entries may be missing
   * that are written again. A process that was leaving still is, until its entry is written again; none has ended
   * because the copy has an earlier one in its place.
   *
   * @param entries - All entries in the store.
   * @param revision - Revision of the store that the entries reflect.
   * @param era - The era of that revision.
   */
  replaceAllInEra(entries: readonly ServerEntry[], revision: number, era: number): void {
    this.#log.warn('The store is back from an older copy.', { era, before: this.era, revision });
    this.era = era;
    this.revision = 0;
    this.storeBackAt = this.#now();
    this.#eraRevision = revision;
    this.#isReadingCopy = true;
    this.replaceAll(entries, revision);
    this.#isReadingCopy = false;
    this.#servers.forEach((server) => {
      server.knownSinceRevision = revision;
    });
  }

  /**
   * Adds or updates one entry.
   *
   * @param entry - The new entry.
   * @param revision - Revision of the store after the change.
   */
  put(entry: ServerEntry, revision: number): void {
    this.revision = Math.max(this.revision, revision);
    this.#applyEntry({ ...entry, revision: entry.revision ?? revision });
  }

  /**
   * Removes a server whose entry was deleted or is invalid. Right after a store outage the server
   * is only marked as missing, since its entry may come back.
   *
   * @param id - Name of the entry, which is the id of the server.
   * @param revision - Revision of the store after the change.
   */
  remove(id: string, revision: number): void {
    this.revision = Math.max(this.revision, revision);
    this.#removeOrMarkMissing(id);
  }

  /** By id of a server whose entry is missing after a store outage: how long the store has been back. */
  get missingMilliseconds(): Record<string, number> {
    const missing: Record<string, number> = {};
    this.servers.forEach(({ entry, missingSince }) => {
      if (missingSince !== undefined) missing[entry.id] = this.#now() - missingSince;
    });
    return missing;
  }

  /**
   * Marks servers as missing that a peer reported so; they are removed when their time is up here.
   *
   * @param missingMilliseconds - By id, how long the store has been back without the entry.
   */
  markMissing(missingMilliseconds: Readonly<Record<string, number>>): void {
    Object.entries(missingMilliseconds).forEach(([id, milliseconds]) => {
      const known = this.#servers.get(id);
      if (known) known.missingSince = this.#now() - milliseconds;
    });
  }

  #getOwnWord(entry: ServerEntry): OwnWord {
    const processKey = getProcessKey(entry);
    const known = this.#ownWords.get(processKey);
    if (known) return known;
    const ownWord = { isLeaving: false, pausedSince: 0, pausedUntil: 0 };
    this.#ownWords.set(processKey, ownWord);
    return ownWord;
  }

  /** Corrects an entry that an older copy of the store gives as it was before its process left. */
  #keepLeaving(entry: ServerEntry): ServerEntry {
    const processKey = getProcessKey(entry);
    if (entry.isLeaving) this.#leaving.set(processKey, true);
    if (entry.isLeaving || this.#leaving.get(processKey) !== true) return entry;
    if ((entry.revision ?? 0) <= this.#eraRevision) return { ...entry, isLeaving: true };
    this.#leaving.delete(processKey);
    return entry;
  }

  #applyEntry(read: ServerEntry): void {
    const entry = this.#keepLeaving(read);
    const known = this.#servers.get(entry.id);
    if (!known) {
      this.#recordReplacedServers(entry);
      this.#log.info('Backend server registered.', { ...entry, revision: this.revision });
      this.#servers.set(entry.id, {
        entry,
        knownSinceRevision: this.revision,
        ownWord: this.#getOwnWord(entry),
        ownLoad: { requests: 0, reservedTokenLayers: 0 },
        peerLoad: { requests: 0, reservedTokenLayers: 0 },
        ...STATE_OF_NEW_PROCESS,
        missingSince: undefined,
      });
      this.#onRegistered();
      return;
    }
    if (getProcessKey(known.entry) !== getProcessKey(entry)) {
      if (isLaterStart(known.entry, entry, !this.#isReadingCopy))
        this.recordEnd(known.entry, `it started again, incarnation ${entry.incarnation}`);
      Object.assign(known, STATE_OF_NEW_PROCESS, { ownWord: this.#getOwnWord(entry) });
      this.#onRestarted(entry.id);
      this.#onRegistered();
    }
    if (known.entry.isLeaving !== entry.isLeaving) {
      this.#log.info('Backend server is leaving.', { id: entry.id, revision: this.revision });
    }
    if (haveLayersChanged(known.entry, entry)) {
      known.ownLayerReport = undefined;
      known.peerLayerReport = undefined;
    }
    known.entry = entry;
    known.missingSince = undefined;
  }

  #recordReplacedServers(entry: ServerEntry): void {
    if (this.#isReadingCopy) return;
    this.#servers.forEach((server) => {
      if (isReplacedBy(server, entry, this.revision))
        this.recordEnd(server.entry, `its address was given to ${entry.id}`);
    });
  }

  #removeOrMarkMissing(id: string): void {
    const known = this.#servers.get(id);
    if (!known) return;
    const mayComeBack = this.#now() - this.storeBackAt < MISSING_ENTRY_GRACE_MILLISECONDS;
    if (!mayComeBack || known.entry.isLeaving) {
      this.#servers.delete(id);
      this.#log.info('Backend server removed: its registry entry is gone.', {
        id,
        revision: this.revision,
      });
      return;
    }
    known.missingSince ??= this.storeBackAt;
  }

  #removeExpiredMissing(): void {
    const oldest = this.#now() - MISSING_ENTRY_GRACE_MILLISECONDS;
    this.#servers.forEach((server, id) => {
      if (server.missingSince === undefined || server.missingSince > oldest) return;
      this.#servers.delete(id);
      this.#log.info('Backend server removed: its registry entry did not come back.', {
        id,
        revision: this.revision,
        missed: true,
      });
    });
  }
}

function haveLayersChanged(before: ServerEntry, after: ServerEntry): boolean {
  return before.layers?.from !== after.layers?.from || before.layers?.to !== after.layers?.to;
}
