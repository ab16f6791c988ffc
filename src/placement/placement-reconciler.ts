/**
 * The control loop of placement. For each declared model, the instance that holds the model's lease
 * compares what its engines hold with what teams declare, drains engines and orders them to load.
 */
import type { BackendDirectory } from '../backend/directory.js';
import { readBackendStatus } from '../backend/queries/read-status.js';
import { sendOrder } from '../backend/commands/send-order.js';
import { sleep } from '../common/clock.js';
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { PlatformConnection } from '../platform/connection.js';
import type { Logger } from '../telemetry/log.js';
import { LeaseManager } from './lease-manager.js';
import {
  collectDesiredVersions,
  listDeclaredModels,
  planOrders,
  type PlannedOrder,
} from './placement-plan.js';

/** Options of {@link PlacementReconciler}. */
export interface PlacementReconcilerOptions {
  readonly connection: PlatformConnection;
  readonly configuration: ConfigurationInForce;
  readonly directory: BackendDirectory;
  /** The unique name of this incarnation of this instance, under which it holds leases. */
  readonly holder: string;
  /** Whether this instance is one of the few that try to acquire a model's lease. */
  readonly isCandidate: (model: string) => boolean;
  /** How long a lease is valid after each renewal. */
  readonly leaseMilliseconds: number;
  /** How long an engine may take to answer an order. */
  readonly orderTimeoutMilliseconds: number;
  /** How long an engine may take to finish its open requests before it is reloaded anyway. */
  readonly drainTimeoutMilliseconds: number;
  /** How many engines of a model may load at once, which limits the load on the weight store. */
  readonly maximumConcurrentLoads: number;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** A model's lease that this instance holds, as it is shown to operators. */
export interface PlacementLease {
  readonly model: string;
  readonly fencingNumber: number;
  readonly remainingMilliseconds: number;
}

/** An engine counts as loading for this long after an order, before its own status shows it. */
const REPEAT_ORDER_MILLISECONDS = 3000;
const STATUS_TIMEOUT_MILLISECONDS = 500;
/** How much longer than the drain time-out an engine stays cordoned. */
const CORDON_GRACE_MILLISECONDS = 10_000;

export class PlacementReconciler {
  readonly #options: PlacementReconcilerOptions;

  readonly #leaseManagers = new Map<string, LeaseManager>();

  /** When each engine was last sent an order, on the monotonic clock in milliseconds. */
  readonly #lastOrderAt = new Map<string, number>();

  /** When each engine was cordoned, on the monotonic clock in milliseconds. */
  readonly #cordonedAt = new Map<string, number>();

  constructor(options: PlacementReconcilerOptions) {
    this.#options = options;
  }

  /** The leases that this instance holds, one for each model that it manages. */
  get heldLeases(): PlacementLease[] {
    return [...this.#leaseManagers].flatMap(([model, leaseManager]) => {
      const { held } = leaseManager;
      if (!held) return [];
      const remainingMilliseconds = Math.round(held.validUntil - performance.now());
      return [{ model, fencingNumber: held.fencingNumber, remainingMilliseconds }];
    });
  }

