/**
 * What instances tell each other of themselves and their peers in one exchange: decides with whom, of which records,
 * and which of them the other side lacks. It sends nothing itself. Handles fleets in which everything can't be told in
 * each exchange: records of other data centres are held back, and digests have a scope.
 */
import { z } from 'zod';
import type { Address } from '../common/address.js';
import type { Logger } from '../telemetry/log.js';
import {
  DEFAULT_FANOUT,
  pickTargets,
  toTarget,
  URGENT_FANOUT,
  type ExchangeTarget,
} from './exchange-targets.js';
import { omitEvidence, type EvidenceExchange } from './evidence-exchange.js';
import type { PeerRecord, ServerLoads } from './peer-record.js';
import { PeerRecordDecoder } from './peer-record-decoder.js';
import type { PeerTable } from './peer-table.js';
import { getRemoteRecordInterval } from './record-interval.js';

/** Options of {@link RecordExchange}. */
export interface RecordExchangeOptions {
  /** Address on which this instance listens for its peers. */
  readonly address: Address;
  readonly dataCentre: string;
  /** Addresses of peers to contact before any record has been received. */
  readonly seeds: readonly Address[];
  readonly table: PeerTable;
  readonly ownRecord: () => PeerRecord;
  /** Loads by all instances of this data centre together, sent to the other data centres. */
  readonly dataCentreLoads: () => ServerLoads;
  /** Called for each record that is newer than the one in the table. */
  readonly onRecord: (record: PeerRecord) => void;
  /** What peers are sent of the evidence against requests; all of it, in each record, by default. */
  readonly evidence?: EvidenceExchange;
  /** Called once after one or more newer records have been stored. */
  readonly onRecords: () => void;
  readonly log: Logger;
  /** Returns numbers from 0 to 1; at random by default. */
  readonly random?: () => number;
}

/** Incarnation and counter of the newest record that an instance has, by instance name. */
const Digest = z.record(z.string(), z.tuple([z.number(), z.number()]).catch([0, 0]));
type Digest = z.infer<typeof Digest>;

/**
 * Which records a digest covers: all, those of the sender's data centre, or only the receiver's own.
 * A small scope keeps digests short in a large fleet.
 */
const DigestScope = z.enum(['all', 'dataCentre', 'own']);
type DigestScope = z.infer<typeof DigestScope>;

/** The sender's own record and its digest. The response holds the records that the sender lacks. */
const ExchangeRequest = z.object({
  /** Read as a record by itself, so that one of another format still gets an answer. */
  own: z.looseObject({ instance: z.string(), dataCentre: z.string() }),
  known: Digest.catch({}),
  scope: DigestScope.default('all').catch('all'),
  /** Which evidence of the receiver the sender has. Absent in requests of older builds, which need all. */
  evidence: z.tuple([z.number(), z.number(), z.number()]).optional().catch(undefined),
});
type ExchangeRequest = z.infer<typeof ExchangeRequest>;

/** An exchange that is due. */
export interface PlannedExchange {
  readonly target: ExchangeTarget;
  readonly scope: DigestScope;
}

/** One instance's side of all exchanges. */
export class RecordExchange {
  readonly #options: RecordExchangeOptions;

  readonly #decoder: PeerRecordDecoder;

  #roundCount = 0;

  constructor(options: RecordExchangeOptions) {
    this.#options = options;
    this.#decoder = new PeerRecordDecoder(options.log);
  }

