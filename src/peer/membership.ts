/** Which instances there are and in what state, kept from records that peers spread. */
import { EventEmitter } from 'node:events';
import type { Logger } from '../telemetry/log.js';
import { createRecordAboutMember, Member, createOwnRecord, type MemberState } from './member.js';
import type { PeerRecord } from './record.js';
import type { RecordTable } from './record-table.js';

/** Options of {@link Membership}. */
export interface MembershipOptions {
  readonly self: Omit<Member, 'state'>;
  readonly incarnation: number;
  readonly table: RecordTable;
  readonly log: Logger;
  /** How long a suspected member has to refute, in milliseconds. */
  readonly suspicionTimeoutMilliseconds?: number;
  /** How long a gone member is remembered, in milliseconds. */
  readonly goneRetentionMilliseconds?: number;
}

export class Membership {
  readonly #options: MembershipOptions;

  readonly #members = new Map<string, Member>();

  readonly #changedAt = new Map<string, number>();

  readonly #events = new EventEmitter();

  #state: MemberState = 'joining';

  constructor(options: MembershipOptions) {
    this.#options = options;
    options.table.onRecord('member', (record) => this.#applyRecord(record));
    this.#publishOwnState();
  }

  /** This instance's name. */
  get self(): Omit<Member, 'state'> {
    return this.#options.self;
  }

  /** Every member known, this instance and gone ones included. */
  get members(): Member[] {
    return [...this.#members.values()];
  }

  /** The members that callers may be sent to. */
  get live(): Member[] {
    return this.members.filter((member) => member.state === 'live');
  }

  /** The members that share the work among instances: the live and those that will be soon. */
  get active(): Member[] {
    return this.members.filter((member) => member.state === 'live' || member.state === 'joining');
  }

  /**
   * Finds a member.
   *
   * @param instance - The member's name.
   * @returns The member, if it is known.
   */
  find(instance: string): Member | undefined {
    return this.#members.get(instance);
  }

  /** Calls back whenever a member appears or changes its state. */
  onChanged(listener: (member: Member) => void): void {
    this.#events.on('changed', listener);
  }

  /** Says that this instance serves, if it was joining. */
  serve(): void {
    if (this.#state !== 'joining') return;
    this.#state = 'live';
    this.#publishOwnState();
  }

  /** Says that this instance is leaving. */
  leave(): void {
    this.#state = 'leaving';
    this.#publishOwnState();
  }

  /**
   * Says that a member does not answer. It is taken for gone if it does not refute that.
   *
   * @param instance - The member's name.
   */
  markSuspect(instance: string): void {
    const member = this.#members.get(instance);
    if (!member || member.state === 'suspect' || member.state === 'gone') return;
    this.#publishStateOf(member, 'suspect');
  }

  /** Turns suspicions that were not refuted in time into absence; forgets the long gone. */
  expireMembers(): void {
    const {
      suspicionTimeoutMilliseconds: suspicionMilliseconds = 3000,
      goneRetentionMilliseconds: goneKeptMilliseconds = 600_000,
      table,
    } = this.#options;
    const now = performance.now();
    this.#members.forEach((member, instance) => {
      const age = now - (this.#changedAt.get(instance) ?? now);
      if (member.state === 'suspect' && age > suspicionMilliseconds)
        this.#publishStateOf(member, 'gone');
      if (member.state === 'gone' && age > goneKeptMilliseconds) {
        this.#members.delete(instance);
        this.#changedAt.delete(instance);
        table.drop('member', instance);
      }
    });
  }

  #publishStateOf(member: Member, state: 'suspect' | 'gone'): void {
    const { table, log } = this.#options;
    const record = table.get('member', member.instance);
    if (!record) return;
    if (table.put(createRecordAboutMember(record, member, state), '', true)) {
      log.warn(`Member is ${state}.`, { member: member.instance });
    }
  }

  #publishOwnState(): void {
    const { table, self, incarnation } = this.#options;
    const known = table.get('member', self.instance);
    const counter = known?.epoch === incarnation ? known.counter : 0;
    table.put(createOwnRecord({ ...self, state: this.#state }, incarnation, counter), '', true);
  }

  #applyRecord(record: PeerRecord): void {
    const { self, incarnation, log } = this.#options;
    const parsed = Member.safeParse(record.value);
    if (!parsed.success) {
      log.warn('A member record is invalid and was left out.', { key: record.key });
      return;
    }
    const member = parsed.data;
    if (member.instance === self.instance && record.epoch === incarnation) {
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
