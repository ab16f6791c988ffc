/** The records that instances replicate among themselves, and the order of their versions. */
import { z } from 'zod';

/** The kinds of record. */
export const RECORD_KINDS = [
  'member',
  'configuration',
  'backend',
  'load',
  'cordon',
  'suspicion',
] as const;

/** Whether records of a kind are sent to every instance or only within a region. */
export const RECORD_SCOPES: Readonly<Record<RecordKind, 'everywhere' | 'region'>> = {
  member: 'everywhere',
  configuration: 'everywhere',
  backend: 'everywhere',
  load: 'region',
  cordon: 'everywhere',
  suspicion: 'everywhere',
};

/** One replicated value. Of two records with the same kind and key, the newer one replaces the other. */
export const PeerRecord = z.object({
  kind: z.enum(RECORD_KINDS),
  key: z.string().min(1).max(200),
  /** Compared first, for example the incarnation of the subject. */
  epoch: z.number(),
  /** Compared when the epochs are equal. */
  counter: z.number(),
  value: z.unknown(),
});
export type PeerRecord = z.infer<typeof PeerRecord>;
export type RecordKind = (typeof RECORD_KINDS)[number];

/** Tells whether the first of two records of the same kind and key is newer than the other. */
export function isNewer(one: PeerRecord, other: PeerRecord): boolean {
  if (one.epoch !== other.epoch) return one.epoch > other.epoch;
  return one.counter > other.counter;
}
