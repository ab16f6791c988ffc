/** The HTTP server for operators: status, configuration and stopping. */
import http, { type IncomingMessage, type ServerResponse } from 'node:http';
import { getErrorMessage } from '../common/http-client.js';
import type { BackendDirectory } from '../backend/directory.js';
import type { Issue } from '../common/issue.js';
import { Change } from '../configuration/change.js';
import { emptyBranch } from '../configuration/branch.js';
import type { ChangeResult } from '../configuration/commands/apply-change.js';
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { Membership } from '../peer/membership.js';
import type { PlacementReconciler } from '../placement/placement-reconciler.js';
import type { PlatformCallCounts } from '../platform/object.js';
import type { Settings } from '../settings/settings.js';
import type { Logger } from '../telemetry/log.js';
import type { Metrics } from '../telemetry/metrics.js';
import { parseBody, readBody } from './request-body.js';
import { responseFor } from './outcome-response.js';
import type { Outcome } from '../routing/outcome.js';

/** What the handlers of operators' requests share. */
export interface OperatorContext {
  readonly settings: Settings;
  readonly configuration: ConfigurationInForce;
  readonly membership: Membership;
  readonly directory: BackendDirectory;
  readonly placement: PlacementReconciler;
  readonly metrics: Metrics;
  readonly platformCalls: PlatformCallCounts;
  readonly applyChange: (team: string, change: Change) => Promise<ChangeResult>;
  readonly openRequests: () => number;
  readonly drain: () => void;
  readonly log: Logger;
}

/** An answer: a status and a JSON body. */
interface OperatorAnswer {
  readonly status: number;
  readonly body: unknown;
}

type Handler = (
  context: OperatorContext,
  body: string,
  parts: readonly string[],
) => Promise<OperatorAnswer> | OperatorAnswer;

interface OperatorRoute {
  readonly method: string;
  readonly pattern: RegExp;
  readonly handle: Handler;
}

const ok = (body: unknown): OperatorAnswer => ({ status: 200, body });

function fromOutcome(outcome: Outcome): OperatorAnswer {
  const { status, body } = responseFor(outcome);
  return { status, body: JSON.parse(body) as unknown };
}

function showStatus(context: OperatorContext): OperatorAnswer {
  const { settings, membership, directory, placement, platformCalls } = context;
  const { rss, heapUsed } = process.memoryUsage();
  const { user, system } = process.cpuUsage();
  return ok({
    instance: settings.instance,
    dataCentre: settings.dataCentre,
    region: settings.region,
    state: membership.find(settings.instance)?.state,
    ready: membership.find(settings.instance)?.state === 'live',
    openRequests: context.openRequests(),
    members: membership.members.length,
    backendServers: directory.all.length,
    leases: placement.heldLeases,
    platformCalls,
    memoryBytes: { resident: rss, heap: heapUsed },
    processorMicroseconds: user + system,
  });
}

function showBackends(context: OperatorContext): OperatorAnswer {
  const now = performance.now();
  const backends = context.directory.all.map((server) => ({
    id: server.id,
    kind: server.listed.kind,
    dataCentre: server.listed.dataCentre,
    state: server.state,
    usable: server.isUsable(now),
    limit: server.limit.value,
    inFlight: server.inFlight,
    load: server.load,
    slowness: Math.round(server.slowness * 100) / 100,
    engine: server.engine,
  }));
  return ok({ backends });
}

function showPipelines(context: OperatorContext): OperatorAnswer {
  const stages = new Map<string, { servers: number; slots: number }>();
  context.directory.engines.forEach(({ engine, state }) => {
    if (!engine || state !== 'serving') return;
    const { model, version, adapter, from, to, accelerator } = engine;
    const name = JSON.stringify({ model, version, adapter, from, to, accelerator });
    const known = stages.get(name) ?? { servers: 0, slots: 0 };
    stages.set(name, { servers: known.servers + 1, slots: known.slots + engine.slots });
  });
  const rows = [...stages].map(([name, counts]) => ({
    ...(JSON.parse(name) as object),
    ...counts,
  }));
  return ok({ stages: rows });
}

const CHANGE_ANSWERS: {
  readonly [Kind in ChangeResult['kind']]: (
    result: Extract<ChangeResult, { kind: Kind }>,
  ) => OperatorAnswer;
} = {
  accepted: ({ branch }) =>
    ok({ result: 'accepted', team: branch.team, revision: branch.revision }),
  refused: ({ issues }) => ({ status: 409, body: { result: 'refused', issues } }),
  unavailable: ({ message }) => ({ status: 503, body: { result: 'unavailable', message } }),
  unknown: ({ message }) => ({ status: 504, body: { result: 'unknown', message } }),
};

async function changeBranch(
  context: OperatorContext,
  body: string,
  [, team = '']: readonly string[],
): Promise<OperatorAnswer> {
  const parsed = parseBody(body, Change);
  if (parsed.isLeft()) return fromOutcome(parsed.extract());
  const result = await context.applyChange(team, parsed.unsafeCoerce());
  const describe = CHANGE_ANSWERS[result.kind] as (one: ChangeResult) => OperatorAnswer;
  return describe(result);
}

const ROUTES: readonly OperatorRoute[] = [
  { method: 'GET', pattern: /^\/v1\/status$/, handle: showStatus },
  { method: 'GET', pattern: /^\/v1\/backends$/, handle: showBackends },
  { method: 'GET', pattern: /^\/v1\/pipelines$/, handle: showPipelines },
  {
    method: 'GET',
    pattern: /^\/v1\/members$/,
    handle: (context) => ok({ members: context.membership.members }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/leases$/,
    handle: (context) => ok({ leases: context.placement.heldLeases }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/histograms$/,
    handle: (context) => ok({ histograms: context.metrics.summarise() }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/configuration$/,
    handle: (context) => ok({ branches: context.configuration.branches }),
  },
  {
    method: 'GET',
    pattern: /^\/v1\/configuration\/([A-Za-z0-9][A-Za-z0-9._:-]{0,99})$/,
    handle: (context, body, [, team = '']) =>
      ok(context.configuration.branch(team) ?? emptyBranch(team)),
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

function notFound(path: string): OperatorAnswer {
  const issue: Issue = {
    code: 'unknown_path',
    path: [path],
    message: 'There is nothing at this path.',
  };
  return { status: 404, body: { issues: [issue] } };
}

async function answer(request: IncomingMessage, context: OperatorContext): Promise<OperatorAnswer> {
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const route = ROUTES.find((one) => one.method === request.method && one.pattern.test(path));
  if (!route) return notFound(path);
  const body = await readBody(request, context.settings.sizeLimits.bodyBytes);
  if (body.isLeft()) return fromOutcome(body.extract());
  return route.handle(context, body.unsafeCoerce(), route.pattern.exec(path) ?? []);
}

function send(response: ServerResponse, { status, body }: OperatorAnswer): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}

/**
 * Starts the operators' server.
 *
 * @param context - What handlers share.
 * @returns A function that closes it.
 * @throws Error when the address can't be listened on.
 */
export function startOperatorServer(context: OperatorContext): Promise<() => Promise<void>> {
  const { settings, log } = context;
  const server = http.createServer((request, response) => {
    answer(request, context)
      .then((result) => send(response, result))
      .catch((error: unknown) => {
        log.error('An operator request failed unexpectedly.', { error: getErrorMessage(error) });
        response.destroy();
      });
  });
  const { host, port } = settings.operatorAddress;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(
        () =>
          new Promise((closed) => {
            server.close(() => closed());
            server.closeAllConnections();
          }),
      );
    });
  });
}
