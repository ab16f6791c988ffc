/**
 * The HTTP server for operators: shows the state of this instance and of its backend servers, reads
 * and changes the configuration, and starts the drain of the instance.
 */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { getErrorMessage } from '../common/http-client.js';
import type { BackendDirectory } from '../backend/directory.js';
import type { Issue } from '../common/issue.js';
import { Change } from '../configuration/change.js';
import { createEmptyBranch } from '../configuration/branch.js';
import type { ChangeResult } from '../configuration/commands/apply-change.js';
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { Membership } from '../peer/membership.js';
import type { PlacementReconciler } from '../placement/placement-reconciler.js';
import type { PlatformCallCounts } from '../platform/object.js';
import type { Settings } from '../settings/settings.js';
import type { Logger } from '../telemetry/log.js';
import type { Metrics } from '../telemetry/metrics.js';
import { parseBody, readBody } from './request-body.js';
import { createOutcomeResponse } from './outcome-response.js';
import type { Outcome } from '../routing/outcome.js';

/** The components and functions that the handlers of operator requests use. */
export interface OperatorContext {
  readonly settings: Settings;
  readonly configuration: ConfigurationInForce;
  readonly membership: Membership;
  readonly directory: BackendDirectory;
  readonly placement: PlacementReconciler;
  readonly metrics: Metrics;
  readonly platformCalls: PlatformCallCounts;
  /** Applies a change to a team's branch of the configuration. */
  readonly applyChange: (team: string, change: Change) => Promise<ChangeResult>;
  /** Returns the number of caller requests in progress. */
  readonly openRequests: () => number;
  /** Starts an orderly stop of this instance, in which open requests are finished. */
  readonly drain: () => void;
  readonly log: Logger;
}

/** A response: an HTTP status and a value that is sent as JSON. */
interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

type Handler = (
  context: OperatorContext,
  body: string,
  pathMatch: readonly string[],
) => Promise<OperatorResponse> | OperatorResponse;

interface OperatorRoute {
  readonly method: string;
  readonly pattern: RegExp;
  readonly handle: Handler;
}

const createOkResponse = (body: unknown): OperatorResponse => ({ status: 200, body });

function createResponseFromOutcome(outcome: Outcome): OperatorResponse {
  const { status, body } = createOutcomeResponse(outcome);
  return { status, body: JSON.parse(body) as unknown };
}

function showStatus(context: OperatorContext): OperatorResponse {
  const { settings, membership, directory, placement, platformCalls } = context;
  const { rss, heapUsed } = process.memoryUsage();
  const { user, system } = process.cpuUsage();
  return createOkResponse({
    instance: settings.instance,
    dataCentre: settings.dataCentre,
    region: settings.region,
    state: membership.find(settings.instance)?.state,
    ready: membership.find(settings.instance)?.state === 'live',
    openRequests: context.openRequests(),
    members: membership.members.length,
    backendServers: directory.servers.length,
    leases: placement.heldLeases,
    platformCalls,
    memoryBytes: { resident: rss, heap: heapUsed },
    processorMicroseconds: user + system,
  });
}

function showBackends(context: OperatorContext): OperatorResponse {
  const now = performance.now();
  const backends = context.directory.servers.map((server) => ({
    id: server.id,
    kind: server.listed.kind,
    dataCentre: server.listed.dataCentre,
    state: server.state,
    usable: server.isUsable(now),
    limit: server.limit.value,
    inFlight: server.inFlight,
    load: server.load,
    slowness: Math.round(server.slowdownFactor * 100) / 100,
    engine: server.engine,
  }));
  return createOkResponse({ backends });
}

/** Counts the engines in service and their slots, for each kind of stage. */
function showPipelines(context: OperatorContext): OperatorResponse {
  const stages = new Map<string, { servers: number; slots: number }>();
  context.directory.engines.forEach(({ engine, state }) => {
    if (!engine || state !== 'serving') return;
    const { model, version, adapter, from, to, accelerator } = engine;
    const stageKey = JSON.stringify({ model, version, adapter, from, to, accelerator });
    const counts = stages.get(stageKey) ?? { servers: 0, slots: 0 };
    stages.set(stageKey, { servers: counts.servers + 1, slots: counts.slots + engine.slots });
  });
  const rows = [...stages].map(([stageKey, counts]) => ({
    ...(JSON.parse(stageKey) as object),
    ...counts,
  }));
  return createOkResponse({ stages: rows });
}

