/** Asks engines for reports, and notes what their answers say of them. */
import type { BackendFleet } from '../fleet/backend-fleet.js';
import type { FleetServer } from '../fleet/fleet-server.js';
import type { StatementRecorder } from '../fleet/server-statements.js';
import { isAnothersAnswer, recordAnothersAnswer } from './address-owner.js';
import { NoEngineReportError } from './no-engine-report-error.js';
import { ForeignResponseError } from './response-origin.js';
import type { EngineReport, ProtocolAdapter } from '../entry/protocol-adapter.js';

/** Options of {@link EngineReports}. */
export interface EngineReportsOptions {
  readonly protocol: Pick<ProtocolAdapter, 'fetchEngineReport'>;
  readonly statements: Pick<StatementRecorder, 'record'>;
  readonly fleet: Pick<BackendFleet, 'find' | 'recordEnd'>;
}

export class EngineReports {
  readonly #options: EngineReportsOptions;

  constructor(options: EngineReportsOptions) {
    this.#options = options;
  }

  /**
   * Asks an engine for a report.
   *
   * @param server - The engine.
   * @param timeoutMilliseconds - The longest wait.
   * @returns The report.
   * @throws NoEngineReportError if it answers without one; ForeignResponseError if another server answers at its
   *   address; another error if no valid answer arrives in time.
   */
  async fetch({ entry }: FleetServer, timeoutMilliseconds: number): Promise<EngineReport> {
    const { protocol, statements, fleet } = this.#options;
    const answer = await protocol.fetchEngineReport(entry.address, timeoutMilliseconds);
    if (isAnothersAnswer(entry, answer.statements)) {
      recordAnothersAnswer(fleet, entry, answer.statements);
      throw new ForeignResponseError(
        `${answer.statements.serverId} answered in place of the engine.`,
      );
    }
    statements.record({ entry, status: answer.status, statements: answer.statements });
    if (!answer.report) throw new NoEngineReportError(answer.status);
    return answer.report;
  }
}
