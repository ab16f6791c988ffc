/** The interface between an entry instance and the platform it runs on, implemented by an adapter. */
import type { Either } from 'purify-ts';
import type { Issue } from '../common/issue.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import type { ServingConfiguration } from '../entry/serving-configuration.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import type { Address } from '../common/address.js';

/** Addresses that callers may use, and how long they may cache them. */
export interface CallerAddresses {
  readonly addresses: readonly Address[];
  readonly lifetimeSeconds: number;
}

/** What the platform's endpoints for readiness, addresses and metrics respond with. */
export interface PlatformEndpointSource {
  readonly isReady: () => boolean;
  /** Returns undefined when no instance is ready. */
  readonly addresses: () => CallerAddresses | undefined;
  /** Renders the metrics in the text format of Prometheus. */
  readonly metrics: () => Promise<string>;
}

/** The services and formats of one platform. */
export interface EntryPlatform {
  readonly store: ObjectStore;
  readonly protocol: ProtocolAdapter;
  /** Kind of the store object that holds the configuration. */
  readonly configurationKind: string;
  readonly configurationName: string;
  /** Kind of the store objects under which backend servers register. */
  readonly serverKind: string;
  readonly parseConfiguration: (value: unknown) => Either<Issue[], ServingConfiguration>;
  /** Returns undefined for an object that describes no usable server. */
  readonly parseServer: (object: StoredObject) => ServerEntry | undefined;
  /** Starts the endpoints; resolves to a function that closes them. */
  readonly startEndpoints: (source: PlatformEndpointSource) => Promise<() => void>;
}
