/**
 * The state shared by the components of one instance, and the assignment of work to instances by
 * rendezvous hashing.
 */
import { BackendDirectory } from '../backend/directory.js';
import type { Address } from '../common/address.js';
import { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { LinkContext } from '../peer/link-task.js';
import { Membership } from '../peer/membership.js';
import { PeerClientPool } from '../peer/peer-client-pool.js';
import { RecordTable } from '../peer/record-table.js';
import { createPlatformConnection } from '../platform/connection.js';
import { rankOwners } from '../routing/rendezvous.js';
import type { Settings } from '../settings/settings.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { Metrics } from '../telemetry/metrics.js';

/** Options of one instance of the daemon. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly logs: LoggerFactory;
}

const WATCHERS_PER_DATA_CENTRE = 2;

/** Creates the state shared by the components of one instance. */
export function createSharedState({ settings, logs }: DaemonOptions) {
  const incarnation = Date.now();
  const { instance, dataCentre, region, timeLimits } = settings;
  const { callerAddress, operatorAddress, peerAddress } = settings;
  const table = new RecordTable();
  const membership = new Membership({
    self: { instance, dataCentre, region, callerAddress, operatorAddress, peerAddress },
    incarnation,
    table,
    log: logs('peer'),
  });
  const link: LinkContext = {
    instance,
    region,
    tableId: incarnation,
    table,
    exchangeIntervalMilliseconds: timeLimits.peerExchange,
  };
  const configuration = new ConfigurationInForce();
  const connection = createPlatformConnection({
    address: settings.platform.objectApi,
    timeoutMilliseconds: timeLimits.platformCall,
  });
  const directory = new BackendDirectory({
    table,
    log: logs('backend'),
    countSharingInstances: () => Math.max(1, membership.active.length),
  });
  const clients = new PeerClientPool();
  const metrics = new Metrics({ address: settings.metrics, instance });
  return {
    incarnation,
    table,
    membership,
    link,
    configuration,
    connection,
    directory,
    clients,
    metrics,
  };
}

export type SharedState = ReturnType<typeof createSharedState>;

/** Returns the names of the active instances, which share the work. */
export function listActiveInstances({ membership }: SharedState): string[] {
  return membership.active.map((member) => member.instance);
}

/**
 * Finds the instance that owns a subject, such as a claim shard or an account limit.
 *
 * @returns The owner's name; undefined while no instance is active.
 */
export function findOwner(subject: string, state: SharedState): string | undefined {
  return rankOwners(subject, listActiveInstances(state))[0];
}

/** Returns a peer's address; undefined when the instance is this one, or is not known. */
export function findPeerAddress(
  instance: string | undefined,
  state: SharedState,
): Address | undefined {
  if (instance === undefined || instance === state.membership.self.instance) return undefined;
  return state.membership.find(instance)?.peerAddress;
}

/**
 * Tells whether this instance watches the configuration on the platform. Only a few instances in each
 * data centre do, so that the platform's load does not grow with their number; the others receive it
 * from peers.
 */
export function isConfigurationWatcher(state: SharedState): boolean {
  const { membership } = state;
  const sameDataCentre = membership.active.filter(
    (member) => member.dataCentre === membership.self.dataCentre,
  );
  const names = sameDataCentre.map((member) => member.instance);
  return rankOwners('configuration watch', names, WATCHERS_PER_DATA_CENTRE).includes(
    membership.self.instance,
  );
}
