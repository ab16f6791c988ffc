/** Members: the instances of this system as they know of each other. */
import { z } from 'zod';
import { Address } from '../common/address.js';
import type { PeerRecord } from './record.js';

/** The states of a member. */
export const MEMBER_STATES = ['joining', 'live', 'leaving', 'suspect', 'gone'] as const;
export type MemberState = (typeof MEMBER_STATES)[number];

/** One instance of this system. */
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
 * A member's own statement raises its counter by a whole round; what others say of it ranks
 * within the round, so that the member can always refute them.
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
 * Makes the record by which a member speaks of itself.
 *
 * @param member - The member.
 * @param incarnation - When its process started, in milliseconds.
 * @param previousCounter - The highest counter seen of this incarnation.
 * @returns A record later than that one.
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
 * Makes the record by which one member speaks of another.
 *
 * @param record - The other member's record.
 * @param member - The other member.
 * @param state - What is said of it.
 * @returns A record that the other member can refute.
 */
export function createRecordAboutMember(
  record: PeerRecord,
  member: Member,
  state: 'suspect' | 'gone',
): PeerRecord {
  const counter = Math.floor(record.counter / COUNTER_ROUND) * COUNTER_ROUND + STATE_RANKS[state];
  return { ...record, counter, value: { ...member, state } };
}
