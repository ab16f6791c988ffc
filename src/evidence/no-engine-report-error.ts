/** An engine answered a request for a report with something else. */
export class NoEngineReportError extends Error {
  constructor(status: number) {
    super(`The engine answered with status ${status} in place of a report.`);
    this.name = 'NoEngineReportError';
  }
}