  /**
   * Chooses the exchanges of the next round.
   *
   * @param isUrgent - Whether peers should act on a change at once; more of them are chosen then.
   */
  planRound(isUrgent: boolean): PlannedExchange[] {
    this.#roundCount += 1;
    // Records wait at both ends of an exchange, so full rounds come twice as often as records leave.
    const fullRoundInterval = Math.ceil(
      getRemoteRecordInterval(this.#options.table.memberCount) / 2,
    );
    const isFullRound = this.#roundCount % fullRoundInterval === 0;
    const targets = pickTargets(this.#options, isUrgent ? URGENT_FANOUT : DEFAULT_FANOUT);
    const exchanges: PlannedExchange[] = targets.map((target) => ({
      target,
      scope: this.#chooseScope(target, isFullRound),
    }));
    const doubtful = this.#options.table.takeDoubtful();
    if (doubtful) exchanges.push({ target: toTarget(doubtful), scope: 'own' });
    return exchanges;
  }

  /** Chooses peers of this data centre that the own record is sent to between rounds. */
  planPush(): PlannedExchange[] {
    const targets = pickTargets(this.#options, { ...DEFAULT_FANOUT, otherDataCentres: 0 });
    return targets.map((target) => ({ target, scope: 'own' }));
  }

  /**
   * Makes the request of an exchange, which is sent as JSON.
   *
   * @param exchange - The exchange.
   */
  createRequest({ target, scope }: PlannedExchange): ExchangeRequest {
    const { evidence, ownRecord } = this.#options;
    const own = this.#prepareFor(target.dataCentre, ownRecord());
    const known = this.#createDigest(scope);
    if (!evidence) return { own, known, scope };
    return {
      own: evidence.attachFor(own, target),
      known,
      scope,
      evidence: evidence.getNamedPosition(target.instance),
    };
  }

  /**
   * Takes the answer to a request.
   *
   * @param exchange - The exchange.
   * @param request - Its request.
   * @param value - The answer, as it was read from JSON.
   */
  acceptAnswer({ target }: PlannedExchange, request: ExchangeRequest, value: unknown): void {
    this.merge(value, target.instance);
    const { evidencePosition } = request.own as Partial<PeerRecord>;
    this.#options.evidence?.confirm(target, evidencePosition);
  }

  /**
   * Stores the record of a peer that asks, and finds those that it lacks.
   *
   * @param value - The request, as it was read from JSON.
   * @returns The answer.
   * @throws ZodError when the request is not one.
   */
  answer(value: unknown): PeerRecord[] {
    const request = ExchangeRequest.parse(value);
    const isForThisRun = request.evidence?.[0] === this.#options.ownRecord().incarnation;
    this.merge([request.own], request.own.instance, isForThisRun);
    return this.#findRecordsNewerThan(request);
  }

  /**
   * Stores records that a peer sent, as far as they are newer.
   *
   * @param value - The answer to a request, or what stands in its place.
   * @param sender - Name of the peer, if it is known. Only its own record says what this instance has of its evidence.
   * @param isForThisRun - Whether the peer knew this run of the instance.
   */
  merge(value: unknown, sender?: string, isForThisRun = true): void {
    const { table, evidence, onRecord, onRecords } = this.#options;
    const records = this.#decoder.decodeAll(value);
    records
      .filter(({ instance }) => instance === sender)
      .forEach((record) => evidence?.accept(record, isForThisRun));
    const accepted = records.filter((record) => table.accept(record));
    accepted.forEach(onRecord);
    if (accepted.length > 0) onRecords();
  }

  #chooseScope({ dataCentre }: ExchangeTarget, isFullRound: boolean): DigestScope {
    if (isFullRound || dataCentre === undefined) return 'all';
    return dataCentre === this.#options.dataCentre ? 'dataCentre' : 'own';
  }

  #createDigest(scope: DigestScope): Digest {
    const { table, dataCentre } = this.#options;
    if (scope === 'own') return {};
    return Object.fromEntries(
      table.aliveRecords
        .filter((record) => scope === 'all' || record.dataCentre === dataCentre)
        .map(({ instance, incarnation, counter }) => [instance, [incarnation, counter]]),
    );
  }

  /**
   * Replaces a record's loads for a receiver in another data centre: the own record carries the loads
   * of the whole data centre instead, other records none.
   */
  #prepareFor(receiverDataCentre: string | undefined, record: PeerRecord): PeerRecord {
    const { dataCentre, ownRecord, dataCentreLoads } = this.#options;
    if (receiverDataCentre === undefined || receiverDataCentre === record.dataCentre) return record;
    if (record !== ownRecord())
      return { ...record, loads: {}, accountLoads: undefined, dataCentreLoads: undefined };
    if (receiverDataCentre === dataCentre) return record;
    return { ...record, loads: {}, accountLoads: undefined, dataCentreLoads: dataCentreLoads() };
  }

  /** Returns the records that a peer's digest lacks or has in an older version. */
  #findRecordsNewerThan({
    own: peer,
    known,
    scope,
    evidence: named,
  }: ExchangeRequest): PeerRecord[] {
    const { ownRecord, table } = this.#options;
    const interval = getRemoteRecordInterval(table.memberCount);
    const own = ownRecord();
    const candidates = scope === 'own' ? [own] : [own, ...table.aliveRecords];
    return candidates
      .filter((record) => {
        if (record.instance === peer.instance) return false;
        // The peer may have the record itself through another instance, which left the evidence out.
        if (record === own && named && this.#options.evidence?.hasMoreThan(own, named)) return true;
        // This instance's copy has no loads; the record's own data centre has a complete one.
        if (record.dataCentre === peer.dataCentre && peer.dataCentre !== own.dataCentre)
          return false;
        const isRemote = record.dataCentre !== peer.dataCentre;
        if (scope === 'dataCentre' && isRemote && record !== own) return false;
        const [knownIncarnation = 0, knownCounter = 0] = known[record.instance] ?? [];
        if (record.incarnation !== knownIncarnation) return record.incarnation > knownIncarnation;
        if (isRemote && record !== own && (record.changeCounter ?? record.counter) <= knownCounter)
          return record.counter >= knownCounter + interval;
        return record.counter > knownCounter;
      })
      .map((record) => {
        const prepared = this.#prepareFor(peer.dataCentre, record);
        if (!this.#options.evidence) return prepared;
        if (record !== own) return omitEvidence(prepared);
        return named ? this.#options.evidence.attachForAnswer(prepared, named) : prepared;
      });
  }
}
