/**
 * The orders that engines are carrying out, as far as this instance knows. Handles orders whose answer is lost, orders
 * of a planner that is gone, and engines that end an order without having loaded its layers: until an engine reports
 * the ordered layers, the order counts as dropping layers and not as adding any.
 */
import type { LayerRange } from '../fleet/server-entry.js';
import { intersectRanges, isSameRange } from './layer-ranges.js';

/** An order to a process of an engine. */
export interface CoverageOrder {
  readonly service: string;
  /** Key of the engine's process; an order doesn't reach the process that takes its place. */
  readonly processKey: string;
  readonly layers: LayerRange;
  /** After this time an order without effect counts as ended. */
  readonly durationMilliseconds: number;
}

/** An order that the engine is assumed to carry out until it expires. */
export interface OrderInProgress extends CoverageOrder {
  /** Monotonic clock. */
  readonly expiresAt: number;
  /** Until when it may still be accepted, if the engine has not shown that it was; on the monotonic clock. */
  readonly unconfirmedUntil: number | undefined;
}

/** What an engine reports of itself. */
export interface OrderReport {
  readonly layers: LayerRange | undefined;
  readonly isBusy: boolean;
}

/** What an engine serves and will hold, as far as it is known. */
export interface OrderedLayers {
  /** The layers to plan with. */
  readonly planned: LayerRange | undefined;
  /** The layers that it holds now and that its order keeps. */
  readonly kept: LayerRange | undefined;
}

/** An engine may still carry out an order whose response was lost for this long. */
export const UNCONFIRMED_ORDER_MILLISECONDS = 4000;

function getEnd({ expiresAt, unconfirmedUntil }: OrderInProgress): number {
  return Math.min(expiresAt, unconfirmedUntil ?? expiresAt);
}

/**
 * Returns the layers that an engine with an order serves, and those to plan with.
 *
 * @param order - The order.
 * @param held - The layers that the engine holds now.
 */
export function applyOrder(order: OrderInProgress, held: LayerRange | undefined): OrderedLayers {
  const kept = intersectRanges(held, order.layers);
  return { planned: order.unconfirmedUntil === undefined ? order.layers : kept, kept };
}

export class OrdersInProgress {
  readonly #now: () => number;

  readonly #orders = new Map<string, OrderInProgress>();

  /**
   * Creates an empty list of orders.
   *
   * @param now - The monotonic clock, in milliseconds.
   */
  constructor(now: () => number) {
    this.#now = now;
  }

  /** Adds an order that is about to be sent. */
  start(order: CoverageOrder): void {
    const expiresAt = this.#now() + order.durationMilliseconds;
    this.#orders.set(order.processKey, { ...order, expiresAt, unconfirmedUntil: undefined });
  }

  /**
   * Adds an order of the previous planner, unless this instance knows one for the process.
   *
   * @param order - The order.
   * @param remainingMilliseconds - The time until it expires.
   * @returns Whether it was added.
   */
  restore(order: CoverageOrder, remainingMilliseconds: number): boolean {
    if (remainingMilliseconds <= 0 || this.#orders.has(order.processKey)) return false;
    const expiresAt = this.#now() + Math.min(order.durationMilliseconds, remainingMilliseconds);
    this.#orders.set(order.processKey, { ...order, expiresAt, unconfirmedUntil: undefined });
    return true;
  }

  /** Notes that no answer to an order arrived. */
  markUnconfirmed(processKey: string): void {
    const order = this.#orders.get(processKey);
    if (!order || order.unconfirmedUntil !== undefined) return;
    const unconfirmedUntil = this.#now() + UNCONFIRMED_ORDER_MILLISECONDS;
    this.#orders.set(processKey, { ...order, unconfirmedUntil });
  }

  /** Removes an order that the engine didn't accept or has carried out. */
  end(processKey: string): void {
    this.#orders.delete(processKey);
  }

  /**
   * Applies a report that an engine gave after its order was sent. A busy engine is carrying the order out. One that is
   * not, and lacks the layers, has ended it or has not received it yet.
   *
   * @param processKey - Key of the engine's process.
   * @param report - The report.
   * @returns Whether the order is carried out.
   */
  applyReport(processKey: string, { layers, isBusy }: OrderReport): boolean {
    const order = this.#orders.get(processKey);
    if (!order) return false;
    if (isBusy) {
      this.#orders.set(processKey, { ...order, unconfirmedUntil: undefined });
      return false;
    }
    if (!isSameRange(order.layers, layers)) {
      this.markUnconfirmed(processKey);
      return false;
    }
    this.end(processKey);
    return true;
  }

  /**
   * Finds the order of an engine's process. One that has expired, or whose layers the engine holds, has ended.
   *
   * @param processKey - Key of the engine's process.
   * @param held - The layers that the engine holds now.
   */
  find(processKey: string, held: LayerRange | undefined): OrderInProgress | undefined {
    const order = this.#orders.get(processKey);
    if (!order) return undefined;
    if (getEnd(order) > this.#now() && !isSameRange(order.layers, held)) return order;
    this.#orders.delete(processKey);
    return undefined;
  }

  /** Lists the orders that have not expired. */
  list(): OrderInProgress[] {
    const now = this.#now();
    [...this.#orders.values()]
      .filter((order) => getEnd(order) <= now)
      .forEach(({ processKey }) => this.#orders.delete(processKey));
    return [...this.#orders.values()];
  }
}
