/**
 * One instance of a simulated fleet: the real code of membership, and of fetching the configuration from peers, over a
 * simulated event loop and network.
 */
import { Right } from 'purify-ts/Either';
import type { Address } from '../../src/common/address.js';
import { PeerConfiguration } from '../../src/daemon/peer-configuration.js';
import { ActiveConfiguration } from '../../src/entry/active-configuration.js';
import type { ServingConfiguration } from '../../src/entry/serving-configuration.js';
import type { PeerRecord } from '../../src/gossip/peer-record.js';
import { PeerTable } from '../../src/gossip/peer-table.js';
import { RecordExchange, type PlannedExchange } from '../../src/gossip/record-exchange.js';
import { getHeartbeatInterval } from '../../src/gossip/record-interval.js';
import { createSilentLogger } from '../../src/telemetry/log.js';
import { createPeerRecord } from '../peer-record.js';
import { createServingConfiguration } from '../serving-configuration.js';
import type { HeldLoop } from './held-loop.js';
import { getDelay } from './simulated-links.js';

/** Carries messages between simulated instances. */
export interface SimulatedNetwork {
  /** Returns the instance that listens on a port, see {@link getPort}, or undefined if it has ended. */
  find: (port: number) => SimulatedInstance | undefined;
  /** Returns when a message arrives that is sent now, in milliseconds. */
  getArrival: (from: SimulatedInstance, to: SimulatedInstance, bytes: number) => number;
  /** Called when a promise settles, so that what waits for it runs before time goes on. */
  noteSettled: () => void;
}

/** What a configuration costs those that send and read it. */
export interface SimulatedDocument {
  /** As it is sent, compressed. */
  readonly bytes: number;
  /** Milliseconds of a core to write it into an answer. */
  readonly writeMilliseconds: number;
  /** Milliseconds of a core to read it and to take it into force. */
  readonly readMilliseconds: number;
}

/** Options of {@link SimulatedInstance}. */
export interface SimulatedInstanceOptions {
  readonly index: number;
  readonly dataCentre: string;
  readonly loop: HeldLoop;
  readonly network: SimulatedNetwork;
  readonly random: () => number;
  readonly document: SimulatedDocument;
  /** Called when it takes a peer for dead. */
  readonly onPeerLost: (peer: string) => void;
}

const EXCHANGE_TIMEOUT_MILLISECONDS = 400;
const DOCUMENT_TIMEOUT_MILLISECONDS = 1000;
const DOCUMENT_REQUEST_BYTES = 200;
const CHANGE_BOUND_MILLISECONDS = 3000;
/** Work for a message, and for each record that is read from one or written into one. */
const MESSAGE_WORK_MILLISECONDS = 0.3;
const RECORD_WORK_MILLISECONDS = 0.05;
const LOADED_SERVERS = 12;

/**
 * Returns the name of an instance.
 *
 * @param index - Its index in the fleet.
 */
export function getInstanceName(index: number): string {
  return `entry-${String(index).padStart(3, '0')}`;
}

/**
 * Returns the port that an instance would listen on.
 *
 * @param index - Its index in the fleet.
 */
export function getPort(index: number): number {
  return index + 1;
}

export class SimulatedInstance {
  readonly table: PeerTable;

  readonly index: number;

  readonly dataCentre: string;

  sentBytes = 0;

  /** Exchanges whose answer came too late or not at all. */
  failedExchanges = 0;

  /** Bytes of configurations that it sent to peers. */
  documentBytes = 0;

  /** Configurations that it could not read from a peer in time. */
  failedDocuments = 0;

  readonly #loop: HeldLoop;

  readonly #network: SimulatedNetwork;

  readonly #exchange: RecordExchange;

  #record: PeerRecord;

  #urgentText = '';

  readonly #document: SimulatedDocument;

  readonly #configuration: ActiveConfiguration;

  readonly #peerConfiguration: PeerConfiguration;

