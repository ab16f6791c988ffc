/** The task that exchanges records with one peer. */
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import type { ExchangeMessage } from './messages.js';
import { PeerClient } from './peer-client.js';
import { RECORD_SCOPES, type RecordKind } from './record.js';
import type { RecordTable } from './record-table.js';

/** What is shared by all links of one instance. */
export interface LinkContext {
  readonly instance: string;
  readonly region: string;
  /** Names this instance's table: its incarnation. */
  readonly tableName: number;
  readonly table: RecordTable;
  readonly exchangeMilliseconds: number;
}

/** How far two peers have told each other everything. */
export interface LinkProgress {
  peerTableId: number;
  /** The index of the peer's table that was taken in here. */
  receivedIndex: number;
  /** The index of this table that the peer has confirmed. */
  confirmedIndex: number;
}

/** Options of {@link runLink}. */
export interface LinkOptions {
  readonly context: LinkContext;
  readonly peer: string;
  readonly peerRegion: string | undefined;
  readonly address: Address;
  readonly progress: LinkProgress;
  readonly onFailure: (consecutiveFailures: number) => void;
  readonly onAnswer: (peer: string) => void;
  readonly signal: AbortSignal;
}

const EXCHANGE_TIMEOUT_MILLISECONDS = 1000;
const RETRY_MILLISECONDS = 300;
const MINIMUM_EXCHANGE_SPACING_MILLISECONDS = 10;
const MAXIMUM_BATCH_RECORDS = 500;

/**
 * Tells which kinds of record go to a peer.
 *
 * @param ownRegion - This instance's region.
 * @param peerRegion - The peer's region, if known.
 * @returns A test for a kind of record.
 */
function createScopeFilter(
  ownRegion: string,
  peerRegion: string | undefined,
): (kind: RecordKind) => boolean {
  return (kind) => RECORD_SCOPES[kind] === 'everywhere' || peerRegion === ownRegion;
}

/**
 * Names a peer's table. A peer that was started anew has another one, without what it once sent.
 *
 * @param instance - The peer.
 * @param table - Its table's name, 0 while unknown.
 * @returns The name by which records from that table are marked.
 */
export function formatSourceId(instance: string, table = 0): string {
  return `${instance}/${table}`;
}

/**
 * Takes in a peer's records and gathers what to answer.
 *
 * @param context - This instance's table.
 * @param message - What the peer sent.
 * @returns The answer for the peer.
 */
export function answerExchange(context: LinkContext, message: ExchangeMessage): ExchangeMessage {
  const { table, tableName, instance, region } = context;
  const peerTable = formatSourceId(message.instance, message.table);
  message.records.forEach((record) => table.put(record, peerTable));
  const after = message.confirmedTable === tableName ? message.confirmed : 0;
  const accepts = createScopeFilter(region, message.region);
  const batch = table.since(after, peerTable, accepts, MAXIMUM_BATCH_RECORDS);
  return {
    instance,
    region,
    table: tableName,
    confirmedTable: message.table,
    confirmed: message.index,
    index: batch.index,
    records: batch.records,
  };
}

function applyAnswer(options: LinkOptions, answer: ExchangeMessage): void {
  const { progress, context } = options;
  const isNewTable = answer.table !== progress.peerTableId;
  const peerTable = formatSourceId(answer.instance, answer.table);
  answer.records.forEach((record) => context.table.put(record, peerTable));
  progress.peerTableId = answer.table;
  progress.receivedIndex = answer.index;
  // A peer with a new table knows nothing that was confirmed before.
  progress.confirmedIndex = isNewTable ? 0 : answer.confirmed;
}

async function exchangeRecords(options: LinkOptions, client: PeerClient): Promise<boolean> {
  const { context, progress, peer } = options;
  const accepts = createScopeFilter(context.region, options.peerRegion);
  const peerTable = formatSourceId(peer, progress.peerTableId);
  const batch = context.table.since(
    progress.confirmedIndex,
    peerTable,
    accepts,
    MAXIMUM_BATCH_RECORDS,
  );
  const answer = await client.call(
    'exchange',
    {
      instance: context.instance,
      region: context.region,
      table: context.tableName,
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
  return (
    isFirst ||
    batch.records.length === MAXIMUM_BATCH_RECORDS ||
    answer.records.length === MAXIMUM_BATCH_RECORDS
  );
}

/**
 * Exchanges records with one peer until the signal aborts.
 *
 * @param options - The peer, this instance's table and what to call on failures.
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
        if (!hasMore) await context.table.waitForUrgent(context.exchangeMilliseconds, signal);
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
