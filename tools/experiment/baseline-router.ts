/**
 * Baseline routers that an experiment compares Sesamedyke with. Each one applies a simple
 * load-balancing policy and knows only the requests that it sent itself.
 */
import type { EngineRoute, EngineStage } from '../../src/backend/engine-protocol.js';
import { EngineStreamError, streamFromEngine } from '../../src/pipeline/engine-stream.js';
import type { StreamResult } from '../caller.js';
import type { Random } from '../random.js';
import type { EngineProcess } from './deployment.js';

/** The load-balancing policies, named as in the report. */
export const BASELINE_POLICIES = ['random', 'round robin', 'least in flight'] as const;
export type BaselinePolicy = (typeof BASELINE_POLICIES)[number];

/** An engine and the requests of this router that use it now. */
interface Candidate {
  readonly stage: EngineStage;
  inFlight: number;
}

/** Chooses one engine; `chainIndex` counts the chains that the router has chosen before. */
type ChooseCandidate = (
  candidates: readonly Candidate[],
  chainIndex: number,
  random: Random,
) => Candidate;

const POLICY_FUNCTIONS: Readonly<Record<BaselinePolicy, ChooseCandidate>> = {
  random: (candidates, chainIndex, random) => random.pick(candidates),
  'round robin': (candidates, chainIndex) =>
    candidates[chainIndex % candidates.length] as Candidate,
  'least in flight': (candidates, chainIndex, random) => {
    const fewestInFlight = Math.min(...candidates.map((candidate) => candidate.inFlight));
    return random.pick(candidates.filter((candidate) => candidate.inFlight === fewestInFlight));
  },
};

const MAX_ATTEMPTS = 4;

/** The limit for an engine's response headers and for the time between two tokens. */
const ENGINE_TIMEOUT_MILLISECONDS = 10_000;

/** A router that chooses the engine of every stage by one policy. */
export class BaselineRouter {
  readonly #candidates: readonly Candidate[];

  readonly #chooseCandidate: ChooseCandidate;

  readonly #random: Random;

  #chainCount = 0;

  constructor(policy: BaselinePolicy, engines: readonly EngineProcess[], random: Random) {
    this.#chooseCandidate = POLICY_FUNCTIONS[policy];
    this.#random = random;
    this.#candidates = engines.map(({ id, address, settings }) => {
      const { from = 0, to = 8, dataCentre = 'dc-a' } = settings;
      return { stage: { engine: id, address, dataCentre, from, to }, inFlight: 0 };
    });
  }

  /**
   * Generates tokens on a chain of engines. When the chain refuses the request, a new chain is
   * chosen, for up to 4 attempts in total; any other failure ends the request.
   *
   * @param requestId - Identifies the request; every attempt uses the same identifier.
   * @param prompt - The text to continue.
   * @param maximumTokens - How many tokens to generate at most.
   * @param totalLayers - The number of layers of the model, which the chain has to cover.
   * @returns The tokens with their arrival times. The outcome is `completed`, `refused` when no
   *   attempt was accepted, or `unknown` when the stream failed.
   */
  async stream(
    requestId: string,
    prompt: string,
    maximumTokens: number,
    totalLayers: number,
  ): Promise<StreamResult> {
    const sentAt = performance.now();
    const tokens: string[] = [];
    const tokenTimes: number[] = [];
    let outcome = 'refused';
    for (let attempt = 1; attempt <= MAX_ATTEMPTS && outcome === 'refused'; attempt += 1) {
      const chain = this.#chooseChain(totalLayers);
      chain.forEach((candidate) => {
        candidate.inFlight += 1;
      });
      const route: EngineRoute = chain.map((candidate) => candidate.stage);
      const model = { model: 'drafting', version: '1', adapter: '' };
      const task = {
        requestId,
        attempt,
        ...model,
        prompt,
        maximumTokens,
        seed: 1,
        priority: 5,
        route,
        produced: [],
      };
      try {
        const events = streamFromEngine({
          task,
          headerTimeoutMilliseconds: ENGINE_TIMEOUT_MILLISECONDS,
          getIdleTimeoutMilliseconds: () => ENGINE_TIMEOUT_MILLISECONDS,
          signal: new AbortController().signal,
        });
        for await (const event of events) {
          tokens.push(event.token);
          tokenTimes.push(performance.now());
        }
        outcome = 'completed';
      } catch (error) {
        const isRefused = error instanceof EngineStreamError && error.kind === 'not_run';
        outcome = isRefused ? 'refused' : 'unknown';
      } finally {
        chain.forEach((candidate) => {
          candidate.inFlight -= 1;
        });
      }
    }
    return { status: 200, outcome, tokens, lastEventId: '', sentAt, tokenTimes, body: '' };
  }

  /** Chooses engines stage by stage until they cover all layers. */
  #chooseChain(totalLayers: number): Candidate[] {
    const chain: Candidate[] = [];
    let layer = 0;
    while (layer < totalLayers) {
      const from = layer;
      const candidates = this.#candidates.filter(({ stage }) => stage.from === from);
      const chosen = this.#chooseCandidate(candidates, this.#chainCount, this.#random);
      chain.push(chosen);
      layer = chosen.stage.to;
    }
    this.#chainCount += 1;
    return chain;
  }
}
