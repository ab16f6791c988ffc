/** Readmits ejected servers that are healthy, and discards what is known of servers that are gone. */
import type { ActiveConfiguration } from '../entry/active-configuration.js';
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { CallTimes } from '../fleet/call-times.js';
import type { EndCheck } from '../fleet/end-check.js';
import { checkHealth } from '../fleet/health-check.js';
import type { OutlierEjection } from '../fleet/outlier-ejection.js';
import { getAvailability } from '../fleet/server-availability.js';
import type { StatementRecorder } from '../fleet/server-statements.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import { isAnothersAnswer, recordAnothersAnswer } from '../evidence/address-owner.js';
import type { ServerLimits } from '../fleet/server-limits.js';

/** Options of {@link ServerHealth}. */
export interface ServerHealthOptions {
  readonly fleet: BackendFleet;
  readonly outlierEjection: OutlierEjection;
  readonly endCheck: Pick<EndCheck, 'recordRefusal'>;
  readonly serverLimits: Pick<ServerLimits, 'retain'>;
  readonly statements: Pick<StatementRecorder, 'record'>;
  readonly protocol: Pick<ProtocolAdapter, 'parseServerStatements'>;
  readonly callTimes: Pick<CallTimes, 'retain'>;
  readonly configuration: Pick<ActiveConfiguration, 'current'>;
}

const DEFAULT_HEALTH_PATH = '/health';

export class ServerHealth {
  readonly #options: ServerHealthOptions;

  constructor(options: ServerHealthOptions) {
    this.#options = options;
  }

  /** Checks the servers whose ejection may end; call it periodically. */
  async checkEjectedServers(): Promise<void> {
    const { fleet, outlierEjection, serverLimits, callTimes } = this.#options;
    const isRegistered = (id: string): boolean => fleet.find(id) !== undefined;
    outlierEjection.retain(isRegistered);
    serverLimits.retain(isRegistered);
    callTimes.retain(isRegistered);
    await Promise.all(outlierEjection.dueForHealthCheck.map((id) => this.#checkServer(id)));
  }

  async #checkServer(id: string): Promise<void> {
    const { fleet, outlierEjection, endCheck, configuration, protocol, statements } = this.#options;
    const server = fleet.find(id);
    if (!server || getAvailability(server, performance.now()) === 'closed') return;
    const { entry } = server;
    const path = configuration.current?.services.get(entry.service)?.healthPath;
    const { health, answer } = await checkHealth(entry.address, path ?? DEFAULT_HEALTH_PATH);
    const said = answer && protocol.parseServerStatements(answer.headers);
    if (said && isAnothersAnswer(entry, said)) {
      recordAnothersAnswer(fleet, entry, said);
      return;
    }
    if (said) statements.record({ entry, status: answer.status, statements: said });
    if (health === 'refused') await endCheck.recordRefusal(entry, 'a health check was refused');
    if (health !== 'healthy') return;
    if (said?.serverId === id) fleet.recordLife(entry);
    outlierEjection.readmitIfHoldElapsed(id);
  }
}
