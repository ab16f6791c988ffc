/** Options of {@link ServerPace}, and the arguments of its methods. */
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { Logger } from '../telemetry/log.js';
import type { FleetServer } from './fleet-server.js';
import type { SharingInstance } from './pace-sharing.js';

/** An answer of a server, or the first event of a stream that has passed engines. */
export interface PacedAnswer {
  readonly servers: readonly FleetServer[];
  /** When the request was sent, on the monotonic clock. */
  readonly sentAt: number;
  /** The target of the route; 0 for none. */
  readonly targetMilliseconds: number;
  /** False where the request was given up without an answer; true by default. */
  readonly hasAnswered?: boolean;
}

/** Why a window shrinks. */
export type ShrinkReason = 'refused' | 'failed' | 'late';

/** Options of {@link ServerPace}. */
export interface ServerPaceOptions {
  /** This instance. */
  readonly instance: SharingInstance;
  /** The other instances that serve requests and reach servers. */
  readonly listPeers: () => readonly SharingInstance[];
  readonly listServers: () => readonly FleetServer[];
  /** Era of the store; entries that come with another one may be of an older copy. */
  readonly fleetEra: () => number | undefined;
  readonly isEjected: (id: string) => boolean;
  /** The profile of a service with engines. */
  readonly findProfile: (service: string) => EngineProfile | undefined;
  readonly log: Pick<Logger, 'info'>;
  /** Current time on the monotonic clock, in milliseconds. */
  readonly now?: () => number;
  /** Wall-clock time, by which the instances take turns; a skew only lets two turns overlap. */
  readonly wallClock?: () => number;
}