  /** Reconciles all declared models until the signal aborts, then releases the held leases. */
  async run(): Promise<void> {
    const { signal, leaseMilliseconds } = this.#options;
    while (!signal.aborted) {
      const models = listDeclaredModels(this.#options.configuration.branches);
      await Promise.all(models.map((model) => this.#maintainModel(model)));
      await sleep((leaseMilliseconds / 6) * (0.8 + 0.4 * Math.random()), signal);
    }
    await Promise.all(
      [...this.#leaseManagers.values()].map((leaseManager) => leaseManager.release()),
    );
  }

  /** Renews or releases a model's lease and, if it is held, reconciles the model's engines. */
  async #maintainModel(model: string): Promise<void> {
    const leaseManager = this.#getOrCreateLeaseManager(model);
    const isCandidate = this.#options.isCandidate(model);
    if (!isCandidate && !leaseManager.held) return;
    if (!isCandidate) {
      await leaseManager.release();
      return;
    }
    await leaseManager.acquireOrRenew();
    if (leaseManager.held) await this.#reconcile(model, leaseManager);
  }

  #getOrCreateLeaseManager(model: string): LeaseManager {
    const existing = this.#leaseManagers.get(model);
    if (existing) return existing;
    const { connection, holder, leaseMilliseconds, orderTimeoutMilliseconds } = this.#options;
    const leaseManager = new LeaseManager({
      connection,
      name: `placement-${model}`,
      holder,
      durationMilliseconds: leaseMilliseconds,
      orderTimeoutMilliseconds,
    });
    this.#leaseManagers.set(model, leaseManager);
    return leaseManager;
  }

  /** Sends the orders that the plan contains to idle engines, as far as load limits allow. */
  async #reconcile(model: string, leaseManager: LeaseManager): Promise<void> {
    const { directory, configuration, maximumConcurrentLoads } = this.#options;
    const engines = directory.engines.filter(
      (server) => server.engine?.model === model && server.state === 'serving',
    );
    const now = performance.now();
    const isRecentlyOrdered = (id: string): boolean =>
      now - (this.#lastOrderAt.get(id) ?? -Infinity) < REPEAT_ORDER_MILLISECONDS;
    const loading = engines.filter(
      (server) => server.engine?.loading || isRecentlyOrdered(server.id),
    );
    const idle = engines.filter((server) => !loading.includes(server));
    const orders = planOrders(engines, collectDesiredVersions(configuration.branches, model));
    const availableLoads = Math.max(0, maximumConcurrentLoads - loading.length);
    for (const order of orders
      .filter(({ server }) => idle.includes(server))
      .slice(0, availableLoads)) {
      await this.#drainAndOrder(order, leaseManager);
    }
  }

  /**
   * Cordons an engine, so that it gets no new requests, and in later rounds checks its load. Returns
   * true once the engine has no requests left or the drain time-out has passed.
   */
  async #drain({ server, desired }: PlannedOrder): Promise<boolean> {
    const { directory, drainTimeoutMilliseconds } = this.#options;
    const now = performance.now();
    const cordonedAt = this.#cordonedAt.get(server.id);
    const cordonMilliseconds = drainTimeoutMilliseconds + CORDON_GRACE_MILLISECONDS;
    if (cordonedAt === undefined || now - cordonedAt > cordonMilliseconds) {
      const { version, adapter } = desired;
      directory.publishCordon(server.id, { version, adapter, milliseconds: cordonMilliseconds });
      this.#cordonedAt.set(server.id, now);
      return false;
    }
    if (now - cordonedAt > drainTimeoutMilliseconds) return true;
    try {
      const status = await readBackendStatus('engine', server.address, STATUS_TIMEOUT_MILLISECONDS);
      const [running, queued] = status.load;
      return running + queued === 0;
    } catch {
      return false;
    }
  }

  /** Sends the order once the engine is drained, if the lease still allows it. */
  async #drainAndOrder(order: PlannedOrder, leaseManager: LeaseManager): Promise<void> {
    const { server, desired } = order;
    if (!(await this.#drain(order))) return;
    this.#cordonedAt.delete(server.id);
    const fencingNumber = leaseManager.getFencingNumberForOrder();
    if (fencingNumber === undefined) return;
    this.#lastOrderAt.set(server.id, performance.now());
    const { model, version, adapter } = desired;
    const result = await sendOrder(
      server.address,
      { fencingNumber, model, version, adapter },
      this.#options.orderTimeoutMilliseconds,
    );
    this.#options.log.info(`Placement order to an engine: ${result}.`, {
      backend: server.id,
      model,
      version,
      adapter,
      fencingNumber,
    });
  }
}
