/** What an instance on a platform tells operators, in the form that the command line shows. */
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { ServingConfiguration } from '../entry/serving-configuration.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import { getHeldLayers, type BackendFleet, type FleetServer } from '../fleet/backend-fleet.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { PlannerLease } from '../layers/planner-lease.js';

/** The parts of an instance that its documents tell of. */
export interface StatusSources {
  readonly settings: EntrySettings;
  readonly configuration: ActiveConfiguration;
  readonly fleet: BackendFleet;
  readonly suspicions: OutlierEjection;
  readonly lease: PlannerLease;
  /** This instance's record. */
  readonly own: () => PeerRecord;
  /** Records of the peers that are alive. */
  readonly peers: () => readonly PeerRecord[];
  readonly openRequests: () => number;
}

function stateOf({ isReady, isStopping }: PeerRecord): string {
  if (isStopping) return 'leaving';
  return isReady ? 'live' : 'joining';
}

function describeStatus(sources: StatusSources): unknown {
  const { configuration, fleet, lease, openRequests } = sources;
  const { instance, dataCentre, incarnation, isStoreReachable, ...own } = sources.own();
  return {
    instance,
    dataCentre,
    incarnation,
    state: stateOf({ instance, dataCentre, incarnation, isStoreReachable, ...own }),
    configurationVersion: own.configurationVersion,
    configurationAgeMilliseconds: Math.round(configuration.ageMilliseconds()),
    fleetRevision: fleet.revision,
    isStoreReachable,
    isPlanner: lease.isHolder,
    openRequests: openRequests(),
  };
}

function describeMembers({ own, peers, settings }: StatusSources): unknown {
  const members = [own(), ...peers()].map((record) => ({
    instance: record.instance,
    dataCentre: record.dataCentre,
    region: record.dataCentre === settings.dataCentre ? settings.region : undefined,
    state: stateOf(record),
    callerAddress: record.callers,
    operatorAddress: record.peers,
  }));
  return { members };
}

function describeServer(server: FleetServer, suspicions: OutlierEjection): unknown {
  const {
    entry,
    ownLoad: own,
    peerLoad: others,
    ownSlowdownFactor: ownSlowFactor,
    peerSlowdownFactor: othersSlowFactor,
  } = server;
  const isSuspect = suspicions.isEjected(entry.id);
  return {
    id: entry.id,
    kind: entry.service,
    dataCentre: entry.dataCentre,
    state: entry.isLeaving ? 'leaving' : 'serving',
    usable: !entry.isLeaving && !isSuspect,
    limit: entry.slots,
    inFlight: own.requests,
    load: own.requests + others.requests,
    slowness: Math.max(ownSlowFactor, othersSlowFactor),
    accelerator: entry.kind,
    layers: getHeldLayers(server),
  };
}

function describeStages({ fleet, configuration }: StatusSources): unknown {
  const stages = fleet.servers.flatMap((server) => {
    const layers = getHeldLayers(server);
    if (!layers) return [];
    const { service, kind, slots, id } = server.entry;
    const model = configuration.current?.services.get(service)?.engine?.modelName ?? service;
    return [{ model, from: layers.from, to: layers.to, accelerator: kind, servers: id, slots }];
  });
  return { stages: stages.sort((one, other) => one.from - other.from) };
}

function describeLeases({ lease }: StatusSources): unknown {
  const held = { model: 'planner', fencingNumber: lease.term };
  return {
    leases: lease.isHolder ? [{ ...held, remainingMilliseconds: lease.remainingMilliseconds }] : [],
  };
}

/** The API keys of client accounts are left out. */
function describeConfiguration(current: ServingConfiguration | undefined): unknown {
  if (!current) return undefined;
  const { version, routes, services, accounts, limits } = current;
  const accountNames = new Set([...accounts.values()].map(({ name }) => name));
  return {
    version,
    routes,
    services: [...services.values()].map(({ name, healthPath, engine }) => ({
      name,
      healthPath,
      model: engine?.modelName,
    })),
    accounts: [...accountNames].sort(),
    limits,
  };
}

function describeAddresses({ own, peers }: StatusSources): unknown {
  const ready = [own(), ...peers()].filter((record) => stateOf(record) === 'live');
  return {
    addresses: ready.map(({ instance, dataCentre, callers }) => ({
      instance,
      dataCentre,
      ...callers,
    })),
  };
}

/**
 * Makes the documents of an instance.
 *
 * @param sources - The parts that they tell of.
 * @returns For each path what makes its document; undefined stands for none yet.
 */
export function createStatusDocuments(
  sources: StatusSources,
): Readonly<Record<string, () => unknown>> {
  const { fleet, suspicions, configuration } = sources;
  return {
    '/v1/status': () => describeStatus(sources),
    '/v1/members': () => describeMembers(sources),
    '/v1/backends': () => ({
      backends: fleet.servers.map((server) => describeServer(server, suspicions)),
    }),
    '/v1/pipelines': () => describeStages(sources),
    '/v1/leases': () => describeLeases(sources),
    '/v1/configuration': () => describeConfiguration(configuration.current),
    '/v1/addresses': () => describeAddresses(sources),
  };
}
