/**
 * Carries out a generation: chooses a pipeline, checks each token before it is given out, and
 * goes on over another pipeline when a stage fails, after the tokens given out already.
 */
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import {
  CHARACTERS_PER_TOKEN,
  type EngineRoute,
  type EngineStage,
} from '../backend/engine-protocol.js';
import { sleep } from '../common/clock.js';
import { CrashGuard } from '../routing/crash-guard.js';
import type { LinkLatencies } from '../routing/link-latencies.js';
import { createRefusal, createRejection, createUnknownOutcome } from '../routing/outcome.js';
import { chooseEngineChain, type EngineChain } from '../routing/engine-chain-choice.js';
import { hashPromptPrefixes } from '../routing/text-hash.js';
import type { PrefixCacheIndex } from '../routing/prefix-cache-index.js';
import { selectSuspectEngines } from '../routing/suspect-engines.js';
import type { Logger } from '../telemetry/log.js';
import { EngineStreamError, streamFromEngine, type StreamFailureKind } from './engine-stream.js';
import { allAnswer, diagnose } from './fault-diagnosis.js';
import type { GeneratedToken, GenerationEnd, GenerationRequest } from './generation-request.js';
import { chooseKvSource, type KvHolder } from './kv-source.js';
import { checkReceipts } from './receipts.js';
import { noteStageTimes } from './stage-times.js';

/** What generations share. */
export interface GenerationContext {
  readonly directory: BackendDirectory;
  readonly guard: CrashGuard;
  readonly linkLatencies: LinkLatencies;
  readonly prefixCacheIndex: PrefixCacheIndex;
  readonly dataCentre: string;
  /** This instance's name. */
  readonly instance: string;
  /** The names of the instances that share the engines. */
  readonly instances: () => readonly string[];
  /** The longest silence between two tokens, in milliseconds. */
  readonly tokenSilenceMilliseconds: number;
  readonly log: Logger;
}

const MAXIMUM_ATTEMPTS = 12;
/** Failures after which the first stage certainly did not begin the task. */
const PROVABLY_NOT_TAKEN: ReadonlySet<StreamFailureKind> = new Set([
  'not_run',
  'leaving',
  'unreachable',
]);
/** Silence is taken for a fault only after this many times the expected wait. */
const SILENCE_FACTOR = 8;
/** Silence of stages that all answer is borne for this many times as long: they may have queues. */
const FIRST_TOKEN_PATIENCE = 10;
const TOKEN_PATIENCE = 2;
const CHOICE_RETRY_MILLISECONDS = 20;
/** How long a stream that has begun waits for a pipeline to go on with. */
const RESUME_WAIT_MILLISECONDS = 10_000;
const NO_BACKEND_RETRY_MILLISECONDS = 1000;

class Generation {
  readonly #request: GenerationRequest;

  readonly #context: GenerationContext;

  readonly #produced: string[];

  readonly #content: string;

  readonly #hashes: string[];

  readonly #excluded = new Set<string>();

  #kvHolders: KvHolder[] = [];

  #attempt = 0;

  /** Attempts that a first stage took; one that it refused is none. */
  #taken = 0;

  constructor(request: GenerationRequest, context: GenerationContext) {
    this.#request = request;
    this.#context = context;
    this.#produced = [...request.producedTokens];
    this.#content = CrashGuard.hashContent([request.model, request.prompt]);
    this.#hashes = hashPromptPrefixes(request.prompt);
  }

