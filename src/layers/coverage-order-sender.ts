/**
 * Sends placement orders to engines and follows them until they are carried out. Handles engines that are busy, pause
 * or don't answer, and a lease that runs out between its renewal and the order.
 */
import { sleep } from '../common/clock.js';
import { getErrorMessage } from '../common/http-client.js';
import type { EntryMetrics } from '../entry/entry-metrics.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import type { EngineReports } from '../evidence/engine-reports.js';
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import { getAvailability } from '../fleet/server-availability.js';
import type { LayerRange } from '../fleet/server-entry.js';
import type { Logger } from '../telemetry/log.js';
import type { CoverageOrder, OrdersInProgress } from './coverage-orders.js';
import { isSameRange } from './layer-ranges.js';
import type { LeaseState, PlannerLease } from './planner-lease.js';

/** Options of {@link OrderSender}. */
export interface OrderSenderOptions {
  readonly outlierEjection: OutlierEjection;
  readonly protocol: Pick<ProtocolAdapter, 'sendPlacementOrder'>;
  readonly reports: Pick<EngineReports, 'fetch'>;
  readonly lease: Pick<PlannerLease, 'isValid'>;
  readonly orders: OrdersInProgress;
  readonly metrics: Pick<EntryMetrics, 'countEvent'>;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

const REPORT_TIMEOUT_MILLISECONDS = 400;
/** Time between two checks whether an engine has carried out an order. */
const ORDER_CHECK_INTERVAL_MILLISECONDS = 300;
const ORDER_TIMEOUT_MILLISECONDS = 500;
/** Time without orders to an engine that is busy or has rejected an order. */
const BUSY_PAUSE_MILLISECONDS = 1000;

export class OrderSender {
  readonly #options: OrderSenderOptions;

  /** By process of an engine: until when no order is sent to it, on the monotonic clock. */
  readonly #busyUntil = new Map<string, number>();

  constructor(options: OrderSenderOptions) {
    this.#options = options;
  }

  /** Whether no order is sent to an engine's process now, as it is busy, pauses or has rejected one. */
  isPausing(processKey: string): boolean {
    const until = this.#busyUntil.get(processKey);
    if (until === undefined) return false;
    if (until >= performance.now()) return true;
    this.#busyUntil.delete(processKey);
    return false;
  }

  /**
   * Sends an order to an engine, unless the lease has run out or the engine is busy. An engine whose report cannot be
   * read is ejected.
   *
   * @param server - The engine.
   * @param order - The order.
   * @param leaseState - Result of the lease renewal before the round.
   */
  async send(server: FleetServer, order: CoverageOrder, leaseState: LeaseState): Promise<void> {
    const { reports, lease, orders, outlierEjection } = this.#options;
    const { id } = server.entry;
    const { processKey } = order;
    if (isClosed(server)) {
      this.#busyUntil.set(processKey, server.ownWord.pausedUntil);
      return;
    }
    orders.start(order);
    try {
      const report = await reports.fetch(server, REPORT_TIMEOUT_MILLISECONDS);
      storeLayerReport(server, report.layers);
      // If the store does not answer, the order sequence number that each engine checks keeps two
      // planners from overriding each other's orders.
      if (leaseState === 'held' && !lease.isValid) orders.end(processKey);
      else if (report.isBusy) this.#pause(processKey);
      else await this.#sendChecked(server, order, report.orderSequence);
    } catch (error) {
      orders.end(processKey);
      if (isClosed(server)) this.#busyUntil.set(processKey, server.ownWord.pausedUntil);
      else outlierEjection.eject(id, getErrorMessage(error));
    }
  }

  /**
   * Reads an engine's reports until it has carried out its order, or the order has ended.
   *
   * @param server - The engine.
   * @param order - An order in progress.
   */
  async follow(server: FleetServer, { processKey, layers }: CoverageOrder): Promise<void> {
    const { reports, orders, signal, log } = this.#options;
    const { id } = server.entry;
    while (!signal.aborted) {
      await sleep(ORDER_CHECK_INTERVAL_MILLISECONDS, signal);
      const order = orders.find(processKey, getHeldLayers(server));
      if (!order || !isSameRange(order.layers, layers)) return;
      // The engine is not asked while it pauses; its registry entry will show the layers.
      if (isClosed(server)) return;
      try {
        const report = await reports.fetch(server, REPORT_TIMEOUT_MILLISECONDS);
        storeLayerReport(server, report.layers);
        if (orders.applyReport(processKey, report)) {
          log.info('Engine carried out the order.', { id, ...layers });
          return;
        }
      } catch (error) {
        log.info('Could not read the report of the engine; no longer checking its order.', {
          id,
          message: getErrorMessage(error),
        });
        return;
      }
    }
  }

  async #sendChecked(
    server: FleetServer,
    order: CoverageOrder,
    expectedSequence: number,
  ): Promise<void> {
    const { protocol, orders, log, metrics } = this.#options;
    const { id, address } = server.entry;
    const placementOrder = { ...order.layers, expectedSequence };
    const result = await protocol.sendPlacementOrder(
      address,
      placementOrder,
      ORDER_TIMEOUT_MILLISECONDS,
    );
    log.info('Order sent to the engine.', { id, ...placementOrder, result });
    metrics.countEvent(`order_${result}`);
    if (result === 'conflict' || result === 'refused') {
      this.#pause(order.processKey);
      return;
    }
    // The engine may carry out the order seconds later; until then it counts as dropping layers only.
    if (result === 'unknown') orders.markUnconfirmed(order.processKey);
    void this.follow(server, order);
  }

  /** Ends the order of an engine that has not accepted it, and sends it none for a time. */
  #pause(processKey: string): void {
    this.#options.orders.end(processKey);
    this.#busyUntil.set(processKey, performance.now() + BUSY_PAUSE_MILLISECONDS);
  }
}

/** Whether the engine wants no requests for a time. */
function isClosed(server: FleetServer): boolean {
  return getAvailability(server, performance.now()) === 'closed';
}

/** Stores the layers that an engine reports, if its registry entry does not show them yet. */
function storeLayerReport(server: FleetServer, layers: LayerRange | undefined): void {
  if (layers && !isSameRange(layers, server.entry.layers)) {
    server.ownLayerReport = { layers, reportedAt: performance.now() };
  }
}
