/** Records: the small facts that instances spread among themselves. */
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

/** How far a kind of record is spread. */
export const RECORD_SCOPES: Readonly<Record<RecordKind, 'everywhere' | 'region'>> = {
  member: 'everywhere',
  configuration: 'everywhere',
  backend: 'everywhere',
  load: 'region',
  cordon: 'everywhere',
  suspicion: 'everywhere',
};

/** One fact about one subject; of two records with the same kind and key the later stands. */
export const PeerRecord = z.object({
  kind: z.enum(RECORD_KINDS),
  key: z.string().min(1).max(200),
  /** Compared first: for example the subject's incarnation. */
  epoch: z.number(),
  /** Compared when epochs are equal. */
  counter: z.number(),
  value: z.unknown(),
});
export type PeerRecord = z.infer<typeof PeerRecord>;
export type RecordKind = (typeof RECORD_KINDS)[number];

/**
 * Compares two records of the same kind and key.
 *
 * @param one - A record.
 * @param other - Another record of the same subject.
 * @returns Whether the first one is later.
 */
export function isNewer(one: PeerRecord, other: PeerRecord): boolean {
  if (one.epoch !== other.epoch) return one.epoch > other.epoch;
  return one.counter > other.counter;
}
