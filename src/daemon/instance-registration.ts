/**
 * Registers this instance in the store and learns from there which peers exist, and which requests are no
 * longer run because servers end under them. All instances may be lost at the same moment, and servers
 * would end again before the next ones have found out; so the planner keeps what blocks requests in its
 * own object.
 */
import { z } from 'zod';
import { sleep } from '../common/clock.js';
import type { Blocks, CrashBlame } from '../evidence/crash-blame.js';
import { CRASH_RETENTION_MILLISECONDS } from '../evidence/crash-records.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PeerRecord } from '../gossip/peer-record.js';
import { parseTolerantly } from '../gossip/tolerant-parse.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import { keepWritableFields } from '../store/writable-fields.js';
import type { Logger } from '../telemetry/log.js';
import { createPlaceholderRecord } from './own-record.js';

/** Options of {@link InstanceRegistration}. */
export interface InstanceRegistrationOptions {
  readonly settings: EntrySettings;
  readonly store: ObjectStore;
  readonly crashBlame: CrashBlame;
  /** Called for each instance that is registered. */
  readonly onPeer: (record: PeerRecord) => void;
  /** Whether this instance keeps for all what blocks requests. */
  readonly isKeeper: () => boolean;
  readonly log: Logger;
  readonly signal: AbortSignal;
  readonly wallClock?: () => number;
}

/** What blocks requests, as it lies in the store. */
const KeptBlocks = z.object({
  /** When it was written, in wall-clock milliseconds; clocks may differ by seconds. */
  writtenAt: z.number().int().min(0),
  crashes: PeerRecord.shape.crashes,
  crashesWhileWritten: PeerRecord.shape.crashesWhileWritten,
  promptParts: PeerRecord.shape.promptParts.unwrap(),
  clock: PeerRecord.shape.clock.unwrap(),
});
const RegisteredBlocks = z.object({ blocks: z.unknown() });
/** The fields of an object, known or not. */
const ObjectFields = z.record(z.string(), z.unknown()).catch({});

const INSTANCE_KIND = 'instances';
const RETRY_MILLISECONDS = 500;
/** What blocks requests may change several times while servers end in quick succession. */
const KEEP_INTERVAL_MILLISECONDS = 1000;

const NO_BLOCKS: Blocks = { crashes: {}, promptParts: { ends: {}, written: {}, tried: {} } };

/** Names what is blocked, without times. */
function describeKeys({ crashes, promptParts }: Blocks): string {
  return JSON.stringify([Object.keys(crashes).sort(), Object.keys(promptParts.ends).sort()]);
}

/** The object of this instance in the store. */
export class InstanceRegistration {
  readonly #options: InstanceRegistrationOptions;

  readonly #wallClock: () => number;

  #revision: number | undefined;

  /** This instance's object as it was last seen, perhaps written by another build. */
  #storedValue: unknown;

  #isWithdrawn = false;

  /** What this instance's object blocks. */
  #keptKeys = describeKeys(NO_BLOCKS);

  constructor(options: InstanceRegistrationOptions) {
    this.#options = options;
    this.#wallClock = options.wallClock ?? (() => Date.now());
  }

