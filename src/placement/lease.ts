/**
 * Leases in the object API, and when another instance may take one over. Each change of holder
 * raises the fencing number. Only monotonic clocks are compared, so wall clocks may differ: a
 * holder measures from before it wrote the lease, an observer from when it first read that write.
 */
import { z } from 'zod';

/** A lease as it is stored. Fields of a newer build are kept by each write. */
export const Lease = z.looseObject({
  /** The incarnation of the instance that holds the lease; empty after a release. */
  holder: z.string(),
  /** Raised by every change of holder, so that engines can refuse orders of an earlier holder. */
  fencingNumber: z.number().int().min(1),
  durationMilliseconds: z.number().int().min(1),
  /** How often the current holder has renewed the lease. */
  renewals: z.number().int().min(0),
  /** Unique to each write, so that a writer whose response was lost can recognise its write. */
  token: z.string(),
});
export type Lease = z.infer<typeof Lease>;

/** The prefix of the object keys of all leases in the object API. */
export const LEASE_PREFIX = 'leases/';

/** The stored version of a lease that an observer read last, and since when it has read it. */
export interface LeaseObservation {
  readonly version: number;
  /** When this version was first read, on the observer's monotonic clock in milliseconds. */
  readonly firstSeenAt: number;
}

/** The rates of two monotonic clocks may differ by this fraction. */
const CLOCK_RATE_MARGIN = 0.1;

/**
 * Tells whether a lease has certainly expired on its holder's clock too, so that an observer may
 * take it over.
 *
 * @param lease - The lease as last read.
 * @param observation - Since when the observer has read this version of the lease.
 * @param now - The observer's monotonic clock, in milliseconds.
 */
export function hasExpired(lease: Lease, observation: LeaseObservation, now: number): boolean {
  const waitMilliseconds = lease.durationMilliseconds * (1 + CLOCK_RATE_MARGIN);
  return now - observation.firstSeenAt > waitMilliseconds;
}
