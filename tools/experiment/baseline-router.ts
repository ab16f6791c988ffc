/**
 * Simple routers to compare with: each router of a set sees only its own requests and chooses by
 * one plain rule.
 */
import type { EngineRoute, EngineStage } from '../../src/backend/engine-protocol.js';
import { EngineStreamError, streamFromEngine } from '../../src/pipeline/engine-stream.js';
import type { StreamAnswer } from '../caller.js';
import type { Random } from '../random.js';
import type { EngineProcess } from './deployment.js';

/** The rules. */
export const BASELINE_POLICIES = ['random', 'round robin', 'least in flight'] as const;
export type BaselinePolicy = (typeof BASELINE_POLICIES)[number];

interface Candidate {
  readonly stage: EngineStage;
  inFlight: number;
}

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
const ENGINE_TIMEOUT_MILLISECONDS = 10_000;

/** One router that follows a plain rule. */
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
   * Generates over engines chosen by the rule; an engine that refuses is left for another one.
   *
   * @param requestId - Names the request.
   * @param prompt - The prompt.
   * @param maximumTokens - How many tokens to make.
   * @param totalLayers - The model's layers.
   * @returns The tokens and how it ended.
   */
  async stream(
    requestId: string,
    prompt: string,
    maximumTokens: number,
    totalLayers: number,
  ): Promise<StreamAnswer> {
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
