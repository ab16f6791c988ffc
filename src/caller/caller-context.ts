/** The components that the handlers of caller requests use. */
import type { ConfigurationInForce } from '../configuration/configuration-in-force.js';
import type { Membership } from '../peer/membership.js';
import type { GenerationContext } from '../pipeline/generation-context.js';
import type { AccountLimiter } from '../routing/account-limiter.js';
import type { ModelAdmissionQueues } from '../routing/model-admission-queues.js';
import type { AtMostOnceRunner } from '../service/at-most-once.js';
import type { ServiceRunner } from '../service/service-runner.js';
import type { TicketStore } from '../claims/ticket-store.js';
import type { Settings } from '../settings/settings.js';
import type { Logger } from '../telemetry/log.js';
import type { Metrics } from '../telemetry/metrics.js';

export interface CallerContext {
  readonly settings: Settings;
  readonly configuration: ConfigurationInForce;
  readonly membership: Membership;
  readonly limiter: AccountLimiter;
  readonly admissions: ModelAdmissionQueues;
  readonly generation: GenerationContext;
  readonly services: ServiceRunner;
  readonly atMostOnce: AtMostOnceRunner;
  readonly tickets: TicketStore;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Whether this instance is stopping and refuses new requests. */
  readonly isStopping: () => boolean;
}
