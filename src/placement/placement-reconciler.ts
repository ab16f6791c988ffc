/** The task that brings the engines of each model to what teams declare. */
import type { BackendDirectory } from '../backend/directory.js';
import { readBackend } from '../backend/queries/read-status.js';
import { sendOrder } from '../backend/commands/send-order.js';
import { sleep } from '../common/clock.js';
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { PlatformConnection } from '../platform/connection.js';
import type { Logger } from '../telemetry/log.js';
import { LeaseManager } from './lease-manager.js';
import { declaredModels, planOrders, wantedVersions, type PlannedOrder } from './placement-plan.js';

/** Options of {@link runPlacement}. */
export interface PlacementReconcilerOptions {
  readonly connection: PlatformConnection;
  readonly configuration: ConfigurationInForce;
  readonly directory: BackendDirectory;
  /** This incarnation of this instance. */
  readonly holder: string;
  /** Whether this instance is among those that seek the lease of a model. */
  readonly isCandidate: (model: string) => boolean;
  readonly leaseMilliseconds: number;
  readonly orderTimeoutMilliseconds: number;
  /** How long an engine may finish its requests before it loads all the same. */
  readonly drainTimeoutMilliseconds: number;
  /** How many engines of a model may load at once, to spare the weight store. */
  readonly maximumConcurrentLoads: number;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** The lease of one model, as operators see it. */
export interface PlacementLease {
  readonly model: string;
  readonly fencingNumber: number;
  readonly remainingMilliseconds: number;
}

const REPEAT_ORDER_MILLISECONDS = 3000;
const STATUS_TIMEOUT_MILLISECONDS = 500;
/** How much longer than the wait for its requests an engine stays cordoned. */
const CORDON_GRACE_MILLISECONDS = 10_000;

export class PlacementReconciler {
  readonly #options: PlacementReconcilerOptions;

  readonly #keepers = new Map<string, LeaseManager>();

  readonly #orderedAt = new Map<string, number>();

  readonly #cordonedAt = new Map<string, number>();

  constructor(options: PlacementReconcilerOptions) {
    this.#options = options;
  }

  /** The leases that this instance holds. */
  get heldLeases(): PlacementLease[] {
    return [...this.#keepers].flatMap(([model, keeper]) => {
      const { held } = keeper;
      if (!held) return [];
      const remainingMilliseconds = Math.round(held.validUntil - performance.now());
      return [{ model, fencingNumber: held.fencingNumber, remainingMilliseconds }];
    });
  }

  /** Keeps the leases and reconciles until the signal aborts, then gives the leases up. */
  async run(): Promise<void> {
    const { signal, leaseMilliseconds } = this.#options;
    while (!signal.aborted) {
      const models = declaredModels(this.#options.configuration.branches);
      await Promise.all(models.map((model) => this.#attend(model)));
      await sleep((leaseMilliseconds / 6) * (0.8 + 0.4 * Math.random()), signal);
    }
    await Promise.all([...this.#keepers.values()].map((keeper) => keeper.release()));
  }

  async #attend(model: string): Promise<void> {
    const keeper = this.#keeperOf(model);
    const isCandidate = this.#options.isCandidate(model);
    if (!isCandidate && !keeper.held) return;
    if (!isCandidate) {
      await keeper.release();
      return;
    }
    await keeper.acquireOrRenew();
    if (keeper.held) await this.#reconcile(model, keeper);
  }

  #keeperOf(model: string): LeaseManager {
    const known = this.#keepers.get(model);
    if (known) return known;
    const {
      connection,
      holder,
      leaseMilliseconds,
      orderTimeoutMilliseconds: orderMilliseconds,
    } = this.#options;
    const keeper = new LeaseManager({
      connection,
      name: `placement-${model}`,
      holder,
      durationMilliseconds: leaseMilliseconds,
      orderTimeoutMilliseconds: orderMilliseconds,
    });
    this.#keepers.set(model, keeper);
    return keeper;
  }

  async #reconcile(model: string, keeper: LeaseManager): Promise<void> {
    const { directory, configuration, maximumConcurrentLoads: concurrentLoads } = this.#options;
    const engines = directory.engines.filter(
      (server) => server.engine?.model === model && server.state === 'serving',
    );
    const now = performance.now();
    const isLoading = (id: string): boolean =>
      now - (this.#orderedAt.get(id) ?? -Infinity) < REPEAT_ORDER_MILLISECONDS;
    const loading = engines.filter((server) => server.engine?.loading || isLoading(server.id));
    const idle = engines.filter((server) => !loading.includes(server));
    const orders = planOrders(engines, wantedVersions(configuration.branches, model));
    const room = Math.max(0, concurrentLoads - loading.length);
    for (const order of orders.filter(({ server }) => idle.includes(server)).slice(0, room)) {
      await this.#give(order, keeper);
    }
  }

  /** Keeps new work from an engine; tells whether its requests are done, or have had their time. */
  async #isFreed({ server, wanted }: PlannedOrder): Promise<boolean> {
    const { directory, drainTimeoutMilliseconds: reloadMilliseconds } = this.#options;
    const now = performance.now();
    const cordonedAt = this.#cordonedAt.get(server.id);
    const milliseconds = reloadMilliseconds + CORDON_GRACE_MILLISECONDS;
    if (cordonedAt === undefined || now - cordonedAt > milliseconds) {
      const { version, adapter } = wanted;
      directory.publishCordon(server.id, { version, adapter, milliseconds });
      this.#cordonedAt.set(server.id, now);
      return false;
    }
    if (now - cordonedAt > reloadMilliseconds) return true;
    try {
      const reading = await readBackend('engine', server.address, STATUS_TIMEOUT_MILLISECONDS);
      const [running, queued] = reading.load;
      return running + queued === 0;
    } catch {
      return false;
    }
  }

  async #give(order: PlannedOrder, keeper: LeaseManager): Promise<void> {
    const { server, wanted } = order;
    if (!(await this.#isFreed(order))) return;
    this.#cordonedAt.delete(server.id);
    const fencingNumber = keeper.fencingNumberForOrder();
    if (fencingNumber === undefined) return;
    this.#orderedAt.set(server.id, performance.now());
    const { model, version, adapter } = wanted;
    const result = await sendOrder(
      server.address,
      { fencingNumber, model, version, adapter },
      this.#options.orderTimeoutMilliseconds,
    );
    this.#options.log.info(`Order ${result}.`, {
      backend: server.id,
      model,
      version,
      adapter,
      fencingNumber,
    });
  }
}
