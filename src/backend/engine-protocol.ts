/** The HTTP messages of model engines: tasks, generation events, status, orders, cache events. */
import { z } from 'zod';
import { Address } from '../common/address.js';

/** One stage of a chain: an engine that runs the layers from `from` up to, but not including, `to`. */
export const EngineStage = z.object({
  engine: z.string(),
  address: Address,
  dataCentre: z.string(),
  from: z.number().int().min(0),
  to: z.number().int().min(1),
  /** An engine from which this stage may fetch the request's KV cache instead of prefilling. */
  importFrom: Address.optional(),
});
export type EngineStage = z.infer<typeof EngineStage>;

/** The stages of a chain, in the order of their layers. */
export const EngineRoute = z.array(EngineStage).min(1);
export type EngineRoute = z.infer<typeof EngineRoute>;

/** A generation request, sent to the engine of the first stage. */
export const EngineTask = z.object({
  requestId: z.string(),
  attempt: z.number().int().min(1),
  model: z.string(),
  version: z.string(),
  adapter: z.string(),
  prompt: z.string(),
  /** Tokens that the caller already has; generation continues after them. */
  produced: z.array(z.string()),
  maximumTokens: z.number().int().min(1),
  seed: z.number().int(),
  priority: z.number().int(),
  route: EngineRoute,
});
export type EngineTask = z.infer<typeof EngineTask>;

/** A stage's confirmation that it ran its layers once for one token of one attempt. */
export const Receipt = z.object({
  engine: z.string(),
  from: z.number().int(),
  to: z.number().int(),
  position: z.number().int(),
  attempt: z.number().int(),
  /** The time that the stage took, without network transfer. */
  milliseconds: z.number().optional(),
});
export type Receipt = z.infer<typeof Receipt>;

/** An event of a running generation; the engine sends each as one line of JSON. */
export const EngineEvent = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('token'),
    token: z.string(),
    position: z.number().int().min(0),
    attempt: z.number().int(),
    receipts: z.array(Receipt),
  }),
  z.object({ kind: z.literal('end'), tokens: z.number().int() }),
  z.object({ kind: z.literal('failed'), stage: z.number().int(), reason: z.string() }),
]);
export type EngineEvent = z.infer<typeof EngineEvent>;

/** The status document of an engine. Its `running` and `queued` figures lag behind. */
export const EngineStatus = z.object({
  incarnation: z.number(),
  model: z.string(),
  version: z.string(),
  adapter: z.string(),
  totalLayers: z.number().int().min(1),
  from: z.number().int().min(0),
  to: z.number().int().min(1),
  accelerator: z.string(),
  slots: z.number().int().min(1),
  running: z.number().int().min(0),
  queued: z.number().int().min(0),
  stepMilliseconds: z.number().positive(),
  prefillTokensPerMillisecond: z.number().positive(),
  leaving: z.boolean(),
  loading: z.boolean(),
  fencingNumber: z.number().int(),
});
export type EngineStatus = z.infer<typeof EngineStatus>;

/** An order to hold a version and an adapter of a model. It states the target, not the steps. */
export const EngineOrder = z.object({
  fencingNumber: z.number().int().min(1),
  model: z.string(),
  version: z.string(),
  adapter: z.string(),
});
export type EngineOrder = z.infer<typeof EngineOrder>;

/** Notices that prompt prefixes entered or left an engine's cache, which arrive late. */
export const CacheEvents = z.object({
  /** The value of `since` that asks for the events after these. */
  next: z.number().int(),
  events: z.array(z.object({ prefix: z.string(), present: z.boolean() })),
});
export type CacheEvents = z.infer<typeof CacheEvents>;

/** The length of one block of a prompt; prefix caches hold whole blocks. */
export const PREFIX_BLOCK_CHARACTERS = 256;

/** The length of a prompt token that estimates assume. */
export const CHARACTERS_PER_TOKEN = 4;
