/** The entry of one instance in the membership, and the records that publish it to peers. */
import { z } from 'zod';
import { Address } from '../common/address.js';
import type { PeerRecord } from './record.js';

/**
 * The states of a member. It publishes `joining`, `live` and `leaving` itself; `suspect` and `gone`
 * are published by other members.
 */
export const MEMBER_STATES = ['joining', 'live', 'leaving', 'suspect', 'gone'] as const;
export type MemberState = (typeof MEMBER_STATES)[number];

/** One instance of the system. */
export const Member = z.object({
  instance: z.string(),
  dataCentre: z.string(),
  region: z.string(),
  callerAddress: Address,
  operatorAddress: Address,
  peerAddress: Address,
  state: z.enum(MEMBER_STATES),
});
export type Member = z.infer<typeof Member>;

/**
 * A member that publishes its own state raises the counter of its record to the next multiple of
 * this value, plus the rank of the state. Other members change only the rank, within the current
 * multiple, so the next record of the member itself always overrides theirs.
 */
const COUNTER_ROUND = 10;
const STATE_RANKS: Readonly<Record<MemberState, number>> = {
  joining: 0,
  live: 1,
  leaving: 2,
  suspect: 3,
  gone: 4,
};

/**
 * Creates the record with which a member publishes its own state.
 *
 * @param member - The member with the state to publish.
 * @param incarnation - When its process started, in milliseconds since the Unix epoch.
 * @param previousCounter - The highest counter seen for this incarnation, 0 if there is none.
 * @returns A record that is newer than any with that counter.
 */
export function createOwnRecord(
  member: Member,
  incarnation: number,
  previousCounter: number,
): PeerRecord {
  const counter =
    (Math.floor(previousCounter / COUNTER_ROUND) + 1) * COUNTER_ROUND + STATE_RANKS[member.state];
  return { kind: 'member', key: member.instance, epoch: incarnation, counter, value: member };
}

/**
 * Creates the record with which one member publishes that another does not answer.
 *
 * @param record - The current record of the other member.
 * @param member - The other member.
 * @param state - The state to publish.
 * @returns A record that is newer than the current one, and older than the next one that the
 *   other member publishes of itself.
 */
export function createRecordAboutMember(
  record: PeerRecord,
  member: Member,
  state: 'suspect' | 'gone',
): PeerRecord {
  const counter = Math.floor(record.counter / COUNTER_ROUND) * COUNTER_ROUND + STATE_RANKS[state];
  return { ...record, counter, value: { ...member, state } };
}
