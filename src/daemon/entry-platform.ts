/** What an entry instance asks of the platform that it runs on; an adapter provides it. */
import type { Either } from 'purify-ts';
import type { Issue } from '../common/issue.js';
import type { ProtocolAdapter } from '../entry/protocol-adapter.js';
import type { ServingConfiguration } from '../entry/serving-configuration.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import type { ObjectStore, StoredObject } from '../store/object-store.js';
import type { Address } from '../common/address.js';

/** Addresses for callers and how long to keep them. */
export interface CallerAddresses {
  readonly addresses: readonly Address[];
  readonly lifetimeSeconds: number;
}

/** What the small servers beside the callers' interface answer with. */
export interface PlatformEndpointSource {
  readonly isReady: () => boolean;
  /** Undefined when the instance knows no address to offer. */
  readonly addresses: () => CallerAddresses | undefined;
  /** The metrics page. */
  readonly metrics: () => Promise<string>;
}

export interface EntryPlatform {
  readonly store: ObjectStore;
  readonly protocol: ProtocolAdapter;
  readonly configurationKind: string;
  readonly configurationName: string;
  readonly serverKind: string;
  readonly parseConfiguration: (value: unknown) => Either<Issue[], ServingConfiguration>;
  readonly parseServer: (object: StoredObject) => ServerEntry | undefined;
  /** Starts the servers for readiness and for addresses; returns what closes them. */
  readonly startEndpoints: (source: PlatformEndpointSource) => Promise<() => void>;
}
