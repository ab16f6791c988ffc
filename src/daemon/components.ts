/** Makes the parts of one instance from its shared state. */
import { randomUUID } from 'node:crypto';
import { computeWeight } from '../caller/request-scheduling.js';
import { ClaimClient } from '../claims/claim-client.js';
import { ClaimWriter } from '../claims/claim-writer.js';
import { TicketStore } from '../claims/ticket-store.js';
import { Branch } from '../configuration/branch.js';
import { PlacementReconciler } from '../placement/placement-reconciler.js';
import { AccountLimiter } from '../routing/account-limiter.js';
import { rankOwners } from '../routing/rendezvous.js';
import { AtMostOnceRunner } from '../service/at-most-once.js';
import { RunRegistry } from '../service/run-registry.js';
import { ServiceRunner } from '../service/service-runner.js';
import type { Settings } from '../settings/settings.js';
import type { LoggerFactory } from '../telemetry/log.js';
import { PeerCalls } from './peer-calls.js';
import {
  listActiveInstances,
  findPeerAddress,
  type SharedState,
  type DaemonOptions,
  findOwner,
} from './shared-state.js';

const PLACEMENT_CANDIDATES = 2;
const BORROW_TIMEOUT_MILLISECONDS = 200;

/** Lets configuration flow from the platform to peers and back. */
export function connectConfigurationToPeers(core: SharedState, logs: LoggerFactory): void {
  const { configuration, table } = core;
  const log = logs('configuration');
  configuration.onApplied((branch) => {
    const { team, revision } = branch;
    log.info('A branch came into force.', { team, revision });
    table.put({ kind: 'configuration', key: team, epoch: 0, counter: revision, value: branch });
  });
  table.onRecord('configuration', (record) => {
    const parsed = Branch.safeParse(record.value);
    if (parsed.success) configuration.offer(parsed.data);
    else log.error('A peer sent an invalid branch.', { key: record.key });
  });
}

export function createLimiter(core: SharedState): AccountLimiter {
  const { configuration, clients, membership } = core;
  const homeOf = (account: string): string | undefined => findOwner(`account ${account}`, core);
  return new AccountLimiter({
    findRequestsPerSecond: (account) => configuration.account(account)?.account.requestsPerSecond,
    isOwner: (account) => {
      const home = homeOf(account);
      return home === undefined || home === membership.self.instance;
    },
    borrowTokens: async (account, amount) => {
      const address = findPeerAddress(homeOf(account), core);
      if (!address) throw new Error('The home is not known.');
      return clients.to(address).call('borrow', { account, amount }, BORROW_TIMEOUT_MILLISECONDS);
    },
    countSharingInstances: () => membership.active.length,
  });
}

export function createServices(core: SharedState, settings: Settings, limiter: AccountLimiter) {
  const { connection, clients, membership, configuration, directory, incarnation } = core;
  const { instance } = settings;
  const claimWriter = new ClaimWriter({
    connection,
    timeoutMilliseconds: settings.timeLimits.claim,
  });
  const claims = new ClaimClient({
    instance,
    writer: claimWriter,
    clients,
    findOwner: (shard) => findPeerAddress(findOwner(shard, core), core),
  });
  const tickets = new TicketStore({ instance, incarnation });
  const registry = new RunRegistry();
  const peerCalls = new PeerCalls({ membership, clients });
  const atMostOnce = new AtMostOnceRunner({
    instance,
    incarnation,
    claims,
    tickets,
    registry,
    fetchOutcome: (holder, account, key) => peerCalls.askOutcome(holder, account, key),
  });
  const services = new ServiceRunner({
    configuration,
    directory,
    atMostOnce,
    forwardCall: (issuer, call) => peerCalls.passOn(issuer, call),
    consumeOrRefuse: (account) => limiter.consumeOrRefuse(account),
    weightOf: (account) => {
      const found = configuration.account(account);
      return found ? computeWeight(found, 'interactive') : 1;
    },
    maximumQueued: settings.sizeLimits.queuedRequests,
  });
  return { claimWriter, tickets, registry, atMostOnce, services };
}

export function createPlacement(
  core: SharedState,
  { settings, logs }: DaemonOptions,
  signal: AbortSignal,
): PlacementReconciler {
  return new PlacementReconciler({
    connection: core.connection,
    configuration: core.configuration,
    directory: core.directory,
    holder: `${settings.instance}/${core.incarnation}/${randomUUID()}`,
    isCandidate: (model) =>
      rankOwners(`placement ${model}`, listActiveInstances(core), PLACEMENT_CANDIDATES).includes(
        settings.instance,
      ),
    leaseMilliseconds: settings.timeLimits.lease,
    orderTimeoutMilliseconds: settings.timeLimits.order,
    drainTimeoutMilliseconds: settings.timeLimits.reload,
    maximumConcurrentLoads: settings.placement.concurrentLoads,
    log: logs('placement'),
    signal,
  });
}