  constructor(options: SimulatedInstanceOptions) {
    const { index, dataCentre, loop, network, random, document, onPeerLost } = options;
    this.index = index;
    this.dataCentre = dataCentre;
    this.#loop = loop;
    this.#network = network;
    this.#document = document;
    const instance = getInstanceName(index);
    const address = { host: 'simulated', port: getPort(index) };
    const log = createSilentLogger();
    this.#configuration = new ActiveConfiguration({
      log,
      changeBoundMilliseconds: CHANGE_BOUND_MILLISECONDS,
      now: () => loop.now,
    });
    this.#apply(1);
    this.#peerConfiguration = new PeerConfiguration({
      configuration: this.#configuration,
      parseConfiguration: (value) => Right(value as ServingConfiguration),
      fetch: (peer) => this.#fetchDocument(peer),
      onNews: () => loop.add(loop.now, () => this.#pushNews()),
    });
    this.table = new PeerTable({ instance, dataCentre, log, onPeerLost, now: () => loop.now });
    const servers = Array.from(
      { length: LOADED_SERVERS },
      (_, offset) => `server-${index + offset}`,
    );
    this.#record = createPeerRecord(instance, {
      dataCentre,
      counter: 0,
      peers: address,
      loads: Object.fromEntries(servers.map((id) => [id, [2, 4000]])),
      limits: Object.fromEntries(servers.map((id) => [id, [20, 100]])),
    });
    this.#refresh();
    this.#exchange = new RecordExchange({
      address,
      dataCentre,
      seeds: [],
      table: this.table,
      ownRecord: () => this.#record,
      dataCentreLoads: () => this.#record.loads,
      onRecord: (record) => {
        void this.#peerConfiguration.fetchNewer(record);
      },
      onRecords: () => undefined,
      log,
      random,
    });
  }

  /** Its newest record. */
  get record(): PeerRecord {
    return this.#record;
  }

  get name(): string {
    return this.#record.instance;
  }

  /** The version of the configuration that is in force. */
  get version(): number {
    return this.#configuration.current?.version ?? -1;
  }

  /**
   * Takes a configuration from the store into force, and tells its peers.
   *
   * @param version - Its version.
   */
  takeFromStore(version: number): void {
    this.#loop.work(this.#document.readMilliseconds);
    if (version <= this.version) return;
    this.#apply(version);
    this.#pushNews();
  }

  #apply(version: number): void {
    const value = createServingConfiguration(version);
    this.#configuration.applyIfNewer(value, value, 'store');
  }

  #pushNews(): void {
    this.#refresh();
    this.#exchange.planPush().forEach((planned) => this.#send(planned));
  }

  /** Begins to exchange records. */
  start(): void {
    this.table.expireSilentPeers();
    this.#refresh();
    this.#exchange.planRound(false).forEach((planned) => this.#send(planned));
    this.#loop.add(this.#loop.now + getHeartbeatInterval(this.table.memberCount), () =>
      this.start(),
    );
  }

  /** Like `OwnRecord` of an instance. */
  #refresh(): void {
    const urgent = { configurationVersion: this.version, lost: this.table.reportedLost };
    const urgentText = JSON.stringify(urgent);
    const counter = this.#record.counter + 1;
    const changeCounter = urgentText === this.#urgentText ? this.#record.changeCounter : counter;
    this.#urgentText = urgentText;
    this.#record = { ...this.#record, ...urgent, counter, changeCounter };
  }

  /** Like `Gossip.fetchDocument`, but without a call that is made once more. */
  #fetchDocument({ port }: Address): Promise<unknown> {
    return new Promise((resolve) => {
      let isSettled = false;
      const settle = (value: unknown): void => {
        if (isSettled) return;
        isSettled = true;
        if (value === undefined) this.failedDocuments += 1;
        else this.#loop.work(this.#document.readMilliseconds);
        this.#network.noteSettled();
        resolve(value);
      };
      this.#loop.add(this.#loop.now + DOCUMENT_TIMEOUT_MILLISECONDS, () => settle(undefined));
      const holder = this.#network.find(port);
      if (!holder) return;
      const arrival = this.#network.getArrival(this, holder, DOCUMENT_REQUEST_BYTES);
      holder.#loop.add(arrival, () => {
        const { storedValue } = holder.#configuration;
        this.#loop.add(holder.#sendDocument(this), () => settle(storedValue));
      });
    });
  }

  /** Returns when the document arrives. */
  #sendDocument(reader: SimulatedInstance): number {
    const { bytes, writeMilliseconds } = this.#document;
    this.#loop.work(writeMilliseconds);
    this.documentBytes += bytes;
    return this.#network.getArrival(this, reader, bytes);
  }

  #send(planned: PlannedExchange): void {
    const receiver = this.#network.find(planned.target.address.port);
    const text = this.#write(this.#exchange.createRequest(planned), 1);
    if (!receiver) {
      this.#takeRefusal(planned);
      return;
    }
    const deadline = this.#loop.now + EXCHANGE_TIMEOUT_MILLISECONDS;
    const arrival = this.#network.getArrival(this, receiver, text.length);
    receiver.#loop.add(arrival, () =>
      receiver.#answer(text, (answer) => this.#read(receiver, answer, deadline)),
    );
  }

  #takeRefusal({ target: { instance, dataCentre } }: PlannedExchange): void {
    this.failedExchanges += 1;
    const askedAt = this.#loop.now;
    this.#loop.add(askedAt + 2 * getDelay(this.dataCentre, dataCentre), () => {
      if (instance !== undefined) this.table.recordRefusal(instance, askedAt);
    });
  }

  #answer(text: string, reply: (answer: string) => void): void {
    const records = this.#exchange.answer(JSON.parse(text));
    this.#loop.work(MESSAGE_WORK_MILLISECONDS + RECORD_WORK_MILLISECONDS);
    reply(this.#write(records, records.length));
  }

  #read(sender: SimulatedInstance, answer: string, deadline: number): void {
    const arrival = this.#network.getArrival(sender, this, answer.length);
    this.#loop.add(arrival, () => {
      // The timeout lets the loop look at its sockets first, so an answer that has arrived in time counts.
      if (arrival > deadline) {
        this.failedExchanges += 1;
        return;
      }
      const records = JSON.parse(answer) as PeerRecord[];
      this.#loop.work(MESSAGE_WORK_MILLISECONDS + records.length * RECORD_WORK_MILLISECONDS);
      this.#exchange.merge(records);
    });
  }

  #write(value: unknown, records: number): string {
    const text = JSON.stringify(value);
    this.sentBytes += text.length;
    this.#loop.work(MESSAGE_WORK_MILLISECONDS + records * RECORD_WORK_MILLISECONDS);
    return text;
  }
}
