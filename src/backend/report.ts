/** The values of the records in which instances publish the state of backend servers. */
import { z } from 'zod';
import { EngineStatus } from './engine-protocol.js';

/** The states of a backend server. */
export const BACKEND_STATES = ['serving', 'leaving', 'unreachable'] as const;
export type BackendState = (typeof BACKEND_STATES)[number];

/** The part of an engine's status that rarely changes. */
export const EngineDescription = EngineStatus.omit({
  running: true,
  queued: true,
  fencingNumber: true,
});
export type EngineDescription = z.infer<typeof EngineDescription>;

/** The part of a backend server's status that rarely changes. */
export const BackendReport = z.object({
  state: z.enum(BACKEND_STATES),
  slots: z.number(),
  engine: EngineDescription.optional(),
});
export type BackendReport = z.infer<typeof BackendReport>;

/** The load of a backend server: the number of running and the number of queued requests. */
export const LoadReport = z.tuple([z.number(), z.number()]);
export type LoadReport = z.infer<typeof LoadReport>;

/** Keeps new requests from an engine that is to load another version. */
export const Cordon = z.object({
  /** The version that the engine is to load; once it holds it, the cordon has no effect. */
  version: z.string(),
  adapter: z.string(),
  /** How long the cordon lasts, counted on each instance from when it receives the record. */
  milliseconds: z.number().int().min(1),
});
export type Cordon = z.infer<typeof Cordon>;

/** The status document of a plain service. Fields that it leaves out get these defaults. */
export const ServiceStatus = z.object({
  incarnation: z.number().default(0),
  running: z.number().default(0),
  queued: z.number().default(0),
  slots: z.number().default(64),
  leaving: z.boolean().default(false),
});
export type ServiceStatus = z.infer<typeof ServiceStatus>;
