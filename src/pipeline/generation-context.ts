/** What all generations of an instance share. */
import type { BackendDirectory } from '../backend/directory.js';
import type { CrashGuard } from '../routing/crash-guard.js';
import type { LinkLatencies } from '../routing/link-latencies.js';
import type { PrefixCacheIndex } from '../routing/prefix-cache-index.js';
import type { Logger } from '../telemetry/log.js';

/** The state and settings that all generations of this instance share. */
export interface GenerationContext {
  readonly directory: BackendDirectory;
  readonly guard: CrashGuard;
  readonly linkLatencies: LinkLatencies;
  readonly prefixCacheIndex: PrefixCacheIndex;
  readonly dataCentre: string;
  /** The id of this instance. */
  readonly instance: string;
  /** Returns the ids of all instances that use the engines. */
  readonly instances: () => readonly string[];
  /** The smallest limit for the wait between two tokens; slow chains get a longer one. */
  readonly tokenSilenceMilliseconds: number;
  readonly log: Logger;
}
