/** Tracks the instances of the system and their states, from records exchanged between peers. */
import { EventEmitter } from 'node:events';
import type { Logger } from '../telemetry/log.js';
import { createRecordAboutMember, Member, createOwnRecord, type MemberState } from './member.js';
import type { PeerRecord } from './record.js';
import type { RecordTable } from './record-table.js';

/** Options of {@link Membership}. */
export interface MembershipOptions {
  /** This instance. */
  readonly self: Omit<Member, 'state'>;
  /** When this process started, in milliseconds since the Unix epoch. */
  readonly incarnation: number;
  readonly table: RecordTable;
  readonly log: Logger;
  /** How long a suspect has to publish that it is live before it is marked as gone. */
  readonly suspicionTimeoutMilliseconds?: number;
  /** How long a gone member stays in the table. */
  readonly goneRetentionMilliseconds?: number;
}

/** The members known to this instance. Publishes this instance's own state to peers. */
export class Membership {
  readonly #options: MembershipOptions;

  readonly #members = new Map<string, Member>();

  /** When each member last changed its state, in monotonic milliseconds. */
  readonly #changedAt = new Map<string, number>();

  readonly #events = new EventEmitter();

  /** The sources whose records could not all be read; a line is logged for the first record of each. */
  readonly #unreadableSources = new Set<string>();

  #state: MemberState = 'joining';

  constructor(options: MembershipOptions) {
    this.#options = options;
    options.table.onRecord('member', (record) => this.#applyRecord(record));
    options.table.onUnreadable((reason, source) => this.#noteUnreadable(reason, source));
    this.#publishOwnState();
  }

  /** This instance, without its state. */
  get self(): Omit<Member, 'state'> {
    return this.#options.self;
  }

  /** Every known member, including this instance and members that are gone. */
  get members(): Member[] {
    return [...this.#members.values()];
  }

  /** The members that accept requests from callers. */
  get live(): Member[] {
    return this.members.filter((member) => member.state === 'live');
  }

  /** The members among which work is divided: those that are live or joining. */
  get active(): Member[] {
    return this.members.filter((member) => member.state === 'live' || member.state === 'joining');
  }

  /** Finds a member by the name of its instance; gone members are found too. */
  find(instance: string): Member | undefined {
    return this.#members.get(instance);
  }

  /** Registers a listener that is called when another member appears or changes its state. */
  onChanged(listener: (member: Member) => void): void {
    this.#events.on('changed', listener);
  }

  /** Publishes that this instance is live. Has no effect unless it is joining. */
  markLive(): void {
    if (this.#state !== 'joining') return;
    this.#state = 'live';
    this.#publishOwnState();
  }

  /** Publishes that this instance is leaving. */
  markLeaving(): void {
    this.#state = 'leaving';
    this.#publishOwnState();
  }

  /**
   * Publishes that a member does not answer. It is marked as gone unless it publishes a newer
   * record of its own within the suspicion timeout.
   *
   * @param instance - The member's name.
   */
  markSuspect(instance: string): void {
    const member = this.#members.get(instance);
    if (!member || member.state === 'suspect' || member.state === 'gone') return;
    this.#publishStateOf(member, 'suspect');
  }

  /**
   * Marks suspects as gone when the suspicion timeout has passed, and removes members that have
   * been gone for longer than the retention time.
   */
  expireMembers(): void {
    const {
      suspicionTimeoutMilliseconds = 3000,
      goneRetentionMilliseconds = 600_000,
      table,
    } = this.#options;
    const now = performance.now();
    this.#members.forEach((member, instance) => {
      const age = now - (this.#changedAt.get(instance) ?? now);
      if (member.state === 'suspect' && age > suspicionTimeoutMilliseconds)
        this.#publishStateOf(member, 'gone');
      if (member.state === 'gone' && age > goneRetentionMilliseconds) {
        this.#members.delete(instance);
        this.#changedAt.delete(instance);
        table.remove('member', instance);
      }
    });
  }

  #publishStateOf(member: Member, state: 'suspect' | 'gone'): void {
    const { table, log } = this.#options;
    const record = table.get('member', member.instance);
    if (!record) return;
    if (table.put(createRecordAboutMember(record, member, state), '', true)) {
      log.warn(`Member marked as ${state}.`, { member: member.instance });
    }
  }

  #publishOwnState(): void {
    const { table, self, incarnation } = this.#options;
    const current = table.get('member', self.instance);
    const counter = current?.epoch === incarnation ? current.counter : 0;
    table.put(createOwnRecord({ ...self, state: this.#state }, incarnation, counter), '', true);
  }

  #noteUnreadable(reason: string, source: string): void {
    if (this.#unreadableSources.has(source)) return;
    this.#unreadableSources.add(source);
    this.#options.log.warn('Left out a record of a peer that does not match the schema.', {
      source,
      reason,
    });
  }

  #applyRecord(record: PeerRecord): void {
    const { self, incarnation, log } = this.#options;
    const parsed = Member.safeParse(record.value);
    if (!parsed.success) {
      log.warn('Ignored an invalid member record.', { key: record.key });
      return;
    }
    const member = parsed.data;
    if (member.instance === self.instance && record.epoch === incarnation) {
      // This instance decides its own state. If a peer published another one, a newer record
      // overrides that.
      this.#members.set(member.instance, { ...self, state: this.#state });
      if (member.state !== this.#state) this.#publishOwnState();
      return;
    }
    const previous = this.#members.get(member.instance);
    this.#members.set(member.instance, member);
    if (previous?.state === member.state) return;
    this.#changedAt.set(member.instance, performance.now());
    this.#events.emit('changed', member);
  }
}
