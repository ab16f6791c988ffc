/** Finds which stage of a pipeline is at fault, and notes it for later choices. */
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import { readBackend } from '../backend/queries/read-status.js';
import type { CrashGuard } from '../routing/crash-guard.js';
import type { EngineStreamError } from './engine-stream.js';

const PROBE_MILLISECONDS = 400;
const FULL_AVOID_MILLISECONDS = 150;

/** What was found out. */
export interface Diagnosis {
  /** Stages that do not answer. */
  readonly dead: ReadonlySet<string>;
  /** Stages that must not be chosen for this request again. */
  readonly excluded: ReadonlySet<string>;
}

/** Options of {@link diagnose}. */
export interface DiagnosisOptions {
  readonly error: EngineStreamError;
  readonly stages: readonly BackendServer[];
  readonly directory: BackendDirectory;
  readonly guard: CrashGuard;
  /** The content of the request that was running. */
  readonly content: string;
  readonly probeMilliseconds?: number;
}

/**
 * Tells whether every stage of a pipeline answers.
 *
 * @param stages - The stages.
 * @param probeMilliseconds - How long each may take.
 * @returns Whether all of them did.
 */
export async function allAnswer(
  stages: readonly BackendServer[],
  probeMilliseconds = PROBE_MILLISECONDS,
): Promise<boolean> {
  const results = await Promise.all(stages.map((server) => answers(server, probeMilliseconds)));
  return results.every(Boolean);
}

async function answers(server: BackendServer, timeoutMilliseconds: number): Promise<boolean> {
  try {
    await readBackend('engine', server.address, timeoutMilliseconds);
    return true;
  } catch {
    return false;
  }
}

/**
 * Diagnoses a failed attempt.
 *
 * @param options - The failure, the stages and where to note what is found.
 * @returns The stages that are dead and those to leave out.
 */
export async function diagnose(options: DiagnosisOptions): Promise<Diagnosis> {
  const {
    error,
    stages,
    directory,
    guard,
    content,
    probeMilliseconds = PROBE_MILLISECONDS,
  } = options;
  const blamed = stages[error.stage] ?? stages[0];
  const excluded = new Set(blamed ? [blamed.id] : []);
  if (error.kind === 'not_run') {
    blamed?.limit.recordRefusal();
    // Callers of other instances have filled it; it is left alone for about as long as that lasts.
    if (blamed) directory.avoid(blamed.id, FULL_AVOID_MILLISECONDS * (0.5 + Math.random()));
    return { dead: new Set(), excluded: new Set() };
  }
  if (error.kind === 'leaving') {
    if (blamed) directory.noteState(blamed.id, 'leaving');
    return { dead: new Set(), excluded };
  }
  const probes = await Promise.all(stages.map((server) => answers(server, probeMilliseconds)));
  const silent = stages.filter((server, index) => probes[index] === false);
  silent.forEach((server) => {
    const incarnation = server.engine?.incarnation ?? 0;
    // A frozen server is no crash: its connections stay open.
    if (error.kind !== 'silent') guard.recordCrash(content, server.id, incarnation);
    directory.noteState(server.id, 'unreachable');
    excluded.add(server.id);
  });
  if (silent.length === 0) stages.forEach((server) => directory.avoid(server.id));
  return { dead: new Set(silent.map((server) => server.id)), excluded };
}
