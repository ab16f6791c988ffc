/**
 * Spreads each instance's record among all: at each round an instance exchanges records with a few
 * peers, so that its cost doesn't grow with the number of its links. Carried over HTTP rather than
 * gRPC, whose library takes longer to load than everything else an instance needs to serve.
 */
import http from 'node:http';
import { z } from 'zod';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { fetchResponse, getErrorMessage } from '../common/http-client.js';
import type { Logger } from '../telemetry/log.js';
import { PeerRecord } from './peer-record.js';
import type { PeerTable } from './peer-table.js';

/** Options of {@link startGossip}. */
export interface GossipOptions {
  readonly address: Address;
  readonly dataCentre: string;
  readonly seeds: readonly Address[];
  readonly table: PeerTable;
  readonly ownRecord: () => PeerRecord;
  readonly onRecord: (record: PeerRecord) => void;
  /** Answers of other paths, by path; an undefined one is absent. */
  readonly documents: Readonly<Record<string, () => unknown>>;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** What an instance knows, by instance: incarnation and counter. */
const Digest = z.record(z.string(), z.tuple([z.number(), z.number()]));
type Digest = z.infer<typeof Digest>;

/** An instance tells its own record and what it knows; it is told what it lacks. */
const Exchange = z.object({ own: PeerRecord, known: Digest });

/** Peers exchanged with at one round. */
interface Fanout {
  /** Of the own data centre. */
  readonly near: number;
  /** Of others. */
  readonly far: number;
}

const USUAL_FANOUT: Fanout = { near: 2, far: 1 };
/** When there is news that peers act on. */
const URGENT_FANOUT: Fanout = { near: 2, far: 2 };
/** Of rounds, in which a peer is tried that need not be alive. */
const PROBE_SHARE = 0.3;
const ROUND_MILLISECONDS = 300;
const EXCHANGE_TIMEOUT_MILLISECONDS = 400;
const DOCUMENT_TIMEOUT_MILLISECONDS = 1000;

export class Gossip {
  readonly #options: GossipOptions;

  readonly #agent = new http.Agent({ keepAlive: true });

  #server: http.Server | undefined;

  constructor(options: GossipOptions) {
    this.#options = options;
  }

  /** Listens for peers. */
  async listen(): Promise<void> {
    const server = http.createServer((request, response) => {
      void this.#answer(request, response);
    });
    server.keepAliveTimeout = 30_000;
    this.#server = server;
    const { host, port } = this.#options.address;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  /** Exchanges records until the signal aborts. */
  async run(): Promise<void> {
    const { signal, table } = this.#options;
    while (!signal.aborted) {
      table.expireSilentPeers();
      void this.runRound();
      await sleep(ROUND_MILLISECONDS, signal);
    }
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  /**
   * Exchanges records once.
   *
   * @param isUrgent - Whether there is news that peers act on; more of them are told then.
   */
  async runRound(isUrgent = false): Promise<void> {
    const peers = this.#pickPeers(isUrgent ? URGENT_FANOUT : USUAL_FANOUT);
    await Promise.all(peers.map((address) => this.#exchange(address)));
  }

  /**
   * Reads one of a peer's documents.
   *
   * @param address - The peer.
   * @param path - The document's path.
   * @returns The document, or undefined when it can't be had.
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
      this.#options.log.debug('Document not had.', {
        ...address,
        path,
        message: getErrorMessage(error),
      });
      return undefined;
    }
  }

  #pickPeers(fanout: Fanout): Address[] {
    const { table, seeds, address, dataCentre } = this.#options;
    const { aliveRecords: alive } = table;
    const near = shuffle(alive.filter((peer) => peer.dataCentre === dataCentre));
    const far = shuffle(alive.filter((peer) => peer.dataCentre !== dataCentre));
    const nearPicked = near.slice(0, fanout.near);
    const farCount = fanout.far + fanout.near - nearPicked.length;
    const picked = [...nearPicked, ...far.slice(0, farCount)].map(({ peers }) => peers);
    // Alive or not, so that parts that lost each other meet again.
    const others = [...table.allRecords.map(({ peers }) => peers), ...seeds].filter(
      (peer) => peer.host !== address.host || peer.port !== address.port,
    );
    const [extra] = shuffle(others);
    if (extra && (picked.length === 0 || Math.random() < PROBE_SHARE)) picked.push(extra);
    return picked;
  }

  async #exchange(address: Address): Promise<void> {
    try {
      const answer = await fetchResponse({
        address,
        agent: this.#agent,
        method: 'POST',
        path: '/records',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ own: this.#options.ownRecord(), known: this.#digest() }),
        timeoutMilliseconds: EXCHANGE_TIMEOUT_MILLISECONDS,
      });
      this.#accept(JSON.parse(answer.body.toString()));
    } catch (error) {
      this.#options.log.debug('Peer not reached.', { ...address, message: getErrorMessage(error) });
    }
  }

  #digest(): Digest {
    const { table } = this.#options;
    return Object.fromEntries(
      table.aliveRecords.map(({ instance, incarnation, counter }) => [
        instance,
        [incarnation, counter],
      ]),
    );
  }

  /** Records that are newer than what a peer knows. */
  #lackedBy(peer: string, known: Digest): PeerRecord[] {
    const { ownRecord, table } = this.#options;
    return [ownRecord(), ...table.aliveRecords].filter(({ instance, incarnation, counter }) => {
      if (instance === peer) return false;
      const [knownIncarnation = 0, knownCounter = 0] = known[instance] ?? [];
      if (incarnation !== knownIncarnation) return incarnation > knownIncarnation;
      return counter > knownCounter;
    });
  }

  #accept(value: unknown): void {
    const { table, onRecord, log } = this.#options;
    const result = PeerRecord.array().safeParse(value);
    if (!result.success) {
      log.warn('Records not understood.', { message: result.error.message.slice(0, 200) });
      return;
    }
    result.data.forEach((record) => {
      if (table.accept(record)) onRecord(record);
    });
  }

  async #answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { documents } = this.#options;
    try {
      const parts: Buffer[] = [];
      for await (const chunk of request) parts.push(chunk as Buffer);
      let body: unknown;
      if (request.url === '/records') {
        const { own, known } = Exchange.parse(JSON.parse(Buffer.concat(parts).toString()));
        this.#accept([own]);
        body = this.#lackedBy(own.instance, known);
      } else {
        body = documents[request.url ?? '']?.();
      }
      response.statusCode = body === undefined ? 404 : 200;
      response.setHeader('Content-Type', 'application/json');
      response.end(JSON.stringify(body ?? {}));
    } catch (error) {
      this.#options.log.warn('Peer request failed.', { message: getErrorMessage(error) });
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
