/** Settings that an instance reads when it starts. */
import type { Address } from '../common/address.js';

/** The retry budget that all instances share. */
export interface RetryBudgetSettings {
  /** Retries allowed per first attempt. */
  readonly ratio: number;
  /** The length of the sliding window over which attempts are counted. */
  readonly windowMilliseconds: number;
  /** Retries allowed in a window in addition to the ratio, even without traffic. */
  readonly minimumRetries: number;
}

/** Settings of one instance. */
export interface EntrySettings {
  readonly instance: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Peers to contact when the store cannot be read at startup. */
  readonly seeds: readonly Address[];
  /** Where the instance listens, by kind of client. */
  readonly listen: {
    readonly callers: Address;
    readonly readiness: Address;
    readonly peers: Address;
    readonly addresses: Address;
  };
  readonly storeAddress: Address;
  /** How often backend servers renew their entries in the store. */
  readonly serverHeartbeatMilliseconds: number;
  /** The time after its acknowledgement at which a configuration must be in force everywhere. */
  readonly changeBoundMilliseconds: number;
  /** How long after a disturbance of its connections an instance must know again what the store holds. */
  readonly contactMilliseconds: number;
  /** The time from the stop signal until the platform kills the process. */
  readonly stopTimeoutMilliseconds: number;
  /** The longest time for which callers may keep the addresses that they are given. */
  readonly maximumAddressLifetimeSeconds: number;
  readonly retryBudget: RetryBudgetSettings;
  /** The memory that the process may use; it is killed beyond that. */
  readonly memoryMebibytes: number;
}