/** How each result of a configuration change is answered. */
const CHANGE_RESPONSES: {
  readonly [Kind in ChangeResult['kind']]: (
    result: Extract<ChangeResult, { kind: Kind }>,
  ) => OperatorResponse;
} = {
  accepted: ({ branch }) =>
    createOkResponse({ result: 'accepted', team: branch.team, revision: branch.revision }),
  refused: ({ issues }) => ({ status: 409, body: { result: 'refused', issues } }),
  unavailable: ({ message }) => ({ status: 503, body: { result: 'unavailable', message } }),
  unknown: ({ message }) => ({ status: 504, body: { result: 'unknown', message } }),
};

async function changeBranch(
  context: OperatorContext,
  body: string,
  [, team = '']: readonly string[],
): Promise<OperatorResponse> {
  const parsed = parseBody(body, Change);
  if (parsed.isLeft()) return createResponseFromOutcome(parsed.extract());
  const result = await context.applyChange(team, parsed.unsafeCoerce());
  const createResponse = CHANGE_RESPONSES[result.kind] as (
    changeResult: ChangeResult,
  ) => OperatorResponse;
  return createResponse(result);
}

const ROUTES: readonly OperatorRoute[] = [
  { method: 'GET', pattern: /^\/v1\/status$/, handle: showStatus },
  { method: 'GET', pattern: /^\/v1\/backends$/, handle: showBackends },
  { method: 'GET', pattern: /^\/v1\/pipelines$/, handle: showPipelines },
  {
    method: 'GET',
    pattern: /^\/v1\/members$/,
    handle: (context) => createOkResponse({ members: context.membership.members }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/leases$/,
    handle: (context) => createOkResponse({ leases: context.placement.heldLeases }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/histograms$/,
    handle: (context) => createOkResponse({ histograms: context.metrics.summarise() }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/configuration$/,
    handle: (context) => createOkResponse({ branches: context.configuration.branches }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/configuration\/([A-Za-z0-9][A-Za-z0-9._:-]{0,99})$/,
    handle: (context, body, [, team = '']) =>
      createOkResponse(context.configuration.findBranch(team) ?? createEmptyBranch(team)),
  },
  {
    method: 'POST',
    pattern: /^\/v1\/configuration\/([A-Za-z0-9][A-Za-z0-9._:-]{0,99})\/changes$/,
    handle: changeBranch,
  },
  {
    method: 'POST',
    pattern: /^\/v1\/drain$/,
    handle: (context) => {
      context.drain();
      return { status: 202, body: { result: 'draining' } };
    },
  },
];

function createNotFoundResponse(path: string): OperatorResponse {
  const issue: Issue = {
    code: 'unknown_path',
    path: [path],
    message: 'There is nothing at this path.',
  };
  return { status: 404, body: { issues: [issue] } };
}

/** Routes one request to its handler. */
async function handleRequest(
  request: IncomingMessage,
  context: OperatorContext,
): Promise<OperatorResponse> {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const route = ROUTES.find(
    (candidate) => candidate.method === request.method && candidate.pattern.test(path),
  );
  if (!route) return createNotFoundResponse(path);
  const body = await readBody(request, context.settings.sizeLimits.bodyBytes);
  if (body.isLeft()) return createResponseFromOutcome(body.extract());
  return route.handle(context, body.unsafeCoerce(), route.pattern.exec(path) ?? []);
}

function sendResponse(response: ServerResponse, { status, body }: OperatorResponse): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/**
 * Starts the server for operators.
 *
 * @returns A function that closes the server and its connections; rejects when the server cannot
 * listen on the configured address.
 */
export function startOperatorServer(context: OperatorContext): Promise<() => Promise<void>> {
  const { settings, log } = context;
  const server = http.createServer((request, response) => {
    handleRequest(request, context)
      .then((result) => sendResponse(response, result))
      .catch((error: unknown) => {
        log.error(
          'An operator request failed with an unexpected error; its connection is closed.',
          { error: getErrorMessage(error) },
        );
        response.destroy();
      });
  });
  const { host, port } = settings.operatorAddress;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(
        () =>
          new Promise((resolveClose) => {
            server.close(() => resolveClose());
            server.closeAllConnections();
          }),
      );
    });
  });
}
