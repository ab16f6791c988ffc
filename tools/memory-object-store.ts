/** An object store in memory for tests, with conditional writes but without watches. */
import type { ObjectStore, StoredObject } from '../src/store/object-store.js';

/** A store, and direct access to its objects. */
export interface MemoryObjectStore {
  readonly store: ObjectStore;
  /** Writes an object, whatever its revision, as another build would. */
  readonly put: (name: string, value: unknown) => StoredObject;
  readonly get: (name: string) => unknown;
}

/**
 * Creates an empty store. Kinds are not told apart.
 *
 * @returns The store.
 */
export function createMemoryObjectStore(): MemoryObjectStore {
  const objects = new Map<string, StoredObject>();
  let revision = 0;
  const put = (name: string, value: unknown): StoredObject => {
    revision += 1;
    const object = { name, value, revision };
    objects.set(name, object);
    return object;
  };
  const store: ObjectStore = {
    list: async () => ({ kind: 'listed', objects: [...objects.values()], revision }),
    watch: async () => ({ kind: 'unavailable', message: 'no watches' }),
    read: async (_, name) => {
      const object = objects.get(name);
      return object ? { kind: 'found', object } : { kind: 'absent' };
    },
    create: async (_, name, value) => {
      const current = objects.get(name);
      if (current) return { kind: 'conflict', current };
      return { kind: 'written', object: put(name, value) };
    },
    replace: async (_, name, change) => {
      const current = objects.get(name);
      if (!current) return { kind: 'absent' };
      if (current.revision !== change.revision) return { kind: 'conflict', current };
      return { kind: 'written', object: put(name, change.value) };
    },
    remove: async (_, name) => {
      objects.delete(name);
      return { kind: 'absent' };
    },
    callCount: () => revision,
  };
  return { store, put, get: (name) => objects.get(name)?.value };
}

/** Wraps a store so that values are written as JSON, as the platform's client does; a write that can't be fails. */
export function createJsonStore(store: ObjectStore): ObjectStore {
  return {
    ...store,
    replace: async (kind, name, change) => {
      try {
        const value: unknown = JSON.parse(JSON.stringify(change.value));
        return await store.replace(kind, name, { ...change, value });
      } catch (error) {
        return { kind: 'unknown', message: String(error) };
      }
    },
  };
}
