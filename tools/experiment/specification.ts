/** The file format of an experiment: its deployment, phases of load, and scheduled faults. */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { IssueError, toIssues } from '../../src/common/issue.js';
import { safeParseJsonWithComments } from '../../src/settings/settings.js';

/** Engines with equal settings, spread over the listed data centres in turn. */
const EngineGroup = z.strictObject({
  count: z.number().int().min(1),
  /** The layers that each engine holds: from `from` up to, but not including, `to`. */
  from: z.number().int().min(0),
  to: z.number().int().min(1),
  totalLayers: z.number().int().min(1).default(8),
  accelerator: z.string(),
  stepMilliseconds: z.number().positive(),
  prefillTokensPerMillisecond: z.number().positive().default(10),
  slots: z.number().int().min(1).default(8),
  dataCentres: z.array(z.string()).min(1),
});
export type EngineGroup = z.infer<typeof EngineGroup>;

const Account = z.strictObject({
  name: z.string(),
  /** Relative weight: requests are divided among the accounts in proportion to their shares. */
  share: z.number().positive(),
  class: z.enum(['interactive', 'batch']).default('batch'),
});

const Phase = z.strictObject({
  name: z.string(),
  seconds: z.number().positive(),
  /** Offered load as a fraction of the throughput bound of the engines. */
  load: z.number().min(0),
  /** The accounts that send requests in this phase; all accounts if empty. */
  accounts: z.array(z.string()).default([]),
});
export type Phase = z.infer<typeof Phase>;

const Fault = z.strictObject({
  atSecond: z.number().min(0),
  kind: z.enum([
    'kill engine',
    'freeze engine',
    'slow engine',
    'platform outage',
    'kill data centre',
  ]),
  /** The affected engine, counted from 0 over all groups in their order. */
  engine: z.number().int().min(0).default(0),
  /** The affected data centre, for `kill data centre`. */
  dataCentre: z.string().default(''),
  /** `slow engine`: how many times as long a step takes. `platform outage`: duration in seconds. */
  amount: z.number().positive().default(10),
});
export type Fault = z.infer<typeof Fault>;

/** An experiment file. */
export const Experiment = z.strictObject({
  name: z.string(),
  description: z.string(),
  seed: z.number().int().default(1),
  /** One entry for each instance: the data centre that it runs in. */
  instances: z.array(z.string()).min(1),
  engines: z.array(EngineGroup).min(1),
  /** One-way latency between two data centres, in milliseconds. */
  linkMilliseconds: z.number().min(0).default(0.25),
  accounts: z.array(Account).min(1),
  /** The number of tokens that each request asks for. */
  tokens: z.number().int().min(1),
  /** The length to which prompts are padded. */
  promptCharacters: z.number().int().min(1).default(400),
  deadlineMilliseconds: z.number().int().min(1).default(10_000),
  phases: z.array(Phase).min(1),
  faults: z.array(Fault).default([]),
});
export type Experiment = z.infer<typeof Experiment>;

/**
 * Reads an experiment file and validates it.
 *
 * @param path - The path of a file that holds JSON with comments.
 * @returns The experiment, with defaults filled in.
 * @throws IssueError with every syntax or validation issue.
 */
export function readExperiment(path: string): Experiment {
  const value = safeParseJsonWithComments(readFileSync(path, 'utf8'))
    .mapLeft((issues) => new IssueError(issues))
    .unsafeCoerce();
  const result = Experiment.safeParse(value);
  if (!result.success) throw new IssueError(toIssues(result.error));
  return result.data;
}
