/** What one instance knows of itself when it starts. */
import type { Address } from '../common/address.js';

/** Bounds of retries, shared by all instances. */
export interface RetryBudgetSettings {
  /** Retries allowed for each first try. */
  readonly ratio: number;
  readonly windowMilliseconds: number;
  /** Retries allowed in a window whatever the traffic. */
  readonly minimumRetries: number;
}

/** Settings of one instance. */
export interface EntrySettings {
  readonly instance: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Peers to ask when the store can't be read at the start. */
  readonly seeds: readonly Address[];
  readonly listen: {
    readonly callers: Address;
    readonly readiness: Address;
    readonly peers: Address;
    readonly addresses: Address;
  };
  readonly storeAddress: Address;
  /** From the signal to stop until the process is killed. */
  readonly stopTimeoutMilliseconds: number;
  readonly maximumAddressLifetimeSeconds: number;
  readonly retryBudget: RetryBudgetSettings;
}
