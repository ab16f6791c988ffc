/** Defines what a chain selection is asked for and what it returns. */
import type { ChainStage } from '../layers/chain-choice.js';
import type { CrossingDecision } from '../layers/crossing-price.js';
import type { EngineCandidate, EngineChain } from './chain-selector.js';

/** Which engines a chain may use besides those that are available without restriction. */
export interface SelectionLimits {
  /** Engines that recently refused a request for lack of room, and those at their windows. */
  readonly canUseFull: boolean;
  /** Engines that this request is to avoid. */
  readonly canUseAvoided: boolean;
  /** Links between data centres whose share is used up. */
  readonly canUseBusyLinks?: boolean;
}

/** Options of `ChainSelector.choose`. */
export interface ChoiceOptions {
  /** Whether the caller has received events of the stream. */
  readonly hasStarted: boolean;
  /** Whether no engine is used that has recently refused a request for lack of room; false by default. */
  readonly needsRoom?: boolean;
  /** The first stage, when the chain must keep it. */
  readonly pinnedStage?: ChainStage<EngineCandidate>;
}

/** A running stream that is to be rerouted. */
export interface RerouteOptions {
  /** The chain that the stream runs over; its first stage is kept. */
  readonly chain: EngineChain;
  readonly hasStarted: boolean;
  readonly lastEventId: number | undefined;
  /** Whether it has been found that the stream can't be resumed inside a data centre. */
  readonly isResumeImpossible: boolean;
}

/** A chain, and the decision on its crossing if it or the best chain crosses. */
export interface Selection {
  readonly chain: EngineChain | undefined;
  readonly decision?: CrossingDecision;
}

/** The stream that a chain is selected for. */
export interface SelectedStream {
  readonly hasStarted: boolean;
  readonly pinnedStage?: ChainStage<EngineCandidate> | undefined;
  /** Set if it is to be rerouted. */
  readonly reroute?: RerouteOptions;
}
