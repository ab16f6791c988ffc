/** The state that the parts of one instance share, and who does what among instances. */
import { BackendDirectory } from '../backend/directory.js';
import type { Address } from '../common/address.js';
import { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { LinkContext } from '../peer/link-task.js';
import { Membership } from '../peer/membership.js';
import { PeerClients } from '../peer/peer-clients.js';
import { RecordTable } from '../peer/record-table.js';
import { createPlatformConnection } from '../platform/connection.js';
import { rankOwners } from '../routing/rendezvous.js';
import type { Settings } from '../settings/settings.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { Metrics } from '../telemetry/metrics.js';

/** Options of an instance. */
export interface DaemonOptions {
  readonly settings: Settings;
  readonly logs: LoggerFactory;
}

const WATCHERS_PER_DATA_CENTRE = 2;

/** The state that the parts of one instance share. */
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
    tableName: incarnation,
    table,
    exchangeMilliseconds: timeLimits.peerExchange,
  };
  const configuration = new ConfigurationInForce();
  const connection = createPlatformConnection({
    address: settings.platform.objectApi,
    timeoutMilliseconds: timeLimits.platformCall,
  });
  const directory = new BackendDirectory({
    table,
    log: logs('backend'),
    sharers: () => Math.max(1, membership.active.length),
  });
  const clients = new PeerClients();
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

/** The names of the instances that share work. */
export function listActiveInstances({ membership }: SharedState): string[] {
  return membership.active.map((member) => member.instance);
}

export function findOwner(subject: string, core: SharedState): string | undefined {
  return rankOwners(subject, listActiveInstances(core))[0];
}

export function findPeerAddress(
  instance: string | undefined,
  core: SharedState,
): Address | undefined {
  if (instance === undefined || instance === core.membership.self.instance) return undefined;
  return core.membership.find(instance)?.peerAddress;
}

export function isConfigurationWatcher(core: SharedState): boolean {
  const { membership } = core;
  const near = membership.active.filter(
    (member) => member.dataCentre === membership.self.dataCentre,
  );
  const names = near.map((member) => member.instance);
  return rankOwners('configuration watch', names, WATCHERS_PER_DATA_CENTRE).includes(
    membership.self.instance,
  );
}
