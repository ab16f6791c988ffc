/**
 * A complete system for tests: daemons as separate processes, and the platform, engines and
 * services as stand-ins in the process of the test, which can switch on their faults.
 */
import {
  DaemonGroup,
  DEFAULT_CONFIGURATION,
  type DaemonLocation,
  type SharedSettings,
} from './daemon-group.js';
import type { EngineSettings } from './stand-ins/engine-protocol.js';
import { startEngine, type EngineStandIn } from './stand-ins/engine.js';
import { startInstanceList, type InstanceListStandIn } from './stand-ins/instance-list.js';
import { startObjectApi, type ObjectApiStandIn } from './stand-ins/object-api.js';
import { startPlainService, type PlainServiceStandIn } from './stand-ins/plain-service.js';

/** Options of {@link startFleet}. */
export interface FleetOptions {
  /** The location of each daemon. */
  readonly instances: readonly DaemonLocation[];
  readonly engines?: readonly Partial<EngineSettings>[];
  readonly services?: readonly { readonly service: string; readonly dataCentre?: string }[];
  /** The settings of the team; {@link DEFAULT_CONFIGURATION} by default. */
  readonly configuration?: unknown;
  /** The time until readers of the instance list see a change. */
  readonly listLagMilliseconds?: number;
  readonly settings?: SharedSettings;
}

/** A group of daemons together with the stand-ins that they use. */
export class Fleet extends DaemonGroup {
  readonly engines: EngineStandIn[] = [];

  readonly services: PlainServiceStandIn[] = [];

  readonly objectApi: ObjectApiStandIn;

  readonly instanceList: InstanceListStandIn;

  constructor(
    objectApi: ObjectApiStandIn,
    instanceList: InstanceListStandIn,
    settings: SharedSettings = {},
  ) {
    super({ objectApiPort: objectApi.port, instanceListPort: instanceList.port, settings });
    this.objectApi = objectApi;
    this.instanceList = instanceList;
  }

  /** Every call that any replica of a plain service executed, grouped by replica. */
  get journal(): PlainServiceStandIn['journal'] {
    return this.services.flatMap((service) => service.journal);
  }

  /**
   * Starts another engine and adds it to the instance list.
   *
   * @param settings - Settings that differ from the defaults.
   * @returns The running stand-in.
   */
  async addEngine(settings: Partial<EngineSettings>): Promise<EngineStandIn> {
    const id = settings.id ?? `engine-${this.engines.length + 1}`;
    const dataCentre = settings.dataCentre ?? 'dc-a';
    const engine = await startEngine({ ...settings, id, dataCentre });
    this.engines.push(engine);
    await this.registerInstance({ id, kind: 'engine', port: engine.port, dataCentre });
    return engine;
  }

  /**
   * Starts another replica of a plain service and adds it to the instance list.
   *
   * @param service - The name of the service.
   * @param dataCentre - The data centre that the list states for the replica.
   * @returns The running stand-in.
   */
  async addService(service: string, dataCentre = 'dc-a'): Promise<PlainServiceStandIn> {
    const replica = await startPlainService();
    this.services.push(replica);
    const id = `${service}-${this.services.length}`;
    await this.registerInstance({ id, kind: 'service', service, port: replica.port, dataCentre });
    return replica;
  }

  override async waitUntilReady(
    backends = this.engines.length + this.services.length,
  ): Promise<void> {
    await super.waitUntilReady(backends);
  }

  override async stop(): Promise<void> {
    await super.stop();
    const standIns = [this.objectApi, this.instanceList, ...this.engines, ...this.services];
    await Promise.all(standIns.map((standIn) => standIn.close()));
  }
}

/**
 * Starts a fleet and waits until all its daemons are ready.
 *
 * @param options - The daemons, engines, services and configuration of the fleet.
 * @returns The running fleet; on failure, everything that was started is stopped.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const objectApi = await startObjectApi();
  const instanceList = await startInstanceList(options.listLagMilliseconds ?? 0);
  const fleet = new Fleet(objectApi, instanceList, options.settings);
  try {
    for (const engine of options.engines ?? []) await fleet.addEngine(engine);
    for (const { service, dataCentre } of options.services ?? []) {
      await fleet.addService(service, dataCentre);
    }
    for (const place of options.instances) await fleet.addDaemon(place);
    await fleet.configure(options.configuration ?? DEFAULT_CONFIGURATION);
    await fleet.waitUntilReady();
    return fleet;
  } catch (error) {
    await fleet.stop();
    throw error;
  }
}
