/** The stream that the stand-in for an engine sends, with the faults that may befall it. */
import type http from 'node:http';
import { sleep } from '../../src/common/clock.js';
import type { ServerFaults } from './server-faults.js';

/** The process that sends the stream. */
export interface StreamProcess {
  /** Read again before each event. */
  readonly faults: ServerFaults;
  crash(response: http.ServerResponse): Promise<void>;
  closeInOrder(response: http.ServerResponse): Promise<void>;
}

/** Options of {@link sendStream}. */
export interface StreamOptions {
  readonly headers: Record<string, string>;
  /** The number of events in a complete stream. */
  readonly events: number;
  /** The pause after each event. */
  readonly pauseMilliseconds: number;
  /** The last event that the caller has; 0 for a new stream. */
  readonly lastEventId: number;
  readonly eventsBeforeCrash: number;
  readonly promptPrefix: string | undefined;
}

const SILENCE_POLL_MILLISECONDS = 5;
const TRICKLE_MILLISECONDS = 100;

/** Waits while the server is to be silent. */
export async function waitWhileSilent(faults: ServerFaults): Promise<void> {
  while (faults.isSilent) await sleep(SILENCE_POLL_MILLISECONDS);
}

/**
 * Ends an answer that its connection delimits.
 *
 * @param rest - What is still to be written of a whole answer.
 */
export function endUnframed(
  response: http.ServerResponse,
  { unframedEnd }: ServerFaults,
  rest: string,
): void {
  if (unframedEnd === 'reset') response.socket?.resetAndDestroy();
  else response.end(unframedEnd === 'withinEvent' ? '' : rest);
}

/** Writes single bytes of a comment, as long as the fault lasts and somebody reads. */
async function trickle(
  response: http.ServerResponse,
  faults: ServerFaults,
  event: number,
): Promise<void> {
  if (event <= faults.tricklesAfterEvents) return;
  while (event > faults.tricklesAfterEvents && !response.destroyed) {
    response.write(':');
    await sleep(TRICKLE_MILLISECONDS);
  }
  response.write('\n');
}

/**
 * Sends a stream, or as much of it as the faults let through.
 *
 * @param server - The process that sends it.
 * @param response - The response to the request for it.
 * @param options - The events to send.
 */
export async function sendStream(
  server: StreamProcess,
  response: http.ServerResponse,
  options: StreamOptions,
): Promise<void> {
  const { faults } = server;
  const { headers, events, pauseMilliseconds, lastEventId, eventsBeforeCrash } = options;
  const { closesWithoutAnswer, crashingPromptPart, readingMilliseconds, unframedEnd } = faults;
  if (closesWithoutAnswer) {
    response.socket?.destroy();
    return;
  }
  if (unframedEnd !== undefined) response.removeHeader('transfer-encoding');
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  response.flushHeaders();
  await sleep(readingMilliseconds);
  const parts = (options.promptPrefix ?? '').split(',').map((part) => part.replace(/:.*/, ''));
  if (crashingPromptPart && parts.slice(0, -1).includes(crashingPromptPart)) {
    await server.crash(response);
    return;
  }
  for (let id = lastEventId + 1; id <= events; id += 1) {
    const event = id - lastEventId;
    await waitWhileSilent(faults);
    if (response.destroyed) return;
    if (event > faults.closesBetweenEvents) {
      await server.closeInOrder(response);
      return;
    }
    if (event > faults.breaksStreamAfterEvents) {
      response.write(`id: ${id}\nda`);
      await sleep(1);
      response.destroy();
      return;
    }
    await trickle(response, faults, event);
    if (response.destroyed) return;
    if (unframedEnd !== undefined && id === events) {
      response.write(`id: ${id}\ndata: ${id}\n`);
      await sleep(1);
      endUnframed(response, faults, '\n');
      return;
    }
    response.write(`id: ${id}\ndata: ${id}\n\n`);
    await sleep(pauseMilliseconds);
    if (event >= eventsBeforeCrash) {
      await server.crash(response);
      return;
    }
  }
  response.end();
}
