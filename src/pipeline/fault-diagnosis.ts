/**
 * Determines which stages of a chain are at fault after a failed attempt, and records the result so
 * that later choices avoid them.
 */
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import { readBackendStatus } from '../backend/queries/read-status.js';
import type { CrashGuard } from '../routing/crash-guard.js';
import type { EngineStreamError } from './engine-stream.js';

const PROBE_TIMEOUT_MILLISECONDS = 400;
const OVERLOAD_AVOID_MILLISECONDS = 150;

/** The stages found to be at fault. */
export interface Diagnosis {
  /** The ids of stages that did not answer their status request. */
  readonly unresponsive: ReadonlySet<string>;
  /** The ids of stages that must not be chosen again for this request. */
  readonly excluded: ReadonlySet<string>;
}

/** Options of {@link diagnoseFailure}. */
export interface DiagnosisOptions {
  readonly error: EngineStreamError;
  readonly stages: readonly BackendServer[];
  readonly directory: BackendDirectory;
  readonly crashGuard: CrashGuard;
  /** The content hash of the request that was running; see {@link CrashGuard}. */
  readonly contentHash: string;
  readonly probeTimeoutMilliseconds?: number;
}

/**
 * Asks every stage of a chain for its status.
 *
 * @param stages - The stages of the chain.
 * @param probeTimeoutMilliseconds - The longest wait for each answer.
 * @returns Whether all of them answered.
 */
export async function areAllResponsive(
  stages: readonly BackendServer[],
  probeTimeoutMilliseconds = PROBE_TIMEOUT_MILLISECONDS,
): Promise<boolean> {
  const results = await Promise.all(
    stages.map((server) => isResponsive(server, probeTimeoutMilliseconds)),
  );
  return results.every(Boolean);
}

async function isResponsive(server: BackendServer, timeoutMilliseconds: number): Promise<boolean> {
  try {
    await readBackendStatus('engine', server.address, timeoutMilliseconds);
    return true;
  } catch {
    return false;
  }
}

/**
 * Diagnoses a failed attempt. Stages that do not answer are recorded as unreachable. A stage that
 * refused because it was full is only avoided for a short time. If all stages answer although the
 * stream failed, every one of them is avoided for a while, since any of them may be at fault.
 *
 * @param options - The failure, the stages and where to record the result.
 * @returns The stages that do not answer and those to exclude from this request.
 */
export async function diagnoseFailure(options: DiagnosisOptions): Promise<Diagnosis> {
  const {
    error,
    stages,
    directory,
    crashGuard,
    contentHash,
    probeTimeoutMilliseconds = PROBE_TIMEOUT_MILLISECONDS,
  } = options;
  const reportedServer = stages[error.stage] ?? stages[0];
  const excluded = new Set(reportedServer ? [reportedServer.id] : []);
  if (error.kind === 'not_run') {
    reportedServer?.limit.recordRefusal();
    // The engine is full with requests of other instances. It is avoided for 75 to 225 ms, about
    // as long as that usually lasts.
    if (reportedServer)
      directory.avoid(reportedServer.id, OVERLOAD_AVOID_MILLISECONDS * (0.5 + Math.random()));
    return { unresponsive: new Set(), excluded: new Set() };
  }
  if (error.kind === 'leaving') {
    if (reportedServer) directory.publishState(reportedServer.id, 'leaving');
    return { unresponsive: new Set(), excluded };
  }
  const probes = await Promise.all(
    stages.map((server) => isResponsive(server, probeTimeoutMilliseconds)),
  );
  const unresponsive = stages.filter((server, index) => probes[index] === false);
  unresponsive.forEach((server) => {
    const incarnation = server.engine?.incarnation ?? 0;
    // A silent stream with open connections means a frozen server, which is not a crash.
    if (error.kind !== 'silent') crashGuard.recordCrash(contentHash, server.id, incarnation);
    directory.publishState(server.id, 'unreachable');
    excluded.add(server.id);
  });
  if (unresponsive.length === 0) stages.forEach((server) => directory.avoid(server.id));
  return { unresponsive: new Set(unresponsive.map((server) => server.id)), excluded };
}