  /** Registers, retrying until the store responds. */
  async register(): Promise<void> {
    const { settings, store, log, signal, onPeer } = this.#options;
    while (!signal.aborted && !this.#isWithdrawn) {
      const created = await store.create(INSTANCE_KIND, settings.instance, this.#ownValue);
      const listed = await store.list(INSTANCE_KIND);
      if (listed.kind === 'listed' && created.kind !== 'unavailable') {
        listed.objects.forEach((object) => {
          const record = createPlaceholderRecord(object);
          if (record) onPeer(record);
          else log.warn('Registration does not match the schema; ignored.', { name: object.name });
          this.#restoreBlocks(object);
        });
        this.#noteStored(listed.objects.find(({ name }) => name === settings.instance));
        log.info('Registered in the store.', { known: listed.objects.length });
        return;
      }
      await sleep(RETRY_MILLISECONDS, signal);
    }
  }

  /** Registers once more, after a store that is back from an older copy has lost what was written there. */
  async registerAgain(): Promise<void> {
    this.#keptKeys = describeKeys(NO_BLOCKS);
    await this.register();
  }

  /** Keeps what blocks requests in the store, until the signal aborts. */
  async keepBlocks(): Promise<void> {
    const { signal } = this.#options;
    while (!signal.aborted) {
      await sleep(KEEP_INTERVAL_MILLISECONDS, signal);
      const isKeeper = this.#options.isKeeper() || this.#keptKeys !== describeKeys(NO_BLOCKS);
      if (isKeeper && !this.#isWithdrawn) await this.writeBlocks();
    }
  }

  /** Writes what blocks requests, unless it is what the object holds. */
  async writeBlocks(): Promise<void> {
    const { settings, store, crashBlame, log } = this.#options;
    const blocks = crashBlame.describeBlocks();
    const keys = JSON.stringify([
      Object.keys(blocks.crashes),
      Object.keys(blocks.promptParts.ends),
    ]);
    if (this.#revision === undefined || keys === this.#keptKeys) return;
    const kept = { ...blocks, writtenAt: this.#wallClock(), clock: Math.round(performance.now()) };
    const value = this.#createValue(kept);
    const result = await store.replace(INSTANCE_KIND, settings.instance, {
      value,
      revision: this.#revision,
    });
    if (result.kind === 'written') {
      this.#keptKeys = keys;
      this.#noteStored({ ...result.object, value });
      log.info('Blocked requests kept in the store.', { blocks });
      return;
    }
    if (result.kind === 'conflict') this.#noteStored(result.current);
    log.warn('Could not keep blocked requests in the store; retrying.', { result: result.kind });
  }

  /** Withdraws the registration, as the instance stops; peers still have what it kept. */
  withdraw(): void {
    this.#isWithdrawn = true;
    void this.#options.store.remove(INSTANCE_KIND, this.#options.settings.instance);
  }

  get #ownValue(): Record<string, unknown> {
    const { dataCentre, listen } = this.#options.settings;
    return { dataCentre, callers: listen.callers, peers: listen.peers };
  }

  #noteStored(object: StoredObject | undefined): void {
    this.#revision = object?.revision;
    this.#storedValue = object?.value;
  }

  /** Creates the object's next value; what other builds wrote and this one doesn't know stays. */
  #createValue(kept: Readonly<Record<string, unknown>>): Record<string, unknown> {
    const fields = ObjectFields.parse(this.#storedValue);
    const storedBlocks = keepWritableFields(ObjectFields.parse(fields.blocks));
    const stored = keepWritableFields({ ...fields, blocks: undefined });
    const blocks = { ...storedBlocks, crashesWhileWritten: undefined, ...kept };
    return { ...stored, ...this.#ownValue, blocks };
  }

  #restoreBlocks({ name, value }: StoredObject): void {
    const { crashBlame, log, settings } = this.#options;
    const blocks = RegisteredBlocks.safeParse(value).data?.blocks;
    if (blocks === undefined) return;
    const { value: found, message } = parseTolerantly(KeptBlocks, blocks);
    if (message !== undefined)
      log.warn('Blocked requests in the store do not match the schema; what does is used.', {
        keeper: name,
        message,
      });
    if (!found) return;
    const { writtenAt, clock, promptParts, ...reportedCrashes } = found;
    const ageMilliseconds = Math.max(0, this.#wallClock() - writtenAt);
    if (name === settings.instance) this.#keptKeys = describeKeys(found);
    if (ageMilliseconds < CRASH_RETENTION_MILLISECONDS) crashBlame.contents.merge(reportedCrashes);
    crashBlame.promptParts.merge(promptParts, clock + ageMilliseconds);
    log.info('Blocked requests read from the store.', { keeper: name, ageMilliseconds });
  }
}
