/** A caller's connection on which a test controls every byte. */
import { once } from 'node:events';
import net from 'node:net';

/** A response that arrived on a {@link RawConnection}. */
export interface RawResponse {
  readonly status: number;
  /** Status line and header lines, in the order and spelling received. */
  readonly head: string;
  readonly body: string;
  /** Whether all of the body arrived. */
  readonly isComplete: boolean;
}

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';

function parseResponse(text: string): (RawResponse & { readonly length: number }) | undefined {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) return undefined;
  const head = text.slice(0, headEnd);
  const bodyStart = headEnd + HEAD_END.length;
  const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(head)?.[1] ?? 0);
  const length = /^content-length: (\d+)$/im.exec(head)?.[1];
  const chunksEnd = text.indexOf(LAST_CHUNK, bodyStart);
  const isChunked = /^transfer-encoding: chunked$/im.test(head);
  const bodyEnd = isChunked ? chunksEnd + LAST_CHUNK.length : bodyStart + Number(length ?? 0);
  const isComplete = isChunked ? chunksEnd >= 0 : text.length >= bodyEnd;
  const body = text.slice(bodyStart, isComplete ? bodyEnd : undefined);
  return { status, head, body, isComplete, length: bodyEnd };
}

/** One connection to 127.0.0.1; text is sent and received as Latin-1. */
export class RawConnection {
  readonly #socket: net.Socket;

  #received = '';

  #isClosed = false;

  private constructor(socket: net.Socket) {
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.on('data', (part: Buffer) => {
      this.#received += part.toString('latin1');
    });
    socket.on('error', () => undefined);
    const markClosed = (): void => {
      this.#isClosed = true;
    };
    socket.on('end', markClosed);
    socket.on('close', markClosed);
  }

  /**
   * Connects to a port.
   *
   * @throws Error when the connection is refused.
   */
  static async open(port: number): Promise<RawConnection> {
    const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
    await once(socket, 'connect');
    return new RawConnection(socket);
  }

  /** Whether the other side has ended the connection. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  write(text: string): void {
    if (!this.#socket.destroyed) this.#socket.write(text, 'latin1');
  }

  /** Ends the sending side; what is still sent to this side can be read. */
  end(): void {
    this.#socket.end();
  }

  /** Closes the connection at once. */
  destroy(): void {
    this.#socket.destroy();
  }

  /**
   * Waits for the next response.
   *
   * @param timeoutMilliseconds - How long to wait.
   * @returns The response; one that the connection's end cut off is not complete. Undefined if no head
   * arrived before the end of the connection or the timeout.
   */
  async readResponse(timeoutMilliseconds: number): Promise<RawResponse | undefined> {
    const deadline = performance.now() + timeoutMilliseconds;
    for (;;) {
      const response = parseResponse(this.#received);
      if (response?.isComplete) {
        this.#received = this.#received.slice(response.length);
        return response;
      }
      const remaining = deadline - performance.now();
      if (this.#isClosed || remaining <= 0) return response;
      await this.#waitForChange(remaining);
    }
  }

  #waitForChange(milliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer);
        this.#socket.off('data', finish);
        this.#socket.off('end', finish);
        this.#socket.off('close', finish);
        resolve();
      };
      const timer = setTimeout(finish, milliseconds);
      this.#socket.on('data', finish);
      this.#socket.on('end', finish);
      this.#socket.on('close', finish);
    });
  }
}
