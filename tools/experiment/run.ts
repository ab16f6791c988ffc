/**
 * Runs an experiment: `run <file> [--baselines] [--seed <number>]`. The load is open-loop:
 * requests arrive as a Poisson process, whether or not earlier ones have finished. Every token of
 * every response is checked. The results go to standard output and, with a plot, to reports/.
 */
import { mkdirSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { parseArgs } from 'node:util';
import type { Address } from '../../src/common/address.js';
import { sleep } from '../../src/common/clock.js';
import { requestStream, type StreamResult } from '../caller.js';
import { tryFetchJson } from '../daemon-group.js';
import { createRandom, type Random } from '../random.js';
import { computeExpectedTokens } from '../stand-ins/token-function.js';
import { BaselineRouter, BASELINE_POLICIES, type BaselinePolicy } from './baseline-router.js';
import { computeThroughputBound } from './bound.js';
import { injectFault, startDeployment, type Deployment } from './deployment.js';
import {
  summariseRequests,
  computeTokensPerSecond,
  type RequestMeasurement,
} from './measurements.js';
import { drawPlot, formatMarkdown, type Curve, type ReportRow } from './report.js';
import { readExperiment, type Experiment, type Phase } from './specification.js';

/** Sends one request of a client account through the router under test. */
type SendRequest = (account: string, requestId: string, prompt: string) => Promise<StreamResult>;

/** When a phase started and ended, in milliseconds on the monotonic clock. */
interface PhaseSpan {
  readonly phase: Phase;
  readonly from: number;
  readonly to: number;
}

/** The measurements of one router. */
interface ExperimentRun {
  readonly router: string;
  readonly measurements: RequestMeasurement[];
  readonly spans: PhaseSpan[];
  readonly startedAt: number;
}

/** The fraction of a phase, at its start, that throughput excludes because queues still fill. */
const SETTLE_FRACTION = 0.2;

/**
 * Asks the instances for the addresses that a client account is to call, and caches the response
 * for as long as it permits.
 */
class AddressCache {
  readonly #entries = new Map<string, { addresses: Address[]; expiresAt: number }>();

  readonly #deployment: Deployment;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
  }

  async getAddress(account: string): Promise<Address> {
    const cached = this.#entries.get(account);
    if (cached && Date.now() < cached.expiresAt) return cached.addresses[0] as Address;
    for (const daemon of this.#deployment.daemonGroup.daemons) {
      const answer = await tryFetchJson<{ addresses: Address[]; keepMilliseconds: number }>(
        daemon.callerAddress,
        `/v1/addresses?account=${account}`,
      );
      if (answer && answer.addresses.length > 0) {
        this.#entries.set(account, {
          addresses: answer.addresses,
          expiresAt: Date.now() + answer.keepMilliseconds,
        });
        return answer.addresses[0] as Address;
      }
    }
    throw new Error('No instance returned an address for the account.');
  }

  /** Drops the addresses of an account, as a caller does after a failed connection. */
  invalidate(account: string): void {
    this.#entries.delete(account);
  }
}

/** Sends requests to the instances of the deployment, as an ordinary caller. */
function createRouterSender(experiment: Experiment, deployment: Deployment): SendRequest {
  const addressCache = new AddressCache(deployment);
  return async (account, requestId, prompt) => {
    const body = {
      model: 'drafting',
      prompt,
      max_tokens: experiment.tokens,
      seed: 1,
    };
    const headers = {
      'x-request-id': requestId,
      'x-deadline-milliseconds': String(experiment.deadlineMilliseconds),
    };
    const answer = await requestStream(await addressCache.getAddress(account), body, {
      account,
      headers,
      timeoutMilliseconds: 60_000,
    });
    if (answer.status === 0) addressCache.invalidate(account);
    return answer;
  };
}

/** Sends each request through a random one of as many baseline routers as there are instances. */
function createBaselineSender(
  policy: BaselinePolicy,
  experiment: Experiment,
  deployment: Deployment,
  random: Random,
): SendRequest {
  const routers = experiment.instances.map(
    () => new BaselineRouter(policy, deployment.engines, random),
  );
  const totalLayers = experiment.engines[0]?.totalLayers ?? 8;
  return (account, requestId, prompt) =>
    random.pick(routers).stream(requestId, prompt, experiment.tokens, totalLayers);
}

/** Picks one of the accounts of a phase at random, in proportion to their shares. */
function pickAccount(experiment: Experiment, phase: Phase, random: Random): string {
  const accounts = experiment.accounts.filter(
    ({ name }) => phase.accounts.length === 0 || phase.accounts.includes(name),
  );
  let remainingShare = random.next() * accounts.reduce((sum, account) => sum + account.share, 0);
  const found = accounts.find((account) => {
    remainingShare -= account.share;
    return remainingShare <= 0;
  });
  return (found ?? accounts[0])?.name ?? '';
}

/** Sends one request, compares its tokens with the expected ones, and records the measurement. */
async function sendAndCheckRequest(
  run: ExperimentRun,
  experiment: Experiment,
  phase: Phase,
  send: SendRequest,
  random: Random,
  requestNumber: number,
): Promise<void> {
  const account = pickAccount(experiment, phase, random);
  const prompt = `${run.router}, ${phase.name}, ${requestNumber}. `.padEnd(
    experiment.promptCharacters,
    'x',
  );
  const answer = await send(account, `${run.router.replaceAll(' ', '-')}-${requestNumber}`, prompt);
  const input = { model: 'drafting', version: '1', adapter: '', prompt, seed: 1 };
  const totalLayers = experiment.engines[0]?.totalLayers ?? 8;
  const expected = computeExpectedTokens({ ...input, totalLayers }, answer.tokens.length).join('');
  const hasExpectedLength =
    answer.outcome !== 'completed' || answer.tokens.length === experiment.tokens;
  const isCorrect = hasExpectedLength && answer.tokens.join('') === expected;
  run.measurements.push({
    account,
    phase: phase.name,
    answer,
    endedAt: performance.now(),
    isCorrect,
  });
}

