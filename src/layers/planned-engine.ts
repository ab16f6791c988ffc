/** An engine as the planner sees it, and how many layers it should hold. */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { maximumLayerCountWithCache } from './engine-estimates.js';

/** An engine as the planner sees it. */
export interface PlannedEngine {
  readonly id: string;
  readonly dataCentre: string;
  /** Name of its accelerator kind. */
  readonly kind: string | undefined;
  /** Number of requests that it runs at once. */
  readonly slots: number;
  /** The layers that it holds or has been ordered to load. */
  readonly layers: LayerRange | undefined;
  /** The most requests that ran in its data centre at once, lately. */
  readonly peakRequests: number;
  /** Whether requests run on it; it waits for them to end before it drops layers. */
  readonly isInUse: boolean;
  /** Whether it is still carrying out an order, so that its layers cannot be changed now. */
  readonly hasOrderInProgress: boolean;
  /** While it carries out an order: the layers that it holds now and that the order keeps. */
  readonly keptLayers?: LayerRange | undefined;
}

/** Returns the layers that an engine holds now and that no order in progress makes it drop. */
export function getServedLayers(engine: PlannedEngine): LayerRange | undefined {
  return engine.hasOrderInProgress ? engine.keptLayers : engine.layers;
}

/** Returns the most layers that an engine may be given. */
export type LayerLimit = (engine: PlannedEngine) => number;

/** The model's profile and the limit by which its layers are planned. */
export interface PlanConditions {
  readonly profile: EngineProfile;
  readonly layerLimit: LayerLimit;
}

/**
 * Share of an engine's slots that its KV cache should serve. A lower share leaves memory for more layers, which
 * makes chains faster and tolerates the loss of engines better; it is for data centres with spare memory, where
 * several engines share the requests of each layer.
 */
const TARGET_SLOT_SHARE = 1;

/**
 * Returns the most layers that leave an engine enough KV cache for the target share of its slots.
 *
 * @param engine - The engine.
 * @param profile - The service's profile.
 * @param slotShare - The target share.
 * @returns The number of layers.
 */
export function targetLayerCount(
  { kind, slots }: PlannedEngine,
  profile: EngineProfile,
  slotShare = TARGET_SLOT_SHARE,
): number {
  return maximumLayerCountWithCache(profile, kind, slotShare * slots);
}
