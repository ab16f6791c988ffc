/**
 * The field of the planner lease that carries the orders in progress, so that the instance that takes the lease over
 * doesn't plan for a second time what engines are loading already. Handles leases of builds that don't know the field:
 * they keep it as it is and write their own term beside it, so that it counts only for the term that it names.
 */
import { z } from 'zod';
import type { CoverageOrder } from './coverage-orders.js';

/** An order in progress, as another instance reads it. */
export interface LeaseOrder extends CoverageOrder {
  /** When it expires, on the wall clock in milliseconds. */
  readonly expiresAt: number;
}

/** An order of the previous planner. */
export interface InheritedOrder {
  readonly order: CoverageOrder;
  readonly remainingMilliseconds: number;
}

/**
 * Bounds the lease to about 20 KB. Only the plan of a whole idle fleet has more orders; those left out are not known to
 * the next planner, which learns of them from the engines' reports.
 */
const MAXIMUM_ORDERS = 160;
const MAXIMUM_NAME_CHARACTERS = 200;
/** Far more than a model has layers; bounds what a reader loops over. */
const MAXIMUM_LAYERS = 100_000;
/** Bounds how long an order that was read can keep an engine out of plans; a longer one counts for this long. */
const MAXIMUM_DURATION_MILLISECONDS = 600_000;

const Name = z.string().min(1).max(MAXIMUM_NAME_CHARACTERS);
const WireOrder = z
  .object({
    service: Name,
    process: Name,
    from: z.number().int().min(0).max(MAXIMUM_LAYERS),
    to: z.number().int().min(1).max(MAXIMUM_LAYERS),
    expiresAt: z.number(),
    milliseconds: z.number().min(0).max(MAXIMUM_DURATION_MILLISECONDS),
  })
  .refine(({ from, to }) => from < to);
const WireOrders = z.object({ term: z.number(), list: z.array(z.unknown()) });

/** The field of the lease object. */
export interface WireOrdersField {
  readonly term: number;
  readonly list: readonly z.infer<typeof WireOrder>[];
}

/**
 * Writes the field.
 *
 * @param term - The term of the lease that carries it.
 * @param orders - The orders in progress and those about to be sent.
 */
export function encodeLeaseOrders(term: number, orders: readonly LeaseOrder[]): WireOrdersField {
  const list = orders
    .slice(0, MAXIMUM_ORDERS)
    .map(({ service, processKey, layers: { from, to }, durationMilliseconds, expiresAt }) => ({
      service,
      process: processKey,
      from,
      to,
      expiresAt: Math.round(expiresAt),
      milliseconds: Math.round(Math.min(durationMilliseconds, MAXIMUM_DURATION_MILLISECONDS)),
    }));
  return { term, list };
}

/**
 * Reads the field. An order that can't be read is left out by itself.
 *
 * @param field - The field as it was read, of any format.
 * @param term - The term of the lease.
 * @param wallNow - The wall clock in milliseconds. Where it differs from the writer's, an order still counts for no
 *   longer than its whole time.
 * @returns The orders that have not expired; none if the field is of another term.
 */
export function decodeLeaseOrders(field: unknown, term: number, wallNow: number): InheritedOrder[] {
  const { data } = WireOrders.safeParse(field);
  if (data?.term !== term) return [];
  return data.list.slice(0, MAXIMUM_ORDERS).flatMap((item) => {
    const { data: wire } = WireOrder.safeParse(item);
    if (!wire) return [];
    const { service, process: processKey, from, to, expiresAt, milliseconds } = wire;
    const remainingMilliseconds = Math.min(milliseconds, expiresAt - wallNow);
    if (remainingMilliseconds <= 0) return [];
    const order = {
      service,
      processKey,
      layers: { from, to },
      durationMilliseconds: milliseconds,
    };
    return [{ order, remainingMilliseconds }];
  });
}
