/** The record in which an instance describes itself to its peers through gossip. */
import { z } from 'zod';
import { AccountLoads } from '../admission/account-shares.js';
import { FirstLayer, LayerEnd, Port } from '../fleet/entry-bounds.js';

const AddressFields = z.object({ host: z.string(), port: Port });
/** A count, or a sum that is never below 0. */
const Amount = z.number().min(0).max(Number.MAX_SAFE_INTEGER);
/** Milliseconds on a clock; what lies before the clock's start is negative. */
const Time = z.number().min(Number.MIN_SAFE_INTEGER).max(Number.MAX_SAFE_INTEGER);

/** Engines slower than this are not told apart. */
const MAXIMUM_PACE = 1000;

/** By backend server: running requests and KV cache reserved for them, in tokens times layers. */
const ServerLoads = z.record(z.string(), z.tuple([Amount, Amount]));
export type ServerLoads = z.infer<typeof ServerLoads>;

/**
 * Numbers of the last changes that an instance has sent of its evidence against requests: of whole contents, and of
 * parts of prompts.
 */
export const EvidencePosition = z.tuple([Amount, Amount]);
export type EvidencePosition = z.infer<typeof EvidencePosition>;

const PromptParts = z.object({
  ends: z.record(z.string(), z.tuple([Time, z.array(z.array(z.string()))])),
  written: z.record(z.string(), Time),
  tried: z.record(z.string(), Time),
});

const KnownFields = z.object({
  instance: z.string(),
  dataCentre: z.string(),
  /** Start time of the process in wall-clock milliseconds; a restart yields a higher value. */
  incarnation: Amount,
  /** Increases each time the instance writes its record; 0 marks a record made from the store. */
  counter: Amount,
  /**
   * The counter at which something last changed that peers act on at once, such as readiness or the
   * configuration version. Absent in records of older builds.
   */
  changeCounter: Amount.optional(),
  /** Address for callers. */
  callers: AddressFields,
  /** Address for peers. */
  peers: AddressFields,
  isReady: z.boolean(),
  isStopping: z.boolean(),
  /** -1 without one. */
  configurationVersion: z.number().min(-1).max(Number.MAX_SAFE_INTEGER),
  fleetRevision: Amount,
  /** Era of the store to which that revision belongs. Absent in records of older builds. */
  fleetEra: Amount.optional(),
  /**
   * Instances of its data centre that it has lately taken for dead: incarnation and counter of their last records.
   * Absent in records of older builds.
   */
  lost: z.record(z.string(), z.tuple([Amount, Amount])).optional(),
  /** Whether the store answered this instance recently. */
  isStoreReachable: z.boolean(),
  /** Whether it has lost its links to all backend servers. Absent in records of older builds. */
  isCutFromServers: z.boolean().optional(),
  /** Whether it serves requests that peers pass on. Absent in records of older builds, which don't. */
  acceptsRequests: z.boolean().optional(),
  /** Processes of backend servers that told it that they leave. Absent in records of older builds. */
  leaving: z.array(z.string()).optional(),
  /** Ids of the backend servers that it has ejected. */
  suspects: z.array(z.string()),
  /** For each of them when, on the clock of `clock`, and why. Absent in records of older builds. */
  ejections: z.record(z.string(), z.tuple([Time, z.enum(['unreachable', 'faulty'])])).optional(),
  /** Loads of the requests that this instance runs. Left out towards other data centres. */
  loads: ServerLoads,
  /**
   * Loads by all instances of this instance's data centre together. Only towards other data
   * centres, in place of the single instances' loads.
   */
  dataCentreLoads: ServerLoads.optional(),
  /**
   * Requests in progress of client accounts, of services with several priority classes. Left out towards other
   * data centres. Absent in records of older builds.
   */
  accountLoads: AccountLoads.optional(),
  /** By backend server: how many times slower it is than usual for its kind. */
  paces: z.record(z.string(), z.number().min(0).max(MAXIMUM_PACE)),
  /** By engine: the layer range it last reported, which its registry entry may not show yet. */
  holdings: z.record(z.string(), z.tuple([FirstLayer, LayerEnd])),
  /** Term of the planner lease while this instance holds it, otherwise 0. */
  plannerTerm: Amount,
  /** By service: first attempts and retries within the window of the retry budget. */
  retries: z.record(z.string(), z.tuple([Amount, Amount])),
  /**
   * By backend server: the limit that it names, or null if it ceased to, and how many milliseconds
   * before the record it last said so. Absent in records of older builds.
   */
  limits: z.record(z.string(), z.tuple([Amount.nullable(), Time])).optional(),
  /**
   * By process of a backend server that has lately started or recovered: round and places of its window (null once
   * that has ended), how many milliseconds before the record it last changed, and the answers in time that the
   * instance got in the round. Absent in records of older builds, which keep no window.
   */
  windows: z.record(z.string(), z.tuple([Amount, Amount.nullable(), Time, Amount])).optional(),
  /** By content key of a request: ids of the backend servers that crashed while running it. */
  crashes: z.record(z.string(), z.array(z.string())),
  /**
   * Those of `crashes` at which the answer had been written for a while. Absent in records of older builds.
   */
  crashesWhileWritten: z.record(z.string(), z.array(z.string())).optional(),
  /**
   * By process of an engine that ended: when, and for each request that it had just begun the content key
   * and the shared parts of the prompt. By part: when an engine wrote on it, and when a request with it was
   * last tried, if it is blocked. Times are on the clock of `clock`. Absent in records of older builds.
   */
  promptParts: PromptParts.optional(),
  /**
   * Up to which of its changes `crashes`, `crashesWhileWritten` and `promptParts` reach, see `evidence-changes`; they
   * then hold only what the receiver had not been sent. Absent in records of older builds, which hold all.
   */
  evidencePosition: EvidencePosition.optional(),
  /** The instance's monotonic clock when it made the record, in milliseconds. Absent in older builds. */
  clock: Time.optional(),
});
export type PeerRecord = z.infer<typeof KnownFields>;

/** Keeps fields that it doesn't know: instances of a newer build get records through older ones. */
export const PeerRecord = KnownFields.extend({
  promptParts: PromptParts.loose().optional(),
}).loose();
