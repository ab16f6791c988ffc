/** What an instance tells its peers of itself. */
import { z } from 'zod';

const AddressFields = z.object({ host: z.string(), port: z.number() });

export const PeerRecord = z.object({
  instance: z.string(),
  dataCentre: z.string(),
  /** When this life of the process began, in wall-clock milliseconds. */
  incarnation: z.number(),
  /** Grows with each change; 0 stands for what the store says of an instance. */
  counter: z.number(),
  callers: AddressFields,
  peers: AddressFields,
  isReady: z.boolean(),
  isStopping: z.boolean(),
  configurationVersion: z.number(),
  fleetRevision: z.number(),
  /** Whether the store has answered of late. */
  isStoreReachable: z.boolean(),
  /** Servers that it suspects. */
  suspects: z.array(z.string()),
  /** By server: requests under way and KV cache promised, in tokens times layers. */
  loads: z.record(z.string(), z.tuple([z.number(), z.number()])),
  /** By server: how many times slower than its kind. */
  paces: z.record(z.string(), z.number()),
  /** By engine: layers that it has said to hold, ahead of its entry. */
  holdings: z.record(z.string(), z.tuple([z.number(), z.number()])),
  /** The term of the planner's lease, while this instance holds it; else 0. */
  plannerTerm: z.number(),
  /** By service: first tries and repeats of late. */
  retries: z.record(z.string(), z.tuple([z.number(), z.number()])),
  /** Deaths of servers by the content of requests. */
  crashes: z.record(z.string(), z.array(z.string())),
});
export type PeerRecord = z.infer<typeof PeerRecord>;
