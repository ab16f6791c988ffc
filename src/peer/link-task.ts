/** Exchanges records with one peer, at regular intervals and when an urgent record is stored. */
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import type { ExchangeMessage } from './messages.js';
import { PeerClient } from './peer-client.js';
import { RECORD_SCOPES, type PeerRecord, type RecordKind } from './record.js';
import type { RecordTable } from './record-table.js';

/** The identity and the record table of this instance, shared by all its links. */
export interface LinkContext {
  readonly instance: string;
  readonly region: string;
  /** Identifies this instance's record table. It is the incarnation, so a restart gives a new id. */
  readonly tableId: number;
  readonly table: RecordTable;
  /** Time between two regular exchanges; urgent records are sent earlier. */
  readonly exchangeIntervalMilliseconds: number;
}

/** How far the exchange with one peer has come in each direction. */
export interface LinkProgress {
  /** The id of the peer's record table, 0 until the peer has answered. */
  peerTableId: number;
  /** The index in the peer's table up to which its records are stored here. */
  receivedIndex: number;
  /** The index in this instance's table up to which the peer has confirmed the records. */
  confirmedIndex: number;
}

/** Options of {@link runLink}. */
export interface LinkOptions {
  readonly context: LinkContext;
  /** The peer's name, empty while only its address is known. */
  readonly peer: string;
  readonly peerRegion: string | undefined;
  readonly address: Address;
  readonly progress: LinkProgress;
  /** Called after each failed exchange. */
  readonly onFailure: (consecutiveFailures: number) => void;
  /** Called with the peer's name after each successful exchange. */
  readonly onAnswer: (peer: string) => void;
  readonly signal: AbortSignal;
}

const EXCHANGE_TIMEOUT_MILLISECONDS = 1000;
const RETRY_MILLISECONDS = 300;
/** Limits the rate of exchanges while urgent records arrive one after another. */
const MINIMUM_EXCHANGE_SPACING_MILLISECONDS = 10;
/** The largest number of records in one message. */
const BATCH_LIMIT = 500;

/**
 * Creates a filter for the kinds of record that are sent to a peer. Kinds whose scope is a region
 * are sent only to peers in this instance's region, and not to a peer whose region is unknown.
 *
 * @returns A predicate that accepts the kinds to send.
 */
function createScopeFilter(
  ownRegion: string,
  peerRegion: string | undefined,
): (kind: RecordKind) => boolean {
  return (kind) => RECORD_SCOPES[kind] === 'everywhere' || peerRegion === ownRegion;
}

/**
 * Identifies a peer's record table as the source of records. Records are not sent back to their
 * source. A restarted peer begins with an empty table, which has another id, and so is sent the
 * records that came from its earlier process.
 *
 * @param instance - The peer's name.
 * @param table - The id of the peer's table, 0 while it is unknown.
 * @returns The id that is stored with records from that table.
 */
export function formatSourceId(instance: string, table = 0): string {
  return `${instance}/${table}`;
}

/**
 * Stores the records that a peer sent and answers with those that the peer has not confirmed.
 *
 * @param context - The receiving instance and its table.
 * @param message - The peer's message.
 * @returns The answer to send to the peer.
 */
export function answerExchange(
  context: LinkContext,
  message: ExchangeMessage,
): ExchangeMessage & { records: PeerRecord[] } {
  const { table, tableId, instance, region } = context;
  const sourceId = formatSourceId(message.instance, message.table);
  table.putReceived(message.records, sourceId);
  const confirmedIndex = message.confirmedTable === tableId ? message.confirmed : 0;
  const isInScope = createScopeFilter(region, message.region);
  const batch = table.collectUnconfirmed(confirmedIndex, sourceId, isInScope, BATCH_LIMIT);
  return {
    instance,
    region,
    table: tableId,
    confirmedTable: message.table,
    confirmed: message.index,
    index: batch.index,
    records: batch.records,
  };
}

function applyAnswer(options: LinkOptions, answer: ExchangeMessage): void {
  const { progress, context } = options;
  const isNewTable = answer.table !== progress.peerTableId;
  const sourceId = formatSourceId(answer.instance, answer.table);
  context.table.putReceived(answer.records, sourceId);
  progress.peerTableId = answer.table;
  progress.receivedIndex = answer.index;
  // A restarted peer has an empty table: nothing that it confirmed earlier is in it.
  progress.confirmedIndex = isNewTable ? 0 : answer.confirmed;
}

/**
 * Sends the records that the peer has not confirmed and stores those that it answers with.
 *
 * @returns Whether another exchange should follow at once: the peer's table is a new one, or a
 *   batch was full.
 * @throws PeerCallError when the peer does not answer in time.
 */
async function exchangeRecords(options: LinkOptions, client: PeerClient): Promise<boolean> {
  const { context, progress, peer } = options;
  const isInScope = createScopeFilter(context.region, options.peerRegion);
  const sourceId = formatSourceId(peer, progress.peerTableId);
  const batch = context.table.collectUnconfirmed(
    progress.confirmedIndex,
    sourceId,
    isInScope,
    BATCH_LIMIT,
  );
  const answer = await client.call(
    'exchange',
    {
      instance: context.instance,
      region: context.region,
      table: context.tableId,
      confirmedTable: progress.peerTableId,
      confirmed: progress.receivedIndex,
      index: batch.index,
      records: batch.records,
    },
    EXCHANGE_TIMEOUT_MILLISECONDS,
  );
  const isFirst = progress.peerTableId !== answer.table;
  applyAnswer(options, answer);
  options.onAnswer(answer.instance);
  return isFirst || batch.records.length === BATCH_LIMIT || answer.records.length === BATCH_LIMIT;
}

/**
 * Exchanges records with one peer until the signal aborts. A failed exchange is reported and
 * tried again.
 *
 * @param options - The peer, the progress to update, and the callbacks.
 */
export async function runLink(options: LinkOptions): Promise<void> {
  const { context, signal, address } = options;
  const client = new PeerClient(address);
  let failures = 0;
  try {
    while (!signal.aborted) {
      try {
        const hasMore = await exchangeRecords(options, client);
        failures = 0;
        if (!hasMore)
          await context.table.waitForUrgent(context.exchangeIntervalMilliseconds, signal);
        await sleep(MINIMUM_EXCHANGE_SPACING_MILLISECONDS, signal);
      } catch {
        failures += 1;
        options.onFailure(failures);
        await sleep(RETRY_MILLISECONDS, signal);
      }
    }
  } finally {
    client.close();
  }
}
