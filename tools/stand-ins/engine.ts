/**
 * Stand-in for a model engine: holds a range of layers, generates over a chain of engines,
 * caches prefixes and KV, takes orders, and can be made to die, freeze or slow down.
 */
import type {
  EngineOrder,
  EngineStage,
  EngineTask,
  Receipt,
} from '../../src/backend/engine-protocol.js';
import { CHARACTERS_PER_TOKEN } from '../../src/backend/engine-protocol.js';
import { fetchResponse } from '../../src/common/http-client.js';
import { sleep } from '../../src/common/clock.js';
import {
  DEFAULT_ENGINE_SETTINGS,
  NO_ENGINE_FAULTS,
  type EngineFaults,
  type EngineSettings,
  type StepMessage,
} from './engine-protocol.js';
import { sendJson, startStandIn, type StandInRequest, type StandInServer } from './http-server.js';
import { Pace } from './pace.js';
import { PrefixCache } from './prefix-cache.js';
import { Semaphore } from './semaphore.js';
import { firstActivation, runLayers, tokenOf } from './token-function.js';

interface StepResult {
  readonly token: string;
  readonly receipts: readonly Receipt[];
}

/** A stage that could not do its part of a step. */
class StageFailure extends Error {
  constructor(
    readonly stage: number,
    readonly reason: string,
  ) {
    super(reason);
  }
}

export interface EngineStandIn extends StandInServer {
  readonly faults: EngineFaults;
  readonly settings: EngineSettings;
  /** How often each layer range ran, by request, attempt and position. */
  readonly layerRuns: Map<string, number>;
  readonly orders: (EngineOrder & { accepted: boolean })[];
  /** Every generation that was offered here, refused ones included. */
  readonly offered: { readonly requestId: string; readonly at: number }[];
  /** Generations that started here, by request id. */
  readonly started: string[];
  readonly held: () => { version: string; adapter: string };
  readonly running: () => number;
}

const STEP_TIMEOUT_MILLISECONDS = 30_000;
const KV_KEPT_MILLISECONDS = 30_000;
const FREEZE_REVIEW_MILLISECONDS = 10;
/** A later stage reports the mean of the slots used over this time. */
const METER_MILLISECONDS = 300;

/**
 * Starts the stand-in.
 *
 * @param partial - Settings that differ from the defaults.
 * @param port - The port, or 0 for any.
 * @param onCrash - Called by a request that crashes engines; by default the server closes.
 * @returns The running stand-in.
 */
