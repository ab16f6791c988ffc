/** Defines the context that an instance passes to whatever serves a request. */
import type { AdmissionControl } from '../admission/admission-control.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { CallTimes } from '../fleet/call-times.js';
import type { EndCheck } from '../fleet/end-check.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import type { ServerReach } from '../fleet/server-reach.js';
import type { ServerLimits } from '../fleet/server-limits.js';
import type { ServerPace } from '../fleet/server-pace.js';
import type { StatementRecorder } from '../fleet/server-statements.js';
import type { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import type { MemoryBudget } from '../memory/memory-budget.js';
import type { EventLoopDelay } from '../telemetry/event-loop-delay.js';
import type { LoggerFactory } from '../telemetry/log.js';
import type { CrashBlame } from '../evidence/crash-blame.js';
import type { ProtocolAdapter } from './protocol-adapter.js';
import type { EntryMetrics } from './entry-metrics.js';
import type { PeerRelay } from '../relay/peer-relay.js';
import type { RefusalPacing } from './refusal-pacing.js';
import type { RetryBudget } from '../relay/retry-budget.js';
import type { StallDetector } from '../evidence/stall-detector.js';
import type { WaitingStreams } from '../relay/waiting-streams.js';

/** The parts of an instance that all requests share. */
export interface EntryContext {
  readonly dataCentre: string;
  readonly protocol: ProtocolAdapter;
  readonly fleet: BackendFleet;
  readonly outlierEjection: OutlierEjection;
  readonly callTimes: CallTimes;
  readonly endCheck: EndCheck;
  readonly crashBlame: CrashBlame;
  readonly serverLimits: ServerLimits;
  readonly serverPace: ServerPace;
  readonly statements: StatementRecorder;
  readonly serverReach: ServerReach;
  readonly peerRelay: PeerRelay;
  readonly refusalPacing: RefusalPacing;
  /** Admits or refuses new requests under pressure. */
  readonly admission: AdmissionControl;
  readonly retryBudget: RetryBudget;
  readonly linkLoad: DataCentreLinkLoad;
  readonly stallDetector: StallDetector;
  readonly waitingStreams: WaitingStreams;
  readonly eventLoopDelay: Pick<EventLoopDelay, 'longestSince'>;
  /** The version of the configuration that is in force here; -1 before the first. */
  readonly configurationVersion: () => number;
  /** Bounds what is held for all requests together. */
  readonly memory: MemoryBudget;
  readonly metrics: EntryMetrics;
  readonly logs: LoggerFactory;
}
