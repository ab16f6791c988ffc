/**
 * Runs a generation: chooses a chain of engines, checks each token before it is sent to the caller,
 * and continues after the last sent token on another chain if a stage fails.
 */
import type { BackendServer } from '../backend/backend-server.js';
import type { EngineRoute, EngineStage } from '../backend/engine-protocol.js';
import { CrashGuard } from '../routing/crash-guard.js';
import type { EngineChain } from '../routing/engine-chain-choice.js';
import { hashPromptPrefixes } from '../routing/text-hash.js';
import { ChainFinder } from './chain-finder.js';
import { countContextTokens } from './context-tokens.js';
import { EngineStreamError, FAILURES_BEFORE_THE_RUN, streamFromEngine } from './engine-stream.js';
import { areAllResponsive, diagnoseFailure, type StageProcess } from './fault-diagnosis.js';
import { createContentRejection, createUnfinishedEnd } from './generation-ending.js';
import type { GenerationContext } from './generation-context.js';
import type { GeneratedToken, GenerationEnd, GenerationRequest } from './generation-request.js';
import { chooseKvSource, type KvHolder } from './kv-source.js';
import { checkReceipts } from './receipts.js';
import { changeInFlight, computeStageShares } from './stage-occupancy.js';
import { recordStageTimes } from './stage-times.js';

/** Attempts that a first stage certainly did not accept do not count. */
const MAXIMUM_ATTEMPTS = 12;
/** A chain is checked if no token arrives within this multiple of the expected time. */
const SILENCE_LIMIT_FACTOR = 8;
/**
 * If all stages answer their status requests, the wait may extend to this multiple of the limit,
 * because they may have queued requests. The factor is larger for the first token.
 */
const RESPONSIVE_FIRST_TOKEN_FACTOR = 10;
const RESPONSIVE_TOKEN_FACTOR = 2;

/** One run of a generation, over as many attempts as it needs. */
class Generation {
  readonly #request: GenerationRequest;

  readonly #context: GenerationContext;

  /** All tokens of the generation so far, including those that the caller already had. */
  readonly #tokens: string[];

  readonly #contentHash: string;

  readonly #prefixHashes: string[];

  readonly #chains: ChainFinder;

  /** The stages of the last chain that produced a token, without those that stopped answering. */
  #kvHolders: KvHolder[] = [];

  /** Stages that crashed since the last token. */
  #crashed: StageProcess[] = [];

  #attempt = 0;

  /** The number of attempts that a first stage accepted or may have accepted. */
  #acceptedAttempts = 0;

  constructor(request: GenerationRequest, context: GenerationContext) {
    this.#request = request;
    this.#context = context;
    this.#tokens = [...request.producedTokens];
    this.#contentHash = CrashGuard.hashContent([request.model, request.prompt]);
    this.#prefixHashes = hashPromptPrefixes(request.prompt);
    this.#chains = new ChainFinder({ request, context, prefixHashes: this.#prefixHashes });
  }

  async *run(): AsyncGenerator<GeneratedToken, GenerationEnd, undefined> {
    const { maximumTokens, signal } = this.#request;
    while (this.#tokens.length < maximumTokens) {
      if (signal.aborted) return this.#endUnfinished('The caller has gone.');
      const verdict = this.#context.guard.classify(this.#contentHash);
      if (verdict === 'blocked') return createContentRejection();
      if (this.#acceptedAttempts >= MAXIMUM_ATTEMPTS)
        return this.#endUnfinished('Too many attempts failed.');
      const chain = await this.#chains.find({
        isSuspect: verdict === 'suspect',
        hasSentTokens: this.#hasSentTokens,
        tokens: this.#tokens.length,
      });
      if (!chain) return this.#endUnfinished('No pipeline covers the model now.');
      yield* this.#runAttempt(chain, verdict === 'suspect');
    }
    return { kind: 'finished', tokens: this.#tokens.length };
  }

