/** Stand-in for a plain service. It records every execution, so that tests can count repeats. */
import { sendJson, startStandIn, type StandInServer } from './http-server.js';

/** One call that the service executed. */
export interface Execution {
  readonly key: string | undefined;
  readonly submission: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly startedAt: number;
}

/** Faults and delays that a test can change while the service runs. */
export interface PlainServiceFaults {
  /** The duration of each call in milliseconds. */
  delayMilliseconds: number;
  /** This many of the next calls run, but their connections close without a response. */
  loseAnswers: number;
  /** This many of the next calls are answered with 503 and marked as not run. */
  refuse: number;
  /** Whether `/status` reports that the service is leaving. */
  leaving: boolean;
}

export interface PlainServiceStandIn extends StandInServer {
  readonly journal: Execution[];
  readonly faults: PlainServiceFaults;
}

/**
 * Starts a stand-in plain service.
 *
 * @param port - The port to listen on; 0 selects a free one.
 * @returns The running stand-in with its record of executions.
 */
export async function startPlainService(port = 0): Promise<PlainServiceStandIn> {
  const journal: Execution[] = [];
  const faults: PlainServiceFaults = {
    delayMilliseconds: 1,
    loseAnswers: 0,
    refuse: 0,
    leaving: false,
  };
  let running = 0;
  const server = await startStandIn(port, async (request) => {
    if (request.path === '/status') {
      sendJson(request.response, 200, { running, slots: 64, leaving: faults.leaving });
      return;
    }
    if (request.path === '/journal') {
      sendJson(request.response, 200, { journal });
      return;
    }
    if (request.path === '/control') {
      Object.assign(faults, JSON.parse(request.body) as object);
      sendJson(request.response, 200, faults);
      return;
    }
    if (faults.refuse > 0) {
      faults.refuse -= 1;
      request.response.setHeader('x-not-run', 'true');
      sendJson(request.response, 503, { error: 'busy' });
      return;
    }
    const header = (name: string): string | undefined => request.headers[name]?.toString();
    const execution: Execution = {
      key: header('idempotency-key'),
      submission: header('x-request-id'),
      method: request.method,
      path: request.path,
      startedAt: Date.now(),
    };
    journal.push(execution);
    running += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, faults.delayMilliseconds);
    });
    running -= 1;
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      request.response.destroy();
      return;
    }
    sendJson(request.response, 200, { booked: journal.indexOf(execution) + 1, echo: request.body });
  });
  return { ...server, journal, faults };
}
