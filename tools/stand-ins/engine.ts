/**
 * Stand-in for a model engine. It holds a range of layers, generates tokens together with the other
 * engines of a chain, caches prefixes and KV entries, accepts placement orders, and can simulate
 * crashes, freezes, slow steps and slow links.
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
import { CompensatedDelay } from './compensated-delay.js';
import { PrefixCache } from './prefix-cache.js';
import { Semaphore } from './semaphore.js';
import { computeInputActivation, runLayers, decodeToken } from './token-function.js';

interface StepResult {
  readonly token: string;
  readonly receipts: readonly Receipt[];
}

/** A stage of the chain that could not run its part of a step. */
class StageError extends Error {
  constructor(
    readonly stage: number,
    readonly reason: string,
  ) {
    super(reason);
  }
}

/** A running stand-in engine, with records of what it has done. */
export interface EngineStandIn extends StandInServer {
  readonly faults: EngineFaults;
  readonly settings: EngineSettings;
  /** Number of runs, by request, attempt, token position and first layer of the range. */
  readonly layerRuns: Map<string, number>;
  /** Every placement order received, and whether it was accepted. */
  readonly orders: (EngineOrder & { accepted: boolean })[];
  /** Every generation request received, including refused ones. */
  readonly offeredGenerations: { readonly requestId: string; readonly at: number }[];
  /** Request ids of the generations that this engine started, as the first stage of the chain. */
  readonly started: string[];
  /** Returns the model version and adapter that the engine holds. */
  readonly getHeldWeights: () => { version: string; adapter: string };
  /** Counts the generations that run with this engine as the first stage. */
  readonly countRunningGenerations: () => number;
}

const STEP_TIMEOUT_MILLISECONDS = 30_000;
const KV_RETENTION_MILLISECONDS = 30_000;
const FREEZE_POLL_MILLISECONDS = 10;
/** Later stages of a chain report the mean number of slots in use over this time. */
const SLOT_SAMPLING_MILLISECONDS = 300;

/**
 * Starts a stand-in engine.
 *
 * @param overrides - Settings that differ from the defaults.
 * @param port - The port to listen on; 0 selects a free one.
 * @param onCrash - Called for a prompt that contains `CRASH`; by default the server closes.
 * @returns The running stand-in.
 */