  /**
   * Runs one attempt. A failure of the chain is diagnosed and does not throw, so the caller starts
   * another attempt while tokens are missing.
   */
  async *#runAttempt(
    chain: EngineChain,
    isSuspect: boolean,
  ): AsyncGenerator<GeneratedToken, void, undefined> {
    this.#attempt += 1;
    this.#acceptedAttempts += 1;
    const { stages } = chain;
    const processes = stages.map((server) => ({
      server,
      incarnation: server.engine?.incarnation,
    }));
    const inFlight = { stages, shares: computeStageShares(stages), isSuspect };
    changeInFlight(inFlight, 1);
    const stop = new AbortController();
    const abort = (): void => stop.abort();
    this.#request.signal.addEventListener('abort', abort, { once: true });
    try {
      yield* this.#streamTokens(chain, stop.signal);
      stages.forEach((server) => server.limit.recordSuccess(server.inFlight));
    } catch (error) {
      if (!(error instanceof EngineStreamError)) throw error;
      if (!this.#request.signal.aborted) await this.#recover(error, processes);
    } finally {
      stop.abort();
      this.#request.signal.removeEventListener('abort', abort);
      changeInFlight(inFlight, -1);
    }
  }

  async *#streamTokens(
    chain: EngineChain,
    signal: AbortSignal,
  ): AsyncGenerator<GeneratedToken, void, undefined> {
    const { requestId, model, version, adapter, prompt, seed, priority, maximumTokens } =
      this.#request;
    const route = this.#buildRoute(chain.stages);
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
    let lastTokenAt = performance.now();
    const events = streamFromEngine({
      task: { ...task, produced: this.#tokens },
      headerTimeoutMilliseconds: this.#silenceLimitMilliseconds(chain, true),
      getIdleTimeoutMilliseconds: () => this.#silenceLimitMilliseconds(chain, isFirst),
      shouldKeepWaiting: async (silentMilliseconds) => {
        const factor = isFirst ? RESPONSIVE_FIRST_TOKEN_FACTOR : RESPONSIVE_TOKEN_FACTOR;
        if (silentMilliseconds > factor * this.#silenceLimitMilliseconds(chain, isFirst))
          return false;
        return areAllResponsive(chain.stages);
      },
      signal,
    });
    for await (const event of events) {
      const position = this.#tokens.length;
      // A token that was already sent to the caller, or is of an earlier attempt, arrived late or
      // twice and is ignored.
      if (event.attempt === attempt && event.position >= position) {
        const totalLayers = chain.stages[0]?.engine?.totalLayers ?? 0;
        const issues = checkReceipts(event, { attempt, position, route, totalLayers });
        if (issues.length > 0 || event.position !== position) {
          this.#context.log.error('The receipts of a token do not show every layer exactly once.', {
            requestId,
            issues,
          });
          throw new EngineStreamError('stage_failed', 0, 'The receipts of a token are wrong.');
        }
        if (!isFirst) {
          recordStageTimes(
            event.receipts,
            chain.stages,
            performance.now() - lastTokenAt,
            this.#context,
          );
        } else this.#recordFirstToken(chain.stages);
        isFirst = false;
        this.#tokens.push(event.token);
        yield { token: event.token, position };
        // The time that the caller takes to read the token must not count as time of the chain.
        lastTokenAt = performance.now();
      }
    }
    if (this.#tokens.length < maximumTokens) {
      throw new EngineStreamError(
        'stage_failed',
        0,
        'The engine ended the stream before the last token.',
      );
    }
  }

  #recordFirstToken(stages: readonly BackendServer[]): void {
    this.#crashed.forEach(({ server, incarnation = 0 }) =>
      this.#context.guard.recordPassed(this.#contentHash, server.id, incarnation),
    );
    this.#crashed = [];
    stages.forEach((server) =>
      this.#context.prefixCacheIndex.recordPrompt(server.id, this.#prefixHashes),
    );
    this.#kvHolders = stages.map((server) => ({ server, tokens: this.#countContextTokens() }));
  }

  async #recover(error: EngineStreamError, stages: readonly StageProcess[]): Promise<void> {
    const { directory, guard, log } = this.#context;
    const diagnosis = await diagnoseFailure({
      error,
      stages,
      directory,
      crashGuard: guard,
      contentHash: this.#contentHash,
    });
    this.#kvHolders = this.#kvHolders.filter(({ server }) => !diagnosis.lost.has(server.id));
    if (FAILURES_BEFORE_THE_RUN.has(error.kind)) this.#acceptedAttempts -= 1;
    this.#chains.exclude(diagnosis.excluded);
    this.#crashed.push(...diagnosis.crashed);
    log.info('A chain failed; the request continues on another one.', {
      requestId: this.#request.requestId,
      failure: error.kind,
      stage: error.stage,
      position: this.#tokens.length,
      lost: [...diagnosis.lost],
      crashed: diagnosis.crashed.map(({ server }) => server.id),
    });
  }

  #buildRoute(stages: readonly BackendServer[]): EngineRoute {
    return stages.map((server): EngineStage => {
      const { from = 0, to = 1 } = server.engine ?? {};
      const importFrom = chooseKvSource(server, this.#kvHolders, this.#countContextTokens());
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

  #countContextTokens(): number {
    return countContextTokens(this.#request, this.#tokens.length);
  }

  #silenceLimitMilliseconds(chain: EngineChain, isFirst: boolean): number {
    const expected = isFirst
      ? chain.expectedFirstTokenMilliseconds
      : chain.expectedTokenMilliseconds;
    return Math.max(this.#context.tokenSilenceMilliseconds, expected * SILENCE_LIMIT_FACTOR);
  }

  /** Ends the generation with the outcome that fits what has run and been sent so far. */
  #endUnfinished(message: string): GenerationEnd {
    return createUnfinishedEnd(message, {
      hasSentTokens: this.#hasSentTokens,
      mayHaveRun: this.#acceptedAttempts > 0,
    });
  }

  get #hasSentTokens(): boolean {
    return this.#tokens.length > this.#request.producedTokens.length;
  }
}

/**
 * Runs a generation.
 *
 * @param request - The generation to run.
 * @param context - The state and settings that all generations share.
 * @returns The checked tokens in order; the return value tells how the generation ended.
 */
export function generate(
  request: GenerationRequest,
  context: GenerationContext,
): AsyncGenerator<GeneratedToken, GenerationEnd, undefined> {
  return new Generation(request, context).run();
}
