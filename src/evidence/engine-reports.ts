/** Asks engines for reports, and notes what their answers say of them. */
import type { FleetServer } from '../fleet/backend-fleet.js';
import type { StatementRecorder } from '../fleet/server-statements.js';
import { NoEngineReportError } from './no-engine-report-error.js';
import type { EngineReport, ProtocolAdapter } from '../entry/protocol-adapter.js';

/** Options of {@link EngineReports}. */
export interface EngineReportsOptions {
  readonly protocol: Pick<ProtocolAdapter, 'fetchEngineReport'>;
  readonly statements: StatementRecorder;
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
   * @throws NoEngineReportError if it answers without one; another error if no valid answer arrives in time.
   */
  async fetch({ entry }: FleetServer, timeoutMilliseconds: number): Promise<EngineReport> {
    const { protocol, statements } = this.#options;
    const answer = await protocol.fetchEngineReport(entry.address, timeoutMilliseconds);
    statements.record({ entry, status: answer.status, statements: answer.statements });
    if (!answer.report) throw new NoEngineReportError(answer.status);
    return answer.report;
  }
}
