/** The types of a generation: its request, its tokens and how it ends. */
import type { Refusal, Outcome } from '../routing/outcome.js';

/** A generation to run. */
export interface GenerationRequest {
  readonly requestId: string;
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  /** The accelerator kinds that may be used; empty allows every kind. */
  readonly fleets: readonly string[];
  readonly prompt: string;
  readonly seed: number;
  readonly maximumTokens: number;
  readonly priority: number;
  /** The tokens that the caller already has; generation continues after them. */
  readonly producedTokens: readonly string[];
  /** The monotonic time in milliseconds by which a chain must be found. */
  readonly startBy: number;
  /** Aborted when the caller has disconnected. */
  readonly signal: AbortSignal;
}

/** One token for the caller. */
export interface GeneratedToken {
  readonly token: string;
  /** The index of the token in the whole generation, from 0. */
  readonly position: number;
}

/** How a generation ended. */
export type GenerationEnd =
  /** All tokens were produced; `tokens` is their number, including those the caller had. */
  | { readonly kind: 'finished'; readonly tokens: number }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  | { readonly kind: 'failed'; readonly outcome: Outcome };