export async function startEngine(
  overrides: Partial<EngineSettings> = {},
  port = 0,
  onCrash?: () => void,
): Promise<EngineStandIn> {
  const settings: EngineSettings = { ...DEFAULT_ENGINE_SETTINGS, ...overrides };
  const faults: EngineFaults = { ...NO_ENGINE_FAULTS };
  const incarnation = Date.now();
  const layerRuns = new Map<string, number>();
  const orders: (EngineOrder & { accepted: boolean })[] = [];
  const started: string[] = [];
  const generationOffers: { requestId: string; at: number }[] = [];
  const kvEntries = new Map<string, { position: number; at: number }>();
  const cache = new PrefixCache(settings.cacheEntries);
  const stepDelay = new CompensatedDelay();
  const linkDelay = new CompensatedDelay();
  const batchSlots = new Semaphore(settings.slots);
  let heldWeights = { version: settings.version, adapter: settings.adapter };
  let isLoading = false;
  let fencingNumber = 0;
  let meanSlotsInUse = 0;
  let previousSlotMilliseconds = 0;
  let runningGenerations = 0;
  let queuedGenerations = 0;
  let reportedLoad = { running: 0, queued: 0, at: 0 };

  /** The load to report: generations on the first stage, the mean of slots in use on later ones. */
  const countRunning = (): number => {
    if (settings.from === 0) return runningGenerations;
    return Math.ceil(meanSlotsInUse);
  };

  const getLinkMilliseconds = (dataCentre: string): number =>
    (settings.linkMilliseconds[dataCentre] ?? 0) + faults.linkDelayMilliseconds;

  const importKv = async (message: StepMessage, ownStage: EngineStage): Promise<boolean> => {
    if (!ownStage.importFrom) return false;
    try {
      const answer = await fetchResponse({
        address: ownStage.importFrom,
        method: 'GET',
        path: `/kv/${encodeURIComponent(message.task.requestId)}`,
        timeoutMilliseconds: 1000,
      });
      if (answer.status !== 200) return false;
      const imported = JSON.parse(answer.body.toString()) as { position: number };
      // Importing KV entries is assumed to be 8 times as fast as prefilling all layers.
      await sleep(message.contextTokens / (settings.prefillTokensPerMillisecond * 8));
      return imported.position >= message.position - 1;
    } catch {
      return false;
    }
  };

  const prefill = async (message: StepMessage, ownStage: EngineStage): Promise<void> => {
    const kvEntry = kvEntries.get(message.task.requestId);
    if (kvEntry && kvEntry.position >= message.position - 1) return;
    if (message.position > 0 && (await importKv(message, ownStage))) return;
    const cachedTokens = cache.countCachedCharacters(message.task.prompt) / CHARACTERS_PER_TOKEN;
    const tokens = Math.max(0, message.contextTokens - cachedTokens);
    const layerFraction = (settings.to - settings.from) / settings.totalLayers;
    await sleep((tokens * layerFraction * faults.slowness) / settings.prefillTokensPerMillisecond);
    cache.add(message.task.prompt);
  };

  const waitUntilUnfrozen = async (): Promise<void> => {
    while (faults.frozen) await sleep(FREEZE_POLL_MILLISECONDS);
  };

  const runStage = async (message: StepMessage): Promise<StepResult> => {
    await waitUntilUnfrozen();
    const [ownStage, nextStage] = message.route;
    if (!ownStage) throw new StageError(message.stageIndex, 'no stage');
    const { task } = message;
    if (task.version !== heldWeights.version || task.adapter !== heldWeights.adapter || isLoading) {
      throw new StageError(message.stageIndex, 'other version');
    }
    const startedAt = performance.now();
    await prefill(message, ownStage);
    await batchSlots.run(() => stepDelay.wait(settings.stepMilliseconds * faults.slowness));
    const runKey = `${task.requestId}/${task.attempt}/${message.position}/${ownStage.from}`;
    layerRuns.set(runKey, (layerRuns.get(runKey) ?? 0) + 1);
    kvEntries.set(task.requestId, { position: message.position, at: Date.now() });
    let activation = runLayers(message.activation, ownStage.from, ownStage.to);
    const receipts: Receipt[] = [
      {
        engine: settings.id,
        from: ownStage.from,
        to: ownStage.to,
        position: message.position,
        attempt: task.attempt,
        milliseconds: performance.now() - startedAt,
      },
    ];
    if (faults.repeatLayers) {
      faults.repeatLayers = false;
      activation = runLayers(activation, ownStage.from, ownStage.to);
      receipts.push(...receipts);
    }
    if (!nextStage) return { token: decodeToken(activation), receipts };
    const laterStages = await forwardStep(message, activation, nextStage);
    return { token: laterStages.token, receipts: [...receipts, ...laterStages.receipts] };
  };

  async function forwardStep(
    message: StepMessage,
    activation: number,
    nextStage: EngineStage,
  ): Promise<StepResult> {
    const stageIndex = message.stageIndex + 1;
    await linkDelay.wait(getLinkMilliseconds(nextStage.dataCentre));
    const nextMessage: StepMessage = {
      ...message,
      activation,
      route: message.route.slice(1),
      stageIndex,
    };
    try {
      const answer = await fetchResponse({
        address: nextStage.address,
        method: 'POST',
        path: '/step',
        body: JSON.stringify(nextMessage),
        timeoutMilliseconds: STEP_TIMEOUT_MILLISECONDS,
        agent: stepAgent,
      });
      const body = JSON.parse(answer.body.toString()) as StepResult & {
        stage: number;
        reason: string;
      };
      if (answer.status !== 200) throw new StageError(body.stage, body.reason);
      await linkDelay.wait(getLinkMilliseconds(nextStage.dataCentre));
      return body;
    } catch (error) {
      if (error instanceof StageError) throw error;
      throw new StageError(stageIndex, 'unreachable');
    }
  }

  const handleStep = async (request: StandInRequest): Promise<void> => {
    try {
      sendJson(request.response, 200, await runStage(JSON.parse(request.body) as StepMessage));
    } catch (error) {
      const failure = error instanceof StageError ? error : new StageError(0, String(error));
      sendJson(request.response, 500, { stage: failure.stage, reason: failure.reason });
    }
  };

  const generateTokens = async (
    task: EngineTask,
    send: (event: unknown) => void,
    isConnected: () => boolean,
  ): Promise<void> => {
    const producedTokens = [...task.produced];
    const { route, produced: ignored, ...stepTask } = task;
    const input = { ...task, totalLayers: settings.totalLayers };
    while (producedTokens.length < task.maximumTokens && isConnected()) {
      const position = producedTokens.length;
      const contextTokens = Math.ceil(task.prompt.length / CHARACTERS_PER_TOKEN) + position;
      const result = await runStage({
        task: stepTask,
        position,
        contextTokens,
        activation: computeInputActivation(input, producedTokens),
        route,
        stageIndex: 0,
      });
      await waitUntilUnfrozen();
      producedTokens.push(result.token);
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
    if (isConnected()) send({ kind: 'end', tokens: producedTokens.length });
  };

  const waitForSlot = async (isConnected: () => boolean): Promise<void> => {
    queuedGenerations += 1;
    while (runningGenerations >= settings.slots && isConnected()) await sleep(2);
    queuedGenerations -= 1;
  };

  const handleGenerate = async (request: StandInRequest): Promise<void> => {
    const task = JSON.parse(request.body) as EngineTask;
    generationOffers.push({ requestId: task.requestId, at: Date.now() });
    if (task.prompt.includes('CRASH')) {
      if (onCrash) onCrash();
      else void server.close();
      return;
    }
    if (
      faults.leaving ||
      (runningGenerations >= settings.slots && queuedGenerations >= settings.queueLimit)
    ) {
      request.response.setHeader('x-not-run', 'true');
      sendJson(request.response, faults.leaving ? 503 : 429, {
        error: faults.leaving ? 'leaving' : 'full',
      });
      return;
    }
    const isConnected = (): boolean => !request.response.destroyed;
    request.response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    request.response.flushHeaders();
    if (runningGenerations >= settings.slots) await waitForSlot(isConnected);
    runningGenerations += 1;
    started.push(task.requestId);
    const send = (event: unknown): void => {
      request.response.write(`${JSON.stringify(event)}\n`);
    };
    try {
      await generateTokens(task, send, isConnected);
    } catch (error) {
      const failure = error instanceof StageError ? error : new StageError(0, String(error));
      send({ kind: 'failed', stage: failure.stage, reason: failure.reason });
    } finally {
      runningGenerations -= 1;
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

  const loadWeights = async (order: EngineOrder): Promise<void> => {
    isLoading = true;
    try {
      if (!(await fetchWeights(order))) return;
      await sleep(settings.loadMilliseconds);
      heldWeights = { version: order.version, adapter: order.adapter };
    } finally {
      isLoading = false;
    }
  };

  const handleOrder = async (request: StandInRequest): Promise<void> => {
    const order = JSON.parse(request.body) as EngineOrder;
    const isAccepted = !settings.checksFencing || order.fencingNumber >= fencingNumber;
    orders.push({ ...order, accepted: isAccepted });
    if (!isAccepted) {
      sendJson(request.response, 409, { fencingNumber });
      return;
    }
    fencingNumber = Math.max(fencingNumber, order.fencingNumber);
    void loadWeights(order).catch(() => undefined);
    sendJson(request.response, 202, { fencingNumber });
  };

  const handleStatus = (request: StandInRequest): void => {
    if (Date.now() - reportedLoad.at >= settings.loadReportLagMilliseconds) {
      reportedLoad = { running: countRunning(), queued: queuedGenerations, at: Date.now() };
    }
    sendJson(request.response, 200, {
      ...settings,
      ...heldWeights,
      incarnation,
      running: reportedLoad.running,
      queued: reportedLoad.queued,
      leaving: faults.leaving,
      loading: isLoading,
      fencingNumber,
    });
  };

  const handleKvRequest = (request: StandInRequest): void => {
    const kvEntry = kvEntries.get(decodeURIComponent(request.path.slice('/kv/'.length)));
    if (kvEntry) sendJson(request.response, 200, { position: kvEntry.position });
    else sendJson(request.response, 404, {});
  };

  const handleControl = (request: StandInRequest): void => {
    Object.assign(faults, JSON.parse(request.body || '{}') as object);
    sendJson(request.response, 200, { faults, orders, started, layerRuns: [...layerRuns] });
  };

  const handlers: Record<string, (request: StandInRequest) => Promise<void> | void> = {
    '/status': handleStatus,
    '/generate': handleGenerate,
    '/step': handleStep,
    '/orders': handleOrder,
    '/cache-events': (request) =>
      sendJson(
        request.response,
        200,
        cache.listEventsSince(Number(request.query.get('since') ?? 0)),
      ),
  };

  const { Agent } = await import('node:http');
  const stepAgent = new Agent({ keepAlive: true, maxSockets: Infinity });
  const slotSampler = setInterval(() => {
    const slotMilliseconds = batchSlots.permitMilliseconds;
    meanSlotsInUse = (slotMilliseconds - previousSlotMilliseconds) / SLOT_SAMPLING_MILLISECONDS;
    previousSlotMilliseconds = slotMilliseconds;
  }, SLOT_SAMPLING_MILLISECONDS);
  slotSampler.unref();
  const kvCleanup = setInterval(() => {
    [...kvEntries]
      .filter(([, kvEntry]) => kvEntry.at < Date.now() - KV_RETENTION_MILLISECONDS)
      .forEach(([requestId]) => {
        kvEntries.delete(requestId);
      });
  }, KV_RETENTION_MILLISECONDS / 2);
  kvCleanup.unref();
  const server = await startStandIn(port, async (request) => {
    if (request.path === '/control') {
      handleControl(request);
      return;
    }
    await waitUntilUnfrozen();
    if (request.path.startsWith('/kv/')) handleKvRequest(request);
    else await (handlers[request.path] ?? ((other) => sendJson(other.response, 404, {})))(request);
  });
  return {
    ...server,
    close: async () => {
      clearInterval(kvCleanup);
      clearInterval(slotSampler);
      // Requests that wait for the end of a freeze would keep the process alive.
      faults.frozen = false;
      stepAgent.destroy();
      await server.close();
    },
    faults,
    settings,
    layerRuns,
    orders,
    started,
    offeredGenerations: generationOffers,
    getHeldWeights: () => heldWeights,
    countRunningGenerations: () => runningGenerations,
  };
}
