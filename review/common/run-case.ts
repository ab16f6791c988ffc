/**
 * Runs one case. The exit code is 10 if the rule was broken and 0 if it held; any other means that the case
 * couldn't run, also 1, with which Node.js ends on an error that nobody handles. `run.sh` turns it into 1, 0 or 2.
 */
import path from 'node:path';
import { Deployment, ROOT, type DeploymentOptions } from './deployment.js';
import { CaseRecord } from './record.js';

/** What a case finds. */
export interface Verdict {
  readonly isBroken: boolean;
  readonly summary: string;
}

/** What a case is given. */
export interface CaseContext {
  readonly deployment: Deployment;
  readonly record: CaseRecord;
  /** Whether the disruption is to happen; false with `TROUBLE=0`. */
  readonly hasTrouble: boolean;
  /** Called when the case has ended, whatever its result. */
  readonly atEnd: (release: () => Promise<void> | void) => void;
}

/** The case and its deployment. */
export interface Case {
  readonly folder: string;
  readonly options: DeploymentOptions;
  readonly run: (context: CaseContext) => Promise<Verdict>;
}

const BROKEN_EXIT_CODE = 10;
const FAILED_EXIT_CODE = 2;

/** Runs a case, writes its record and sets the exit code of the process. */
export async function runCase({ folder, options, run }: Case): Promise<void> {
  const record = new CaseRecord();
  const deployment = new Deployment(options);
  const releases: (() => Promise<void> | void)[] = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  record.add(hasTrouble ? 'with the disruption' : 'without the disruption');
  // The processes that the case started end with it.
  (['SIGTERM', 'SIGINT'] as const).forEach((signal) =>
    process.once(signal, () => {
      throw new Error(`Ended by ${signal}.`);
    }),
  );
  process.once('exit', () => deployment.kill());
  try {
    await deployment.startStore();
    const atEnd = (release: () => Promise<void> | void): void => {
      releases.push(release);
    };
    const { isBroken, summary } = await run({ deployment, record, hasTrouble, atEnd });
    const text = `${isBroken ? 'RULE BROKEN' : 'rule held'}: ${summary}`;
    record.add(text);
    process.stdout.write(`${text}\n`);
    process.exitCode = isBroken ? BROKEN_EXIT_CODE : 0;
  } catch (error) {
    const text = `could not run: ${String(error)}`;
    record.add(text);
    process.stderr.write(`${text}\n`);
    process.exitCode = FAILED_EXIT_CODE;
  }
  for (const release of releases) await release();
  await deployment.stop();
  await record.write(path.join(ROOT, 'review', folder, 'record.txt'));
}
