/**
 * Gossip protocol that distributes each instance's record to all others. Every round an instance
 * exchanges records with a fixed number of peers, so the cost of a round does not grow with the
 * number of instances. Uses HTTP instead of gRPC because the gRPC library takes longer to load than
 * everything else an instance needs before it can serve.
 */
import http from 'node:http';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { getErrorMessage, isConnectionRefused } from '../common/http-client.js';
import type { Logger } from '../telemetry/log.js';
import { PeerConnections } from './peer-connections.js';
import { COMPRESSED_ENCODING, decodeDocument, encodeDocument } from './document-encoding.js';
import {
  RecordExchange,
  type PlannedExchange,
  type RecordExchangeOptions,
} from './record-exchange.js';
import { getHeartbeatInterval } from './record-interval.js';

/** Options of {@link Gossip}. */
export interface GossipOptions extends RecordExchangeOptions {
  /**
   * JSON documents served to peers, by path, or promises of them. A document that is undefined is
   * answered with 404.
   */
  readonly documents: Readonly<Record<string, (query: URLSearchParams) => unknown>>;
  /** Takes requests of callers that a peer passes on; they carry this header. */
  readonly relay: {
    readonly header: string;
    readonly serve: (incoming: http.IncomingMessage, response: http.ServerResponse) => void;
  };
  readonly log: Logger;
  readonly signal: AbortSignal;
}

const EXCHANGE_TIMEOUT_MILLISECONDS = 400;
const DOCUMENT_TIMEOUT_MILLISECONDS = 1000;
/** More than the longest head that instances accept from callers. */
const MAXIMUM_HEADER_BYTES = 96 * 1024;

export class Gossip {
  readonly #options: GossipOptions;

  readonly #exchange: RecordExchange;

  readonly #connections: PeerConnections;

  #server: http.Server | undefined;

  constructor(options: GossipOptions) {
    this.#options = options;
    this.#exchange = new RecordExchange(options);
    this.#connections = new PeerConnections(options.log);
  }

  /** Starts the HTTP server that answers peers; rejects if the address cannot be bound. */
  async listen(): Promise<void> {
    const { relay } = this.#options;
    const server = http.createServer(
      { maxHeaderSize: MAXIMUM_HEADER_BYTES },
      (request, response) => {
        if (request.headers[relay.header] === undefined)
          void this.#handleRequest(request, response);
        else relay.serve(request, response);
      },
    );
    server.keepAliveTimeout = 30_000;
    this.#server = server;
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Runs a round at every heartbeat until the signal aborts, then closes the server. */
  async run(): Promise<void> {
    const { signal, table } = this.#options;
    while (!signal.aborted) {
      table.expireSilentPeers();
      void this.runRound();
      await sleep(getHeartbeatInterval(table.memberCount), signal);
    }
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /**
   * Exchanges records with some peers once.
   *
   * @param isUrgent - Whether peers should act on a change at once; more peers are contacted then.
   */
  async runRound(isUrgent = false): Promise<void> {
    await this.#runExchanges(this.#exchange.planRound(isUrgent));
  }

  /**
   * Sends the own record to some peers of this data centre, so that news spreads there from one to the
   * next without waiting for rounds.
   */
  async pushRecord(): Promise<void> {
    await this.#runExchanges(this.#exchange.planPush());
  }

  /**
   * Reads a JSON document from a peer.
   *
   * @param address - Address on which the peer listens for its peers.
   * @param path - One of the paths in {@link GossipOptions.documents}, and the query.
   * @param timeoutMilliseconds - The longest wait, 1 s by default; twice where a kept connection is silent.
   * @returns The parsed document, or undefined if the peer has none or does not answer in time.
   */
  async fetchDocument(
    address: Address,
    path: string,
    timeoutMilliseconds = DOCUMENT_TIMEOUT_MILLISECONDS,
  ): Promise<unknown> {
    const startedAt = performance.now();
    try {
      const answer = await this.#connections.fetch({
        address,
        method: 'GET',
        path,
        headers: { 'accept-encoding': COMPRESSED_ENCODING },
        timeoutMilliseconds,
      });
      if (answer.status !== 200) return undefined;
      const { body, headers } = answer;
      return await decodeDocument({ body, encoding: headers['content-encoding'] });
    } catch (error) {
      this.#options.log.info('Could not read a document from the peer.', {
        ...address,
        path,
        message: getErrorMessage(error),
        tookMilliseconds: Math.round(performance.now() - startedAt),
      });
      return undefined;
    }
  }

  async #runExchanges(exchanges: readonly PlannedExchange[]): Promise<void> {
    await Promise.all(exchanges.map((planned) => this.#runExchange(planned)));
  }

  async #runExchange(planned: PlannedExchange): Promise<void> {
    const { address, instance } = planned.target;
    const askedAt = performance.now();
    const request = this.#exchange.createRequest(planned);
    try {
      const answer = await this.#connections.fetch({
        address,
        method: 'POST',
        path: '/records',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(request),
        timeoutMilliseconds: EXCHANGE_TIMEOUT_MILLISECONDS,
      });
      this.#exchange.acceptAnswer(planned, request, JSON.parse(answer.body.toString()));
    } catch (error) {
      if (instance !== undefined && isConnectionRefused(error))
        this.#options.table.recordRefusal(instance, askedAt);
      this.#options.log.debug('Record exchange with the peer failed.', {
        ...address,
        message: getErrorMessage(error),
      });
    }
  }

  async #handleRequest(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { documents } = this.#options;
    try {
      const chunks: Buffer[] = [];
      for await (const chunk of request) chunks.push(chunk as Buffer);
      let body: unknown;
      if (request.url === '/records') {
        body = this.#exchange.answer(JSON.parse(Buffer.concat(chunks).toString()));
      } else {
        const { pathname, searchParams } = new URL(request.url ?? '', 'http://peer');
        body = await documents[pathname]?.(searchParams);
      }
      response.statusCode = body === undefined ? 404 : 200;
      response.setHeader('Content-Type', 'application/json');
      const { 'accept-encoding': accepted } = request.headers;
      const encoded = await encodeDocument(body ?? {}, String(accepted));
      if (encoded.encoding) response.setHeader('Content-Encoding', encoded.encoding);
      response.end(encoded.body);
    } catch (error) {
      this.#options.log.warn('Could not answer a request from a peer; connection closed.', {
        message: getErrorMessage(error),
      });
      response.destroy();
    }
  }
}
