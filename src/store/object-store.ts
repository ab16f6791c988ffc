/** The versioned object store: what the product asks of it, whatever it speaks. */

/** One stored object. */
export interface StoredObject {
  readonly name: string;
  /** The store's revision at the object's last change. */
  readonly revision: number;
  readonly value: unknown;
}

/** One change of an object. */
export interface ObjectChange {
  readonly object: StoredObject;
  readonly isDeleted: boolean;
}

/** The store can't be reached, is overloaded or answers nonsense; a read may be tried again. */
export interface StoreUnavailable {
  readonly kind: 'unavailable';
  readonly message: string;
}

export type ListObjectsResult =
  | {
      readonly kind: 'listed';
      readonly objects: readonly StoredObject[];
      readonly revision: number;
    }
  | StoreUnavailable;

export type WatchObjectsResult =
  | {
      readonly kind: 'changed';
      readonly changes: readonly ObjectChange[];
      readonly revision: number;
    }
  | { readonly kind: 'historyLost' }
  | StoreUnavailable;

export type ReadObjectResult =
  | { readonly kind: 'found'; readonly object: StoredObject }
  | { readonly kind: 'absent' }
  | StoreUnavailable;

/** `unavailable` proves that nothing was written; `unknown` that it may be, or may be yet. */
export type WriteObjectResult =
  | { readonly kind: 'written'; readonly object: StoredObject }
  | { readonly kind: 'conflict'; readonly current: StoredObject | undefined }
  | { readonly kind: 'absent' }
  | StoreUnavailable
  | { readonly kind: 'unknown'; readonly message: string };

/** What a watch waits for. */
export interface WatchObjectsOptions {
  /** Only changes after this revision. */
  readonly since: number;
  readonly waitMilliseconds: number;
  readonly signal: AbortSignal;
}

export interface ObjectStore {
  /** Reads every object of a kind. */
  readonly list: (objectKind: string) => Promise<ListObjectsResult>;
  /** Waits for changes of a kind. */
  readonly watch: (objectKind: string, options: WatchObjectsOptions) => Promise<WatchObjectsResult>;
  readonly read: (objectKind: string, name: string) => Promise<ReadObjectResult>;
  /** Creates an object that must not exist yet. */
  readonly create: (objectKind: string, name: string, value: unknown) => Promise<WriteObjectResult>;
  /** Replaces an object that must still have the given revision. */
  readonly replace: (
    objectKind: string,
    name: string,
    change: { readonly value: unknown; readonly revision: number },
  ) => Promise<WriteObjectResult>;
  /** Deletes an object, whatever its revision. */
  readonly remove: (objectKind: string, name: string) => Promise<WriteObjectResult>;
  /** Calls made since the start. */
  readonly callCount: () => number;
}
