/** A generation as the pipeline layer sees it. */
import type { Refusal, Outcome } from '../routing/outcome.js';

/** One generation to carry out. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly fleets: readonly string[];
  readonly prompt: string;
  readonly seed: number;
  readonly maximumTokens: number;
  readonly priority: number;
  /** Tokens that the caller has already. */
  readonly producedTokens: readonly string[];
  /** Monotonic time by which the first token is wanted. */
  readonly startBy: number;
  /** Aborts when the caller has gone. */
  readonly signal: AbortSignal;
}

/** One token for the caller. */
export interface GeneratedToken {
  readonly token: string;
  readonly position: number;
}

/** How a generation ended. */
export type GenerationEnd =
  | { readonly kind: 'finished'; readonly tokens: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'failed'; readonly outcome: Outcome };
