/**
 * Determines which stages of a chain are at fault after a failed attempt, and records the result so
 * that later choices avoid them. Handles engines that freeze one after another: a silent engine is
 * avoided, but only one whose process has ended counts as crashed under the request.
 */
import type { BackendServer } from '../backend/backend-server.js';
import type { BackendDirectory } from '../backend/directory.js';
import { readBackendStatus } from '../backend/queries/read-status.js';
import { isConnectionRefused } from '../common/http-client.js';
import type { CrashGuard } from '../routing/crash-guard.js';
import { FAILURES_BEFORE_THE_RUN, type EngineStreamError } from './engine-stream.js';

const PROBE_TIMEOUT_MILLISECONDS = 400;
const OVERLOAD_AVOID_MILLISECONDS = 150;

/** The stages found to be at fault. */
export interface Diagnosis {
  /** The ids of stages that did not answer their status request, or whose process has ended. */
  readonly lost: ReadonlySet<string>;
  /** The stages that were recorded as crashed under the request. */
  readonly crashed: readonly StageProcess[];
  /** The ids of stages that must not be chosen again for this request. */
  readonly excluded: ReadonlySet<string>;
}

/** A stage of a chain and the process that ran it when the attempt began. */
export interface StageProcess {
  readonly server: BackendServer;
  /** The start time of the process; undefined if the server has not reported it. */
  readonly incarnation: number | undefined;
}

/** What a status request shows of the process of a stage. */
type StageCondition =
  /** It answers. */
  | 'responsive'
  /** There is no answer: it may have ended, be frozen or be cut off. */
  | 'silent'
  /** Nothing listens at its address. */
  | 'ended'
  /** Another process answers at its address. */
  | 'replaced';

const CONDITIONS_AFTER_END: ReadonlySet<StageCondition> = new Set(['ended', 'replaced']);
const UNREACHABLE_CONDITIONS: ReadonlySet<StageCondition> = new Set(['silent', 'ended']);

/** Options of {@link diagnoseFailure}. */
export interface DiagnosisOptions {
  readonly error: EngineStreamError;
  readonly stages: readonly StageProcess[];
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
  const conditions = await Promise.all(
    stages.map((server) =>
      probeStage({ server, incarnation: undefined }, probeTimeoutMilliseconds),
    ),
  );
  return conditions.every((condition) => condition === 'responsive');
}

async function probeStage(
  { server, incarnation }: StageProcess,
  timeoutMilliseconds: number,
): Promise<StageCondition> {
  try {
    const status = await readBackendStatus('engine', server.address, timeoutMilliseconds);
    const isSameProcess = incarnation === undefined || incarnation === status.incarnation;
    return isSameProcess ? 'responsive' : 'replaced';
  } catch (error) {
    return isConnectionRefused(error) ? 'ended' : 'silent';
  }
}

/**
 * Diagnoses a failed attempt. Stages that do not answer are recorded as unreachable, and those whose
 * process has ended as crashed under the request, if they may have run it. A stage that refused because
 * it was full is only avoided for a short time. If all stages answer although the stream failed, every
 * one of them is avoided for a while, since any of them may be at fault.
 *
 * @param options - The failure, the stages and where to record the result.
 * @returns The stages that are lost and those to exclude from this request.
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
  const reportedServer = (stages[error.stage] ?? stages[0])?.server;
  const excluded = new Set(reportedServer ? [reportedServer.id] : []);
  if (error.kind === 'not_run') {
    reportedServer?.limit.recordRefusal();
    // The engine is full with requests of other instances. It is avoided for 75 to 225 ms, about
    // as long as that usually lasts.
    if (reportedServer)
      directory.avoid(reportedServer.id, OVERLOAD_AVOID_MILLISECONDS * (0.5 + Math.random()));
    return { lost: new Set(), crashed: [], excluded: new Set() };
  }
  if (error.kind === 'leaving') {
    if (reportedServer) directory.publishState(reportedServer.id, 'leaving');
    return { lost: new Set(), crashed: [], excluded };
  }
  const probes = await Promise.all(
    stages.map(async (stage) => ({
      ...stage,
      condition: await probeStage(stage, probeTimeoutMilliseconds),
    })),
  );
  const mayHaveRun = !FAILURES_BEFORE_THE_RUN.has(error.kind);
  const crashed = probes.filter(
    ({ condition }) => mayHaveRun && CONDITIONS_AFTER_END.has(condition),
  );
  crashed.forEach(({ server, incarnation = 0 }) =>
    crashGuard.recordCrash(contentHash, server.id, incarnation),
  );
  probes
    .filter(({ condition }) => UNREACHABLE_CONDITIONS.has(condition))
    .forEach(({ server }) => directory.publishState(server.id, 'unreachable'));
  const lost = probes
    .filter(({ condition }) => condition !== 'responsive')
    .map(({ server }) => server.id);
  lost.forEach((id) => excluded.add(id));
  if (lost.length === 0) stages.forEach(({ server }) => directory.avoid(server.id));
  return { lost: new Set(lost), crashed, excluded };
}