export async function startEngine(
  partial: Partial<EngineSettings> = {},
  port = 0,
  onCrash?: () => void,
): Promise<EngineStandIn> {
  const settings: EngineSettings = { ...DEFAULT_ENGINE_SETTINGS, ...partial };
  const faults: EngineFaults = { ...NO_ENGINE_FAULTS };
  const incarnation = Date.now();
  const layerRuns = new Map<string, number>();
  const orders: (EngineOrder & { accepted: boolean })[] = [];
  const started: string[] = [];
  const offered: { requestId: string; at: number }[] = [];
  const kv = new Map<string, { position: number; at: number }>();
  const cache = new PrefixCache(settings.cacheEntries);
  const stepPace = new Pace();
  const linkPace = new Pace();
  const batch = new Semaphore(settings.slots);
  let held = { version: settings.version, adapter: settings.adapter };
  let loading = false;
  let fencingNumber = 0;
  let meanSteps = 0;
  let usedBefore = 0;
  let running = 0;
  let queued = 0;
  let reported = { running: 0, queued: 0, at: 0 };

  /** Requests that hold a slot here: those begun here, or the mean of those that step through. */
  const countRunning = (): number => {
    if (settings.from === 0) return running;
    return Math.ceil(meanSteps);
  };

  const linkMilliseconds = (dataCentre: string): number =>
    (settings.linkMilliseconds[dataCentre] ?? 0) + faults.linkDelayMilliseconds;

  const importKv = async (message: StepMessage, own: EngineStage): Promise<boolean> => {
    if (!own.importFrom) return false;
    try {
      const answer = await fetchResponse({
        address: own.importFrom,
        method: 'GET',
        path: `/kv/${encodeURIComponent(message.task.requestId)}`,
        timeoutMilliseconds: 1000,
      });
      if (answer.status !== 200) return false;
      const found = JSON.parse(answer.body.toString()) as { position: number };
      await sleep(message.contextTokens / (settings.prefillTokensPerMillisecond * 8));
      return found.position >= message.position - 1;
    } catch {
      return false;
    }
  };

  const prefill = async (message: StepMessage, own: EngineStage): Promise<void> => {
    const kept = kv.get(message.task.requestId);
    if (kept && kept.position >= message.position - 1) return;
    if (message.position > 0 && (await importKv(message, own))) return;
    const cachedTokens = cache.match(message.task.prompt) / CHARACTERS_PER_TOKEN;
    const tokens = Math.max(0, message.contextTokens - cachedTokens);
    const share = (settings.to - settings.from) / settings.totalLayers;
    await sleep((tokens * share * faults.slowness) / settings.prefillTokensPerMillisecond);
    cache.add(message.task.prompt);
  };

  const waitThawed = async (): Promise<void> => {
    while (faults.frozen) await sleep(FREEZE_REVIEW_MILLISECONDS);
  };

  const runStage = async (message: StepMessage): Promise<StepResult> => {
    await waitThawed();
    const [own, next] = message.route;
    if (!own) throw new StageFailure(message.stageIndex, 'no stage');
    const { task } = message;
    if (task.version !== held.version || task.adapter !== held.adapter || loading) {
      throw new StageFailure(message.stageIndex, 'other version');
    }
    const startedAt = performance.now();
    await prefill(message, own);
    await batch.run(() => stepPace.wait(settings.stepMilliseconds * faults.slowness));
    const runKey = `${task.requestId}/${task.attempt}/${message.position}/${own.from}`;
    layerRuns.set(runKey, (layerRuns.get(runKey) ?? 0) + 1);
    kv.set(task.requestId, { position: message.position, at: Date.now() });
    let activation = runLayers(message.activation, own.from, own.to);
    const receipts: Receipt[] = [
      {
        engine: settings.id,
        from: own.from,
        to: own.to,
        position: message.position,
        attempt: task.attempt,
        milliseconds: performance.now() - startedAt,
      },
    ];
    if (faults.repeatLayers) {
      faults.repeatLayers = false;
      activation = runLayers(activation, own.from, own.to);
      receipts.push(...receipts);
    }
    if (!next) return { token: tokenOf(activation), receipts };
    const rest = await callNext(message, activation, next);
    return { token: rest.token, receipts: [...receipts, ...rest.receipts] };
  };

  async function callNext(
    message: StepMessage,
    activation: number,
    next: EngineStage,
  ): Promise<StepResult> {
    const stageIndex = message.stageIndex + 1;
    await linkPace.wait(linkMilliseconds(next.dataCentre));
    const forwarded: StepMessage = {
      ...message,
      activation,
      route: message.route.slice(1),
      stageIndex,
    };
    try {
      const answer = await fetchResponse({
        address: next.address,
        method: 'POST',
        path: '/step',
        body: JSON.stringify(forwarded),
        timeoutMilliseconds: STEP_TIMEOUT_MILLISECONDS,
        agent: stepAgent,
      });
      const body = JSON.parse(answer.body.toString()) as StepResult & {
        stage: number;
        reason: string;
      };
      if (answer.status !== 200) throw new StageFailure(body.stage, body.reason);
      await linkPace.wait(linkMilliseconds(next.dataCentre));
      return body;
    } catch (error) {
      if (error instanceof StageFailure) throw error;
      throw new StageFailure(stageIndex, 'unreachable');
    }
  }

  const step = async (request: StandInRequest): Promise<void> => {
    try {
      sendJson(request.response, 200, await runStage(JSON.parse(request.body) as StepMessage));
    } catch (error) {
      const failure = error instanceof StageFailure ? error : new StageFailure(0, String(error));
      sendJson(request.response, 500, { stage: failure.stage, reason: failure.reason });
    }
  };

  const produce = async (
    task: EngineTask,
    send: (event: unknown) => void,
    alive: () => boolean,
  ): Promise<void> => {
    const produced = [...task.produced];
    const { route, produced: ignored, ...shared } = task;
    const input = { ...task, totalLayers: settings.totalLayers };
    while (produced.length < task.maximumTokens && alive()) {
      const position = produced.length;
      const contextTokens = Math.ceil(task.prompt.length / CHARACTERS_PER_TOKEN) + position;
      const result = await runStage({
        task: shared,
        position,
        contextTokens,
        activation: firstActivation(input, produced),
        route,
        stageIndex: 0,
      });
      await waitThawed();
      produced.push(result.token);
      const event = {
        kind: 'token',
        token: result.token,
        position,
        attempt: task.attempt,
        receipts: result.receipts,
      };
      send(event);
      if (faults.duplicateToken) {
        faults.duplicateToken = false;
        send(event);
      }
    }
    if (alive()) send({ kind: 'end', tokens: produced.length });
  };

  const waitForSlot = async (alive: () => boolean): Promise<void> => {
    queued += 1;
    while (running >= settings.slots && alive()) await sleep(2);
    queued -= 1;
  };

  const generate = async (request: StandInRequest): Promise<void> => {
    const task = JSON.parse(request.body) as EngineTask;
    offered.push({ requestId: task.requestId, at: Date.now() });
    if (task.prompt.includes('CRASH')) {
      if (onCrash) onCrash();
      else void server.close();
      return;
    }
    if (faults.leaving || (running >= settings.slots && queued >= settings.queueLimit)) {
      request.response.setHeader('x-not-run', 'true');
      sendJson(request.response, faults.leaving ? 503 : 429, {
        error: faults.leaving ? 'leaving' : 'full',
      });
      return;
    }
    const alive = (): boolean => !request.response.destroyed;
    request.response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    request.response.flushHeaders();
    if (running >= settings.slots) await waitForSlot(alive);
    running += 1;
    started.push(task.requestId);
    const send = (event: unknown): void => {
      request.response.write(`${JSON.stringify(event)}\n`);
    };
    try {
      await produce(task, send, alive);
    } catch (error) {
      const failure = error instanceof StageFailure ? error : new StageFailure(0, String(error));
      send({ kind: 'failed', stage: failure.stage, reason: failure.reason });
    } finally {
      running -= 1;
      request.response.end();
    }
  };

  const fetchWeights = async (order: EngineOrder): Promise<boolean> => {
    if (!settings.weightStore) return true;
    const path = `/weights/${order.model}/${order.version}`;
    const answer = await fetchResponse({
      address: settings.weightStore,
      method: 'GET',
      path,
      timeoutMilliseconds: 5000,
    });
    return answer.status === 200;
  };

  const load = async (order: EngineOrder): Promise<void> => {
    loading = true;
    try {
      if (!(await fetchWeights(order))) return;
      await sleep(settings.loadMilliseconds);
      held = { version: order.version, adapter: order.adapter };
    } finally {
      loading = false;
    }
  };

  const takeOrder = async (request: StandInRequest): Promise<void> => {
    const order = JSON.parse(request.body) as EngineOrder;
    const accepted = !settings.checksFencing || order.fencingNumber >= fencingNumber;
    orders.push({ ...order, accepted });
    if (!accepted) {
      sendJson(request.response, 409, { fencingNumber });
      return;
    }
    fencingNumber = Math.max(fencingNumber, order.fencingNumber);
    void load(order).catch(() => undefined);
    sendJson(request.response, 202, { fencingNumber });
  };

  const status = (request: StandInRequest): void => {
    if (Date.now() - reported.at >= settings.loadReportLagMilliseconds) {
      reported = { running: countRunning(), queued, at: Date.now() };
    }
    sendJson(request.response, 200, {
      ...settings,
      ...held,
      incarnation,
      running: reported.running,
      queued: reported.queued,
      leaving: faults.leaving,
      loading,
      fencingNumber,
    });
  };

  const sendKv = (request: StandInRequest): void => {
    const kept = kv.get(decodeURIComponent(request.path.slice('/kv/'.length)));
    if (kept) sendJson(request.response, 200, { position: kept.position });
    else sendJson(request.response, 404, {});
  };

  const control = (request: StandInRequest): void => {
    Object.assign(faults, JSON.parse(request.body || '{}') as object);
    sendJson(request.response, 200, { faults, orders, started, layerRuns: [...layerRuns] });
  };

  const handlers: Record<string, (request: StandInRequest) => Promise<void> | void> = {
    '/status': status,
    '/generate': generate,
    '/step': step,
    '/orders': takeOrder,
    '/cache-events': (request) =>
      sendJson(request.response, 200, cache.eventsSince(Number(request.query.get('since') ?? 0))),
  };

  const { Agent } = await import('node:http');
  const stepAgent = new Agent({ keepAlive: true, maxSockets: Infinity });
  const meter = setInterval(() => {
    const used = batch.usedMilliseconds;
    meanSteps = (used - usedBefore) / METER_MILLISECONDS;
    usedBefore = used;
  }, METER_MILLISECONDS);
  meter.unref();
  const cleaner = setInterval(() => {
    [...kv]
      .filter(([, kept]) => kept.at < Date.now() - KV_KEPT_MILLISECONDS)
      .forEach(([requestId]) => {
        kv.delete(requestId);
      });
  }, KV_KEPT_MILLISECONDS / 2);
  cleaner.unref();
  const server = await startStandIn(port, async (request) => {
    if (request.path === '/control') {
      control(request);
      return;
    }
    await waitThawed();
    if (request.path.startsWith('/kv/')) sendKv(request);
    else await (handlers[request.path] ?? ((other) => sendJson(other.response, 404, {})))(request);
  });
  return {
    ...server,
    close: async () => {
      clearInterval(cleaner);
      clearInterval(meter);
      // What stands still would keep the process from ending.
      faults.frozen = false;
      stepAgent.destroy();
      await server.close();
    },
    faults,
    settings,
    layerRuns,
    orders,
    started,
    offered,
    held: () => held,
    running: () => running,
  };
}