/**
 * Runs all phases with one router and waits for every request. Faults are injected only for
 * `sesamedyke`, which runs last; most of them stay in effect until the deployment stops.
 */
async function runWorkload(
  router: string,
  experiment: Experiment,
  deployment: Deployment,
  send: SendRequest,
  seed: number,
): Promise<ExperimentRun> {
  const random = createRandom(seed);
  const bound = computeThroughputBound(experiment);
  const run: ExperimentRun = { router, measurements: [], spans: [], startedAt: performance.now() };
  const faults = experiment.faults.map(async (fault) => {
    if (router !== 'sesamedyke') return;
    await sleep(fault.atSecond * 1000);
    await injectFault(fault, deployment);
  });
  const pendingRequests: Promise<void>[] = [];
  let requestCount = 0;
  for (const phase of experiment.phases) {
    const from = performance.now();
    const to = from + phase.seconds * 1000;
    const meanArrivalGapMilliseconds = (1000 * experiment.tokens) / (bound * phase.load);
    let nextArrivalAt = from + random.exponential(meanArrivalGapMilliseconds);
    while (nextArrivalAt < to) {
      await sleep(Math.max(0, nextArrivalAt - performance.now()));
      requestCount += 1;
      pendingRequests.push(sendAndCheckRequest(run, experiment, phase, send, random, requestCount));
      nextArrivalAt += random.exponential(meanArrivalGapMilliseconds);
    }
    await sleep(Math.max(0, to - performance.now()));
    run.spans.push({ phase, from, to });
  }
  await Promise.all([...pendingRequests, ...faults]);
  return run;
}

/** Builds the rows of each phase: one for all requests, then one for each client account. */
function buildReportRows(run: ExperimentRun, experiment: Experiment): ReportRow[] {
  const bound = computeThroughputBound(experiment);
  return run.spans.flatMap(({ phase, from, to }) => {
    const measuredFrom = from + (to - from) * SETTLE_FRACTION;
    const phaseTokensPerSecond = computeTokensPerSecond(run.measurements, measuredFrom, to);
    const phaseMeasurements = run.measurements.filter(
      (measurement) => measurement.phase === phase.name,
    );
    const accounts = [
      ...new Set(phaseMeasurements.map((measurement) => measurement.account)),
    ].sort();
    const sharedCells = { router: run.router, phase: phase.name };
    const buildRow = (
      account: string,
      measurements: RequestMeasurement[],
      tokensPerSecond: number,
    ): ReportRow => ({
      ...sharedCells,
      account,
      tokensPerSecond: Math.round(tokensPerSecond),
      reachedOverBound: Math.round((tokensPerSecond / bound) * 1000) / 1000,
      ...summariseRequests(measurements),
    });
    const accountRows = accounts.map((account) => {
      const accountMeasurements = phaseMeasurements.filter(
        (measurement) => measurement.account === account,
      );
      return buildRow(
        account,
        accountMeasurements,
        computeTokensPerSecond(accountMeasurements, measuredFrom, to),
      );
    });
    return [buildRow('all', phaseMeasurements, phaseTokensPerSecond), ...accountRows];
  });
}

/** Builds the curve of tokens generated in each second of a run. */
function buildThroughputCurve(run: ExperimentRun): Curve {
  const end = Math.max(...run.spans.map((span) => span.to));
  const seconds = Math.floor((end - run.startedAt) / 1000);
  const points = Array.from({ length: seconds }, (_, second): readonly [number, number] => {
    const from = run.startedAt + second * 1000;
    return [second, computeTokensPerSecond(run.measurements, from, from + 1000)];
  });
  return { name: run.router, points };
}

async function main(): Promise<void> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: { baselines: { type: 'boolean', default: false }, seed: { type: 'string' } },
  });
  const experiment = readExperiment(positionals[0] ?? '');
  const seed = Number(values.seed ?? experiment.seed);
  const bound = computeThroughputBound(experiment);
  const deployment = await startDeployment(experiment);
  try {
    const runs: ExperimentRun[] = [];
    for (const policy of values.baselines ? BASELINE_POLICIES : []) {
      const send = createBaselineSender(policy, experiment, deployment, createRandom(seed));
      runs.push(await runWorkload(policy, experiment, deployment, send, seed));
    }
    const send = createRouterSender(experiment, deployment);
    runs.push(await runWorkload('sesamedyke', experiment, deployment, send, seed));
    const rows = runs.flatMap((run) => buildReportRows(run, experiment));
    const title = `${experiment.name}: bound ${Math.round(bound)} tokens/s, seed ${seed}`;
    const text = `# ${title}\n\n${experiment.description}\n\n${formatMarkdown(rows)}\n`;
    mkdirSync('reports', { recursive: true });
    const file = path.join('reports', experiment.name);
    writeFileSync(`${file}.md`, text);
    writeFileSync(
      `${file}.svg`,
      drawPlot(title, ['seconds', 'tokens/s'], runs.map(buildThroughputCurve)),
    );
    process.stdout.write(text);
  } finally {
    await deployment.stop();
  }
}

await main();
process.exit(0);
