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
export const BASELINES = ['random', 'round robin', 'least in flight'] as const;
export type Baseline = (typeof BASELINES)[number];

interface Candidate {
  readonly stage: EngineStage;
  inFlight: number;
}

type Rule = (candidates: readonly Candidate[], turn: number, random: Random) => Candidate;

const RULES: Readonly<Record<Baseline, Rule>> = {
  random: (candidates, turn, random) => random.pick(candidates),
  'round robin': (candidates, turn) => candidates[turn % candidates.length] as Candidate,
  'least in flight': (candidates, turn, random) => {
    const fewest = Math.min(...candidates.map((one) => one.inFlight));
    return random.pick(candidates.filter((one) => one.inFlight === fewest));
  },
};

const TRIES = 4;
const SILENCE_MILLISECONDS = 10_000;

/** One router that follows a plain rule. */
export class BaselineRouter {
  readonly #candidates: readonly Candidate[];

  readonly #rule: Rule;

  readonly #random: Random;

  #turn = 0;

  constructor(baseline: Baseline, engines: readonly EngineProcess[], random: Random) {
    this.#rule = RULES[baseline];
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
    for (let attempt = 1; attempt <= TRIES && outcome === 'refused'; attempt += 1) {
      const chosen = this.#chooseChain(totalLayers);
      chosen.forEach((one) => {
        one.inFlight += 1;
      });
      const route: EngineRoute = chosen.map((one) => one.stage);
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
          headerTimeoutMilliseconds: SILENCE_MILLISECONDS,
          getIdleTimeoutMilliseconds: () => SILENCE_MILLISECONDS,
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
        chosen.forEach((one) => {
          one.inFlight -= 1;
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
      const chosen = this.#rule(candidates, this.#turn, this.#random);
      chain.push(chosen);
      layer = chosen.stage.to;
    }
    this.#turn += 1;
    return chain;
  }
}
