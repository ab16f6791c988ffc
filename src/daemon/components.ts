/** Creates the components of one instance from its shared state. */
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

/**
 * Publishes each branch that comes into force to peers, and offers branches received from peers to
 * this instance.
 */
export function connectConfigurationToPeers(state: SharedState, logs: LoggerFactory): void {
  const { configuration, table } = state;
  const log = logs('configuration');
  configuration.onApplied((branch) => {
    const { team, revision } = branch;
    log.info('Configuration branch in force.', { team, revision });
    table.put({ kind: 'configuration', key: team, epoch: 0, counter: revision, value: branch });
  });
  table.onRecord('configuration', (record) => {
    const parsed = Branch.safeParse(record.value);
    if (parsed.success) configuration.applyIfNewer(parsed.data);
    else
      log.error('Invalid configuration branch received from a peer; ignored.', { key: record.key });
  });
}

/** Creates the limiter of client accounts; the owner of an account lends its rate to peers. */
export function createLimiter(state: SharedState): AccountLimiter {
  const { configuration, clients, membership } = state;
  const findAccountOwner = (account: string): string | undefined =>
    findOwner(`account ${account}`, state);
  return new AccountLimiter({
    findRequestsPerSecond: (account) =>
      configuration.findAccount(account)?.account.requestsPerSecond,
    isOwner: (account) => {
      const owner = findAccountOwner(account);
      return owner === undefined || owner === membership.self.instance;
    },
    borrowTokens: async (account, amount) => {
      const address = findPeerAddress(findAccountOwner(account), state);
      if (!address) throw new Error('The instance that owns this account limit is not known.');
      return clients
        .getClient(address)
        .call('borrow', { account, amount }, BORROW_TIMEOUT_MILLISECONDS);
    },
    countSharingInstances: () => membership.active.length,
  });
}

/** Creates the components that run calls of plain services at most once. */
export function createServices(state: SharedState, settings: Settings, limiter: AccountLimiter) {
  const { connection, clients, membership, configuration, directory, incarnation } = state;
  const { instance } = settings;
  const claimWriter = new ClaimWriter({
    connection,
    timeoutMilliseconds: settings.timeLimits.claim,
  });
  const claims = new ClaimClient({
    instance,
    writer: claimWriter,
    clients,
    findOwner: (shard) => findPeerAddress(findOwner(shard, state), state),
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
    fetchOutcome: (holder, account, key) => peerCalls.fetchOutcome(holder, account, key),
  });
  const services = new ServiceRunner({
    configuration,
    directory,
    atMostOnce,
    forwardCall: (issuer, call) => peerCalls.forwardCall(issuer, call),
    consumeOrRefuse: (account) => limiter.consumeOrRefuse(account),
    weightOf: (account) => {
      const found = configuration.findAccount(account);
      return found ? computeWeight(found, 'interactive') : 1;
    },
    maximumQueued: settings.sizeLimits.queuedRequests,
  });
  return { claimWriter, tickets, registry, atMostOnce, services };
}

/** Creates the layer placement; for each model, only two candidates seek its lease. */
export function createPlacement(
  state: SharedState,
  { settings, logs }: DaemonOptions,
  signal: AbortSignal,
): PlacementReconciler {
  return new PlacementReconciler({
    connection: state.connection,
    configuration: state.configuration,
    directory: state.directory,
    holder: `${settings.instance}/${state.incarnation}/${randomUUID()}`,
    isCandidate: (model) =>
      rankOwners(`placement ${model}`, listActiveInstances(state), PLACEMENT_CANDIDATES).includes(
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
