/**
 * Gossip protocol that distributes each instance's record to all others. Every round an instance
 * exchanges records with a fixed number of peers, so the cost of a round does not grow with the
 * number of instances. Uses HTTP instead of gRPC because the gRPC library takes longer to load than
 * everything else an instance needs before it can serve.
 */
import http from 'node:http';
import { z } from 'zod';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { fetchResponse, getErrorMessage } from '../common/http-client.js';
import type { Logger } from '../telemetry/log.js';
import { PeerRecord } from './peer-record.js';
import type { PeerTable } from './peer-table.js';

/** Options of {@link Gossip}. */
export interface GossipOptions {
  /** Address on which this instance listens for its peers. */
  readonly address: Address;
  readonly dataCentre: string;
  /** Addresses of peers to contact before any record has been received. */
  readonly seeds: readonly Address[];
  readonly table: PeerTable;
  readonly ownRecord: () => PeerRecord;
  /** Called for each record that is newer than the one in the table. */
  readonly onRecord: (record: PeerRecord) => void;
  /** JSON documents served to peers, by path. A document that is undefined is answered with 404. */
  readonly documents: Readonly<Record<string, () => unknown>>;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** Incarnation and counter of the newest record that an instance has, by instance name. */
const Digest = z.record(z.string(), z.tuple([z.number(), z.number()]));
type Digest = z.infer<typeof Digest>;

/** The sender's own record and its digest. The response holds the records that the sender lacks. */
const ExchangeRequest = z.object({ own: PeerRecord, known: Digest });

/** Number of peers to exchange records with in one round. */
interface Fanout {
  /** Peers in this instance's data centre. */
  readonly sameDataCentre: number;
  /** Peers in all other data centres together. */
  readonly otherDataCentres: number;
}

const DEFAULT_FANOUT: Fanout = { sameDataCentre: 2, otherDataCentres: 1 };
/** Used when the own record has a change that peers should act on at once. */
const URGENT_FANOUT: Fanout = { sameDataCentre: 2, otherDataCentres: 2 };
/** Probability per round of contacting one more peer that may not be alive. */
const PROBE_PROBABILITY = 0.3;
const ROUND_INTERVAL_MILLISECONDS = 300;
const EXCHANGE_TIMEOUT_MILLISECONDS = 400;
const DOCUMENT_TIMEOUT_MILLISECONDS = 1000;

export class Gossip {
  readonly #options: GossipOptions;

  readonly #agent = new http.Agent({ keepAlive: true });

  #server: http.Server | undefined;

  constructor(options: GossipOptions) {
    this.#options = options;
  }

