/**
 * Builds the JSON documents, one for each path, that an entry instance serves to operators and that
 * the command line displays.
 */
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { ServingConfiguration } from '../entry/serving-configuration.js';
import type { EntrySettings } from '../entry/entry-settings.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import { getHeldLayers, type FleetServer } from '../fleet/fleet-server.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { PeerRecord } from '../gossip/peer-record.js';
import type { PlannerLease } from '../layers/planner-lease.js';
import type { EventLoopDelay } from '../telemetry/event-loop-delay.js';

/** The components of an instance that its documents describe. */
export interface StatusSources {
  readonly settings: EntrySettings;
  readonly configuration: ActiveConfiguration;
  readonly fleet: BackendFleet;
  readonly outlierEjection: OutlierEjection;
  readonly lease: PlannerLease;
  /** Returns this instance's own record. */
  readonly getOwnRecord: () => PeerRecord;
  /** Returns the records of the live peers. */
  readonly listPeerRecords: () => readonly PeerRecord[];
  readonly countOpenRequests: () => number;
  readonly eventLoopDelay: Pick<EventLoopDelay, 'longestSince'>;
  /** Returns how long ago the store confirmed the list of servers; undefined while peers follow it instead. */
  readonly getServersAgeMilliseconds: () => number | undefined;
}

/** The longest delay within this time is shown. */
const RECENT_DELAY_MILLISECONDS = 10_000;

function getState({ isReady, isStopping }: PeerRecord): string {
  if (isStopping) return 'leaving';
  return isReady ? 'live' : 'joining';
}

function toWholeMilliseconds(milliseconds: number | undefined): number | undefined {
  return milliseconds === undefined ? undefined : Math.round(milliseconds);
}

function describeStatus(sources: StatusSources): unknown {
  const { configuration, fleet, lease, countOpenRequests, eventLoopDelay } = sources;
  const { instance, dataCentre, incarnation, isStoreReachable, ...own } = sources.getOwnRecord();
  return {
    instance,
    dataCentre,
    incarnation,
    state: getState({ instance, dataCentre, incarnation, isStoreReachable, ...own }),
    configurationVersion: own.configurationVersion,
    configurationAgeMilliseconds: Math.round(configuration.ageMilliseconds()),
    fleetRevision: fleet.revision,
    // Null where peers follow the store instead: a field that is left out looks like one that was lost.
    serversAgeMilliseconds: toWholeMilliseconds(sources.getServersAgeMilliseconds()) ?? null,
    isStoreReachable,
    isPlanner: lease.isHolder,
    openRequests: countOpenRequests(),
    eventLoopDelayMilliseconds: eventLoopDelay.longestSince(
      performance.now() - RECENT_DELAY_MILLISECONDS,
    ),
  };
}

function describeMembers({ getOwnRecord, listPeerRecords, settings }: StatusSources): unknown {
  const members = [getOwnRecord(), ...listPeerRecords()].map((record) => ({
    instance: record.instance,
    dataCentre: record.dataCentre,
    region: record.dataCentre === settings.dataCentre ? settings.region : undefined,
    state: getState(record),
    callerAddress: record.callers,
    operatorAddress: record.peers,
  }));
  return { members };
}

function describeServer(server: FleetServer, outlierEjection: OutlierEjection): unknown {
  const { entry, ownLoad, peerLoad, ownSlowdownFactor, peerSlowdownFactor } = server;
  const isEjected = outlierEjection.isEjected(entry.id);
  return {
    id: entry.id,
    kind: entry.service,
    dataCentre: entry.dataCentre,
    state: entry.isLeaving ? 'leaving' : 'serving',
    usable: !entry.isLeaving && !isEjected,
    limit: entry.slots,
    inFlight: ownLoad.requests,
    load: ownLoad.requests + peerLoad.requests,
    slowness: Math.max(ownSlowdownFactor, peerSlowdownFactor),
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

/** Leaves out the API keys of client accounts, which are secret. */
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

function describeAddresses({ getOwnRecord, listPeerRecords }: StatusSources): unknown {
  const ready = [getOwnRecord(), ...listPeerRecords()].filter(
    (record) => getState(record) === 'live',
  );
  return {
    addresses: ready.map(({ instance, dataCentre, callers }) => ({
      instance,
      dataCentre,
      ...callers,
    })),
  };
}

/**
 * Creates the functions that build the documents of an instance.
 *
 * @param sources - The components to read from.
 * @returns A function for each path; it returns undefined while its document does not exist yet.
 */
export function createStatusDocuments(
  sources: StatusSources,
): Readonly<Record<string, () => unknown>> {
  const { fleet, outlierEjection, configuration } = sources;
  return {
    '/v1/status': () => describeStatus(sources),
    '/v1/members': () => describeMembers(sources),
    '/v1/backends': () => ({
      backends: fleet.servers.map((server) => describeServer(server, outlierEjection)),
    }),
    '/v1/pipelines': () => describeStages(sources),
    '/v1/leases': () => describeLeases(sources),
    '/v1/configuration': () => describeConfiguration(configuration.current),
    '/v1/addresses': () => describeAddresses(sources),
  };
}
