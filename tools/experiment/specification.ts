/** What an experiment runs: a deployment, phases of load, and faults at stated times. */
import { readFileSync } from 'node:fs';
import { z } from 'zod';
import { IssueError, toIssues } from '../../src/common/issue.js';
import { safeParseJsonWithComments } from '../../src/settings/settings.js';

const EngineGroup = z.strictObject({
  count: z.number().int().min(1),
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
  /** Its part of the requests. */
  share: z.number().positive(),
  class: z.enum(['interactive', 'batch']).default('batch'),
});

const Phase = z.strictObject({
  name: z.string(),
  seconds: z.number().positive(),
  /** Offered tokens a second over the bound. */
  load: z.number().min(0),
  /** Accounts that take part; all when empty. */
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
  /** Which engine, by its place in the list, or a data centre. */
  engine: z.number().int().min(0).default(0),
  dataCentre: z.string().default(''),
  /** How much slower, or for how many seconds. */
  amount: z.number().positive().default(10),
});
export type Fault = z.infer<typeof Fault>;

export const Experiment = z.strictObject({
  name: z.string(),
  description: z.string(),
  seed: z.number().int().default(1),
  /** The data centre of each instance. */
  instances: z.array(z.string()).min(1),
  engines: z.array(EngineGroup).min(1),
  /** One way between two data centres, in milliseconds. */
  linkMilliseconds: z.number().min(0).default(0.25),
  accounts: z.array(Account).min(1),
  tokens: z.number().int().min(1),
  promptCharacters: z.number().int().min(1).default(400),
  deadlineMilliseconds: z.number().int().min(1).default(10_000),
  phases: z.array(Phase).min(1),
  faults: z.array(Fault).default([]),
});
export type Experiment = z.infer<typeof Experiment>;

/**
 * Reads an experiment.
 *
 * @param path - JSON with comments.
 * @returns The checked experiment.
 * @throws IssueError with every issue.
 */
export function readExperiment(path: string): Experiment {
  const value = safeParseJsonWithComments(readFileSync(path, 'utf8'))
    .mapLeft((issues) => new IssueError(issues))
    .unsafeCoerce();
  const result = Experiment.safeParse(value);
  if (!result.success) throw new IssueError(toIssues(result.error));
  return result.data;
}
