/**
 * Stand-in for the platform's object store: revisions, conditional writes and watches. It can
 * simulate outages, lost responses and the loss of its change history.
 */
import type http from 'node:http';
import { sendJson, startStandIn, type StandInRequest, type StandInServer } from './http-server.js';

interface StoredMetadata {
  name: string;
  revision: number;
  created: number;
  finalizers: string[];
  deleting: boolean;
}

interface StoredObject {
  metadata: StoredMetadata;
  spec: unknown;
  status: unknown;
}

interface HistoryEntry {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

interface Watcher {
  readonly kind: string;
  readonly since: number;
  readonly response: http.ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** Faults that a test can switch on. */
export interface StoreFaults {
  /** The status with which every call is answered; 0 means normal operation. */
  status: number;
  /** Accepts every call and never answers it, as behind a partition. */
  neverAnswers: boolean;
  /** Executes each write, but closes the connection without a response. */
  closesAfterWrite: boolean;
  /**
   * Keeps a watch open whose start revision is no longer in the history, instead of answering 410.
   */
  keepsExpiredWatchesOpen: boolean;
  /** The most changes in an answer to a watch, which then tells the revision of the last one that it holds. */
  maximumWatchChanges: number;
  /** How long an answer to a watch is under way, as over a full link. */
  watchLatencyMilliseconds: number;
}

/** What a store held at some time. */
export interface StoreCopy {
  readonly objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  readonly history: readonly HistoryEntry[];
  readonly revision: number;
}

const PAGE_SIZE = 50;

/** A stand-in store whose objects tests can also read and write directly. */
export class PlatformStore {
  readonly faults: StoreFaults = {
    status: 0,
    neverAnswers: false,
    closesAfterWrite: false,
    keepsExpiredWatchesOpen: false,
    maximumWatchChanges: Number.POSITIVE_INFINITY,
    watchLatencyMilliseconds: 0,
  };

  readonly #objects = new Map<string, Map<string, StoredObject>>();

  #history: HistoryEntry[] = [];

  readonly #watchers = new Set<Watcher>();

  #revision = 1;

  /** Rises each time the store comes back from a copy. */
  #era = 1;

  #historyStartRevision = 0;

  #server: StandInServer | undefined;

  /** Starts listening on a port of 127.0.0.1. */
  async listen(port: number): Promise<void> {
    this.#server = await startStandIn(port, (request) => this.#handleRequest(request));
  }

  async close(): Promise<void> {
    this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    await this.#server?.close();
  }

  /** Writes an object without any condition; an unchanged spec makes no new revision. */
  put(kind: string, name: string, spec: unknown): void {
    const objects = this.#getObjectsOfKind(kind);
    const existing = objects.get(name);
    if (existing && JSON.stringify(existing.spec) === JSON.stringify(spec)) return;
    this.#revision += 1;
    const metadata = {
      name,
      revision: this.#revision,
      created: existing?.metadata.created ?? this.#revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    objects.set(name, object);
    this.#record({ kind, revision: this.#revision, object, deleted: false });
  }

  /** Deletes an object; a missing one is ignored. */
  remove(kind: string, name: string): void {
    const object = this.#getObjectsOfKind(kind).get(name);
    if (!object) return;
    this.#getObjectsOfKind(kind).delete(name);
    this.#revision += 1;
    this.#record({ kind, revision: this.#revision, object, deleted: true });
  }

  /** Returns the spec of an object, or undefined if there is none. */
  read(kind: string, name: string): unknown {
    return this.#getObjectsOfKind(kind).get(name)?.spec;
  }

  /** Discards the change history and closes the connections of all watches. */
  dropHistory(): void {
    this.#history = [];
    this.#historyStartRevision = this.#revision;
    this.#watchers.forEach(({ response, timer }) => {
      clearTimeout(timer);
      response.destroy();
    });
    this.#watchers.clear();
  }

  /** Leaves all watches that wait now without an answer, with their connections open. */
  silenceWatches(): void {
    this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    this.#watchers.clear();
  }

