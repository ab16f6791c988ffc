/** The record in which this instance describes itself to its peers, and placeholders for theirs. */
import { z } from 'zod';
import type { EntrySettings } from '../entry/entry-settings.js';
import { PeerRecord } from '../gossip/peer-record.js';
import type { StoredObject } from '../store/object-store.js';

/** The fields of a record that peers act on at once. */
type UrgentFields = Pick<
  PeerRecord,
  | 'isReady'
  | 'isStopping'
  | 'configurationVersion'
  | 'isStoreReachable'
  | 'isCutFromServers'
  | 'lost'
  | 'suspects'
  | 'ejections'
  | 'plannerTerm'
  | 'crashes'
  | 'crashesWhileWritten'
  | 'promptParts'
>;

/** What an instance tells its peers about its state. */
export type RecordState = { readonly urgent: UrgentFields } & Pick<
  PeerRecord,
  | 'fleetRevision'
  | 'fleetEra'
  | 'loads'
  | 'accountLoads'
  | 'paces'
  | 'holdings'
  | 'leaving'
  | 'retries'
  | 'limits'
  | 'windows'
>;

/** Options of {@link OwnRecord}. */
export interface OwnRecordOptions {
  readonly settings: EntrySettings;
  /** Start time of the process in wall-clock milliseconds. */
  readonly incarnation: number;
  readonly describeState: () => RecordState;
}

/** Builds this instance's record anew at each refresh. */
export class OwnRecord {
  readonly #options: OwnRecordOptions;

  #counter = 0;

  /** The urgent fields of the last record as text, to find changes. */
  #urgentText = '';

  /** The counter at which an urgent field last changed. */
  #changeCounter = 0;

  /** The record; the same object until the next refresh. */
  current: PeerRecord;

  constructor(options: OwnRecordOptions) {
    this.#options = options;
    this.current = this.#create();
  }

  refresh(): void {
    this.current = this.#create();
  }

  #create(): PeerRecord {
    const { settings, incarnation, describeState } = this.#options;
    const { urgent, ...state } = describeState();
    this.#counter += 1;
    const urgentText = JSON.stringify(urgent);
    if (urgentText !== this.#urgentText) this.#changeCounter = this.#counter;
    this.#urgentText = urgentText;
    return {
      instance: settings.instance,
      dataCentre: settings.dataCentre,
      incarnation,
      counter: this.#counter,
      clock: Math.round(performance.now()),
      changeCounter: this.#changeCounter,
      callers: settings.listen.callers,
      peers: settings.listen.peers,
      acceptsRequests: true,
      ...urgent,
      ...state,
    };
  }
}

/** The fields under which an instance registers in the store. */
const RegisteredInstance = PeerRecord.pick({
  dataCentre: true,
  callers: true,
  peers: true,
}).strip();
export type RegisteredInstance = z.infer<typeof RegisteredInstance>;

/**
 * Creates a record for an instance that is registered in the store. Its counter is 0, so that it does
 * not prove that the instance is alive, and the first record of the instance itself replaces it.
 *
 * @param object - The store object under which the instance registers.
 * @returns The record, or undefined when the object does not describe an instance.
 */
export function createPlaceholderRecord(object: StoredObject): PeerRecord | undefined {
  const result = RegisteredInstance.safeParse(object.value);
  if (!result.success) return undefined;
  return {
    ...result.data,
    instance: object.name,
    incarnation: 0,
    counter: 0,
    isReady: false,
    isStopping: false,
    configurationVersion: -1,
    fleetRevision: 0,
    isStoreReachable: false,
    suspects: [],
    loads: {},
    paces: {},
    holdings: {},
    plannerTerm: 0,
    retries: {},
    crashes: {},
  };
}