  async *run(): AsyncGenerator<GeneratedToken, GenerationEnd, undefined> {
    const { maximumTokens, signal } = this.#request;
    while (this.#produced.length < maximumTokens) {
      if (signal.aborted) return this.#giveUp('The caller has gone.');
      const verdict = this.#context.guard.classify(this.#content);
      if (verdict === 'convicted') return rejectContent();
      if (this.#taken >= MAXIMUM_ATTEMPTS) return this.#giveUp('Too many attempts failed.');
      const pipeline = await this.#findPipeline(verdict === 'suspect');
      if (!pipeline) return this.#giveUp('No pipeline covers the model now.');
      yield* this.#attemptOver(pipeline, verdict === 'suspect');
    }
    return { kind: 'finished', tokens: this.#produced.length };
  }

  /** Runs one attempt; it ends without an error whether or not all tokens came. */
  async *#attemptOver(
    pipeline: EngineChain,
    isSuspect: boolean,
  ): AsyncGenerator<GeneratedToken, void, undefined> {
    this.#attempt += 1;
    this.#taken += 1;
    const { stages } = pipeline;
    const shares = stageShares(stages);
    occupy(stages, shares, 1, isSuspect);
    const stop = new AbortController();
    const end = (): void => stop.abort();
    this.#request.signal.addEventListener('abort', end, { once: true });
    try {
      yield* this.#tokensOver(pipeline, stop.signal);
      stages.forEach((server) => server.limit.recordSuccess(server.inFlight));
    } catch (error) {
      if (!(error instanceof EngineStreamError)) throw error;
      if (!this.#request.signal.aborted) await this.#recover(error, stages);
    } finally {
      stop.abort();
      this.#request.signal.removeEventListener('abort', end);
      occupy(stages, shares, -1, isSuspect);
    }
  }

  async *#tokensOver(
    pipeline: EngineChain,
    signal: AbortSignal,
  ): AsyncGenerator<GeneratedToken, void, undefined> {
    const { requestId, model, version, adapter, prompt, seed, priority, maximumTokens } =
      this.#request;
    const route = this.#routeOf(pipeline.stages);
    const attempt = this.#attempt;
    const task = {
      requestId,
      attempt,
      model,
      version,
      adapter,
      prompt,
      maximumTokens,
      seed,
      priority,
      route,
    };
    let isFirst = true;
    let lastAt = performance.now();
    const events = streamFromEngine({
      task: { ...task, produced: this.#produced },
      headerTimeoutMilliseconds: this.#silenceAllowed(pipeline, true),
      getIdleTimeoutMilliseconds: () => this.#silenceAllowed(pipeline, isFirst),
      canKeepWaiting: async (silentMilliseconds) => {
        const factor = isFirst ? FIRST_TOKEN_PATIENCE : TOKEN_PATIENCE;
        if (silentMilliseconds > factor * this.#silenceAllowed(pipeline, isFirst)) return false;
        return allAnswer(pipeline.stages);
      },
      signal,
    });
    for await (const event of events) {
      const position = this.#produced.length;
      // A repeat of a token given out already is late or doubled, and is dropped.
      if (event.attempt === attempt && event.position >= position) {
        const totalLayers = pipeline.stages[0]?.engine?.totalLayers ?? 0;
        const issues = checkReceipts(event, { attempt, position, route, totalLayers });
        if (issues.length > 0 || event.position !== position) {
          this.#context.log.error('A token did not show every layer once.', { requestId, issues });
          throw new EngineStreamError('stage_failed', 0, 'The receipts are wrong.');
        }
        if (!isFirst) {
          noteStageTimes(
            event.receipts,
            pipeline.stages,
            performance.now() - lastAt,
            this.#context,
          );
        } else this.#noteFirst(pipeline.stages);
        isFirst = false;
        this.#produced.push(event.token);
        yield { token: event.token, position };
        // Time that the caller takes to read is not the pipeline's.
        lastAt = performance.now();
      }
    }
    if (this.#produced.length < maximumTokens) {
      throw new EngineStreamError('stage_failed', 0, 'The engine ended early.');
    }
  }

  #noteFirst(stages: readonly BackendServer[]): void {
    stages.forEach((server) =>
      this.#context.prefixCacheIndex.recordPrompt(server.id, this.#hashes),
    );
    this.#kvHolders = stages.map((server) => ({ server, tokens: this.#contextTokens() }));
  }

  async #recover(error: EngineStreamError, stages: readonly BackendServer[]): Promise<void> {
    const { directory, guard, log } = this.#context;
    const found = await diagnose({ error, stages, directory, guard, content: this.#content });
    this.#kvHolders = this.#kvHolders.filter(({ server }) => !found.dead.has(server.id));
    if (PROVABLY_NOT_TAKEN.has(error.kind)) this.#taken -= 1;
    found.excluded.forEach((id) => this.#excluded.add(id));
    log.info('A pipeline failed; the request goes on over another one.', {
      requestId: this.#request.requestId,
      failure: error.kind,
      stage: error.stage,
      position: this.#produced.length,
      dead: [...found.dead],
    });
  }

  async #findPipeline(isSuspect: boolean): Promise<EngineChain | undefined> {
    const { signal, startBy } = this.#request;
    const hasBegun = this.#produced.length > this.#request.producedTokens.length;
    const deadline = hasBegun ? performance.now() + RESUME_WAIT_MILLISECONDS : startBy;
    while (!signal.aborted) {
      const pipeline = this.#choose(isSuspect, hasBegun) ?? this.#chooseAnew(isSuspect, hasBegun);
      if (pipeline) return pipeline;
      const isLate = performance.now() >= deadline;
      if (isLate || (!hasBegun && !this.#couldServe())) return undefined;
      await sleep(CHOICE_RETRY_MILLISECONDS, signal);
    }
    return undefined;
  }

  /** Forgets which engines failed before, when the others can't do it. */
  #chooseAnew(isSuspect: boolean, hasBegun: boolean): EngineChain | undefined {
    if (this.#excluded.size === 0) return undefined;
    this.#excluded.clear();
    return this.#choose(isSuspect, hasBegun);
  }

  /** Tells whether waiting can help: whether engines hold the model, or are loading it. */
  #couldServe(): boolean {
    const { model, version, adapter } = this.#request;
    return this.#context.directory
      .enginesOf(model)
      .some(
        ({ engine }) =>
          engine?.loading || (engine?.version === version && engine.adapter === adapter),
      );
  }

  #choose(isSuspect: boolean, ignoresLimits: boolean): EngineChain | undefined {
    const { model, version, adapter, fleets, maximumTokens } = this.#request;
    return chooseEngineChain({
      engines: isSuspect ? this.#enginesForSuspects() : this.#context.directory.enginesOf(model),
      request: {
        model,
        version,
        adapter,
        fleets,
        contextTokens: this.#contextTokens(),
        tokensToProduce: maximumTokens - this.#produced.length,
        cachedCharacters: this.#context.prefixCacheIndex.findCachedCharacters(this.#hashes),
        excluded: this.#excluded,
        isSuspect,
        canExceedLimits: ignoresLimits,
      },
      dataCentre: this.#context.dataCentre,
      linkLatencies: this.#context.linkLatencies,
      now: performance.now(),
      trafficFactor: this.#context.directory.trafficFactor,
      random: Math.random,
    });
  }

  #enginesForSuspects(): readonly BackendServer[] {
    const { directory, instance, instances } = this.#context;
    const now = performance.now();
    const { model, version, adapter } = this.#request;
    const engines = directory
      .enginesOf(model)
      .filter((server) => !this.#excluded.has(server.id) && server.isUsable(now))
      .filter(({ engine }) => engine?.version === version && engine.adapter === adapter);
    return selectSuspectEngines({ engines, instance, instances: instances() });
  }

  #routeOf(stages: readonly BackendServer[]): EngineRoute {
    return stages.map((server): EngineStage => {
      const { from = 0, to = 1 } = server.engine ?? {};
      const importFrom = chooseKvSource(server, this.#kvHolders, this.#contextTokens());
      return {
        engine: server.id,
        address: server.address,
        dataCentre: server.listed.dataCentre,
        from,
        to,
        ...(importFrom ? { importFrom } : {}),
      };
    });
  }

  #contextTokens(): number {
    return Math.ceil(this.#request.prompt.length / CHARACTERS_PER_TOKEN) + this.#produced.length;
  }

  #silenceAllowed(pipeline: EngineChain, isFirst: boolean): number {
    const expected = isFirst
      ? pipeline.expectedFirstTokenMilliseconds
      : pipeline.expectedTokenMilliseconds;
    return Math.max(this.#context.tokenSilenceMilliseconds, expected * SILENCE_FACTOR);
  }

  #giveUp(message: string): GenerationEnd {
    if (this.#produced.length > this.#request.producedTokens.length) {
      return {
        kind: 'failed',
        outcome: createUnknownOutcome('stream_broken', message, CHOICE_RETRY_MILLISECONDS),
      };
    }
    if (this.#taken > 0) {
      return {
        kind: 'failed',
        outcome: createUnknownOutcome('answer_lost', message, NO_BACKEND_RETRY_MILLISECONDS),
      };
    }
    return {
      kind: 'refused',
      refusal: createRefusal('no_backend', message, NO_BACKEND_RETRY_MILLISECONDS),
    };
  }
}

function rejectContent(): GenerationEnd {
  const message = 'Backend servers died each time that this content ran.';
  return { kind: 'failed', outcome: createRejection('request_crashes_servers', 422, message) };
}

/** The first stage is held for a token's whole time, a later one only for its own step. */
function stageShares(stages: readonly BackendServer[]): number[] {
  const steps = stages.map((server) => (server.engine?.stepMilliseconds ?? 1) * server.slowness);
  const cycle = steps.reduce((sum, step) => sum + step, 0);
  return steps.map((step, index) => (index === 0 ? 1 : step / cycle));
}

function occupy(
  stages: readonly BackendServer[],
  shares: readonly number[],
  change: 1 | -1,
  isSuspect: boolean,
): void {
  stages.forEach((server, index) => {
    const share = shares[index] ?? 1;
    server.inFlight += change * share;
    if (change > 0) server.noteSent(performance.now(), share);
    if (isSuspect) server.suspectsInFlight += change;
  });
}

/**
 * Carries out a generation.
 *
 * @param request - What to generate.
 * @param context - The servers and what is known of them.
 * @returns The tokens in order, each checked; the end tells how it went.
 */
export function generate(
  request: GenerationRequest,
  context: GenerationContext,
): AsyncGenerator<GeneratedToken, GenerationEnd, undefined> {
  return new Generation(request, context).run();
}