  /** Copies what the store holds now. */
  copy(): StoreCopy {
    const objects = new Map([...this.#objects].map(([kind, byName]) => [kind, new Map(byName)]));
    return { objects, history: [...this.#history], revision: this.#revision };
  }

  /** Comes back from an older copy: all that was written since is gone, and revisions are given out again. */
  comeBackFrom({ objects, history, revision }: StoreCopy): void {
    this.dropHistory();
    this.#objects.clear();
    objects.forEach((byName, kind) => this.#objects.set(kind, new Map(byName)));
    this.#history = [...history];
    this.#historyStartRevision = 0;
    this.#revision = revision;
    this.#era += 1;
  }

  #send(response: http.ServerResponse, status: number, body: unknown): void {
    sendJson(response, status, body, { 'store-era': this.#era });
  }

  #getObjectsOfKind(kind: string): Map<string, StoredObject> {
    const objects = this.#objects.get(kind) ?? new Map<string, StoredObject>();
    this.#objects.set(kind, objects);
    return objects;
  }

  #record(entry: HistoryEntry): void {
    this.#history.push(entry);
    [...this.#watchers]
      .filter(({ kind }) => kind === entry.kind)
      .forEach((watcher) => this.#finishWatch(watcher));
  }

  #listEventsSince(kind: string, since: number): { object: StoredObject; deleted: boolean }[] {
    return this.#history
      .filter((entry) => entry.kind === kind && entry.revision > since)
      .map(({ object, deleted }) => ({ object, deleted }));
  }

  #finishWatch(watcher: Watcher): void {
    clearTimeout(watcher.timer);
    this.#watchers.delete(watcher);
    if (this.faults.neverAnswers) return;
    const events = this.#listEventsSince(watcher.kind, watcher.since);
    const sent = events.slice(0, this.faults.maximumWatchChanges);
    const lastSent = sent.at(-1)?.object.metadata.revision ?? this.#revision;
    const revision = sent.length < events.length ? lastSent : this.#revision;
    const answer = { events: sent, 'store-revision': revision };
    const { watchLatencyMilliseconds } = this.faults;
    if (watchLatencyMilliseconds === 0) this.#send(watcher.response, 200, answer);
    else setTimeout(() => this.#send(watcher.response, 200, answer), watchLatencyMilliseconds);
  }

  #handleRequest({ method, path, query, body, response }: StandInRequest): void {
    if (this.faults.neverAnswers) return;
    if (this.faults.status > 0) {
      this.#send(response, this.faults.status, {});
      return;
    }
    const [, , kind = '', encoded] = path.split('/');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    if (method === 'GET') this.#handleGet(kind, name, query, response);
    else this.#handleWrite(method, kind, name, body, response);
  }

  #handleGet(
    kind: string,
    name: string | undefined,
    query: URLSearchParams,
    response: http.ServerResponse,
  ): void {
    if (name !== undefined) {
      const object = this.#getObjectsOfKind(kind).get(name);
      this.#send(response, object ? 200 : 404, object ?? {});
      return;
    }
    const watch = query.get('watch');
    if (watch !== null) {
      this.#handleWatch(kind, Number(watch), Number(query.get('wait-ms') ?? 0), response);
      return;
    }
    const after = query.get('after') ?? '';
    const names = [...this.#getObjectsOfKind(kind).keys()].sort().filter((each) => each > after);
    const items = names.slice(0, PAGE_SIZE).map((each) => this.#getObjectsOfKind(kind).get(each));
    this.#send(response, 200, {
      items,
      'has-more': names.length > PAGE_SIZE,
      'store-revision': this.#revision,
    });
  }

  #handleWatch(
    kind: string,
    since: number,
    waitMilliseconds: number,
    response: http.ServerResponse,
  ): void {
    const isHistoryLost = since < this.#historyStartRevision || since > this.#revision;
    if (isHistoryLost && !this.faults.keepsExpiredWatchesOpen) {
      this.#send(response, 410, {});
      return;
    }
    const watcher: Watcher = {
      kind,
      since,
      response,
      timer: setTimeout(() => this.#finishWatch(watcher), waitMilliseconds),
    };
    response.on('close', () => {
      clearTimeout(watcher.timer);
      this.#watchers.delete(watcher);
    });
    this.#watchers.add(watcher);
    if (!isHistoryLost && this.#listEventsSince(kind, since).length > 0) this.#finishWatch(watcher);
  }

  #handleWrite(
    method: string,
    kind: string,
    nameInPath: string | undefined,
    body: string,
    response: http.ServerResponse,
  ): void {
    const { metadata, spec } = (body === '' ? {} : JSON.parse(body)) as Partial<StoredObject>;
    const name = nameInPath ?? metadata?.name ?? '';
    const existing = this.#getObjectsOfKind(kind).get(name);
    if (method !== 'POST' && !existing) {
      this.#send(response, 404, {});
      return;
    }
    const isStale =
      metadata?.revision !== undefined && metadata.revision !== existing?.metadata.revision;
    if ((method === 'POST' && existing) || isStale) {
      this.#send(response, 409, existing);
      return;
    }
    if (method === 'DELETE') this.remove(kind, name);
    else this.put(kind, name, spec);
    if (this.faults.closesAfterWrite) response.destroy();
    else this.#send(response, 200, this.#getObjectsOfKind(kind).get(name) ?? {});
  }
}