  /** Starts the HTTP server that answers peers; rejects if the address cannot be bound. */
  async listen(): Promise<void> {
    const server = http.createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
    server.keepAliveTimeout = 30_000;
    this.#server = server;
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Runs a round every 300 ms until the signal aborts, then closes the server. */
  async run(): Promise<void> {
    const { signal, table } = this.#options;
    while (!signal.aborted) {
      table.expireSilentPeers();
      void this.runRound();
      await sleep(ROUND_INTERVAL_MILLISECONDS, signal);
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
    const peers = this.#pickPeers(isUrgent ? URGENT_FANOUT : DEFAULT_FANOUT);
    await Promise.all(peers.map((address) => this.#exchangeWith(address)));
  }

  /**
   * Reads a JSON document from a peer.
   *
   * @param address - Address on which the peer listens for its peers.
   * @param path - One of the paths in {@link GossipOptions.documents}.
   * @returns The parsed document, or undefined if the peer has none or does not answer within 1 s.
   */
  async fetchDocument(address: Address, path: string): Promise<unknown> {
    try {
      const answer = await fetchResponse({
        address,
        agent: this.#agent,
        method: 'GET',
        path,
        timeoutMilliseconds: DOCUMENT_TIMEOUT_MILLISECONDS,
      });
      return answer.status === 200 ? JSON.parse(answer.body.toString()) : undefined;
    } catch (error) {
      this.#options.log.debug('Could not read a document from the peer.', {
        ...address,
        path,
        message: getErrorMessage(error),
      });
      return undefined;
    }
  }

  /**
   * Chooses the peers for one round at random. If this data centre has too few, peers of the others
   * take their place.
   */
  #pickPeers(fanout: Fanout): Address[] {
    const { table, seeds, address, dataCentre } = this.#options;
    const { aliveRecords } = table;
    const localCandidates = shuffle(aliveRecords.filter((peer) => peer.dataCentre === dataCentre));
    const remoteCandidates = shuffle(aliveRecords.filter((peer) => peer.dataCentre !== dataCentre));
    const localPeers = localCandidates.slice(0, fanout.sameDataCentre);
    const remoteCount = fanout.otherDataCentres + fanout.sameDataCentre - localPeers.length;
    const picked = [...localPeers, ...remoteCandidates.slice(0, remoteCount)].map(
      ({ peers }) => peers,
    );
    // Includes peers considered dead, so that both sides of a network partition find each other
    // again.
    const probeCandidates = [...table.allRecords.map(({ peers }) => peers), ...seeds].filter(
      (peer) => peer.host !== address.host || peer.port !== address.port,
    );
    const [probeTarget] = shuffle(probeCandidates);
    if (probeTarget && (picked.length === 0 || Math.random() < PROBE_PROBABILITY))
      picked.push(probeTarget);
    return picked;
  }

  async #exchangeWith(address: Address): Promise<void> {
    try {
      const answer = await fetchResponse({
        address,
        agent: this.#agent,
        method: 'POST',
        path: '/records',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ own: this.#options.ownRecord(), known: this.#createDigest() }),
        timeoutMilliseconds: EXCHANGE_TIMEOUT_MILLISECONDS,
      });
      this.#mergeRecords(JSON.parse(answer.body.toString()));
    } catch (error) {
      this.#options.log.debug('Record exchange with the peer failed.', {
        ...address,
        message: getErrorMessage(error),
      });
    }
  }

  #createDigest(): Digest {
    const { table } = this.#options;
    return Object.fromEntries(
      table.aliveRecords.map(({ instance, incarnation, counter }) => [
        instance,
        [incarnation, counter],
      ]),
    );
  }

  /** Returns the records that are missing from a peer's digest or newer than there. */
  #findRecordsNewerThan(peer: string, known: Digest): PeerRecord[] {
    const { ownRecord, table } = this.#options;
    return [ownRecord(), ...table.aliveRecords].filter(({ instance, incarnation, counter }) => {
      if (instance === peer) return false;
      const [knownIncarnation = 0, knownCounter = 0] = known[instance] ?? [];
      if (incarnation !== knownIncarnation) return incarnation > knownIncarnation;
      return counter > knownCounter;
    });
  }

  #mergeRecords(value: unknown): void {
    const { table, onRecord, log } = this.#options;
    const result = PeerRecord.array().safeParse(value);
    if (!result.success) {
      log.warn('Records from a peer do not match the schema; ignored.', {
        message: result.error.message.slice(0, 200),
      });
      return;
    }
    result.data.forEach((record) => {
      if (table.accept(record)) onRecord(record);
    });
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
        const { own, known } = ExchangeRequest.parse(JSON.parse(Buffer.concat(chunks).toString()));
        this.#mergeRecords([own]);
        body = this.#findRecordsNewerThan(own.instance, known);
      } else {
        body = documents[request.url ?? '']?.();
      }
      response.statusCode = body === undefined ? 404 : 200;
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify(body ?? {}));
    } catch (error) {
      this.#options.log.warn('Could not answer a request from a peer; connection closed.', {
        message: getErrorMessage(error),
      });
      response.destroy();
    }
  }
}

function shuffle<T>(values: readonly T[]): T[] {
  const shuffled = [...values];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(Math.random() * (index + 1));
    const value = shuffled[index] as T;
    shuffled[index] = shuffled[other] as T;
    shuffled[other] = value;
  }
  return shuffled;
}
