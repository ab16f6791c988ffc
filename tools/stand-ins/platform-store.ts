/** Stand-in of the platform's store: revisions, conditional writes, watches, lost history, outages. */
import type http from 'node:http';
import { sendJson, startStandIn, type StandInRequest, type StandInServer } from './http-server.js';

interface StoredMetadata {
  name: string;
  revision: number;
  created: number;
  finalizers: string[];
  deleting: boolean;
}

interface Stored {
  metadata: StoredMetadata;
  spec: unknown;
  status: unknown;
}

interface HistoryEntry {
  readonly kind: string;
  readonly revision: number;
  readonly object: Stored;
  readonly deleted: boolean;
}

interface Watcher {
  readonly kind: string;
  readonly since: number;
  readonly response: http.ServerResponse;
  readonly timer: NodeJS.Timeout;
}

/** What goes wrong at the store. */
export interface StoreFaults {
  /** Answers every call with this status; 0 serves. */
  status: number;
  /** Does a write and gives no answer. */
  losesWrites: boolean;
  /** Lets watches from a dropped history wait instead of answering 410. */
  hidesLostHistory: boolean;
}

const PAGE = 50;

/** The stand-in: its state may be read and written by tests directly. */
export class PlatformStore {
  readonly faults: StoreFaults = { status: 0, losesWrites: false, hidesLostHistory: false };

  readonly #objects = new Map<string, Map<string, Stored>>();

  #history: HistoryEntry[] = [];

  readonly #watchers = new Set<Watcher>();

  #revision = 1;

  #historyFrom = 0;

  #server: StandInServer | undefined;

  /** Listens on a port of loopback. */
  async listen(port: number): Promise<void> {
    this.#server = await startStandIn(port, (request) => this.#answer(request));
  }

  async close(): Promise<void> {
    this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    await this.#server?.close();
  }

  /** Writes an object as the operator or a server would. */
  put(kind: string, name: string, spec: unknown): void {
    const objects = this.#kind(kind);
    const known = objects.get(name);
    if (known && JSON.stringify(known.spec) === JSON.stringify(spec)) return;
    this.#revision += 1;
    const metadata = {
      name,
      revision: this.#revision,
      created: known?.metadata.created ?? this.#revision,
      finalizers: [],
      deleting: false,
    };
    const object = { metadata, spec, status: null };
    objects.set(name, object);
    this.#record({ kind, revision: this.#revision, object, deleted: false });
  }

  /** Deletes an object. */
  remove(kind: string, name: string): void {
    const object = this.#kind(kind).get(name);
    if (!object) return;
    this.#kind(kind).delete(name);
    this.#revision += 1;
    this.#record({ kind, revision: this.#revision, object, deleted: true });
  }

  /** Reads an object's spec. */
  read(kind: string, name: string): unknown {
    return this.#kind(kind).get(name)?.spec;
  }

  /** Forgets all changes and cuts the watches. */
  dropHistory(): void {
    this.#history = [];
    this.#historyFrom = this.#revision;
    this.#watchers.forEach(({ response, timer }) => {
      clearTimeout(timer);
      response.destroy();
    });
    this.#watchers.clear();
  }

  #kind(kind: string): Map<string, Stored> {
    const objects = this.#objects.get(kind) ?? new Map<string, Stored>();
    this.#objects.set(kind, objects);
    return objects;
  }

  #record(entry: HistoryEntry): void {
    this.#history.push(entry);
    [...this.#watchers]
      .filter(({ kind }) => kind === entry.kind)
      .forEach((watcher) => this.#finishWatch(watcher));
  }

  #eventsSince(kind: string, since: number): { object: Stored; deleted: boolean }[] {
    return this.#history
      .filter((entry) => entry.kind === kind && entry.revision > since)
      .map(({ object, deleted }) => ({ object, deleted }));
  }

  #finishWatch(watcher: Watcher): void {
    clearTimeout(watcher.timer);
    this.#watchers.delete(watcher);
    const events = this.#eventsSince(watcher.kind, watcher.since);
    sendJson(watcher.response, 200, { events, 'store-revision': this.#revision });
  }

  #answer({ method, path, query, body, response }: StandInRequest): void {
    if (this.faults.status > 0) {
      sendJson(response, this.faults.status, {});
      return;
    }
    const [, , kind = '', encoded] = path.split('/');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    if (method === 'GET') this.#get(kind, name, query, response);
    else this.#write(method, kind, name, body, response);
  }

  #get(
    kind: string,
    name: string | undefined,
    query: URLSearchParams,
    response: http.ServerResponse,
  ): void {
    if (name !== undefined) {
      const object = this.#kind(kind).get(name);
      sendJson(response, object ? 200 : 404, object ?? {});
      return;
    }
    const watch = query.get('watch');
    if (watch !== null) {
      this.#watch(kind, Number(watch), Number(query.get('wait-ms') ?? 0), response);
      return;
    }
    const after = query.get('after') ?? '';
    const names = [...this.#kind(kind).keys()].sort().filter((each) => each > after);
    const items = names.slice(0, PAGE).map((each) => this.#kind(kind).get(each));
    sendJson(response, 200, {
      items,
      'has-more': names.length > PAGE,
      'store-revision': this.#revision,
    });
  }

  #watch(kind: string, since: number, wait: number, response: http.ServerResponse): void {
    const isLost = since < this.#historyFrom;
    if (isLost && !this.faults.hidesLostHistory) {
      sendJson(response, 410, {});
      return;
    }
    const watcher: Watcher = {
      kind,
      since,
      response,
      timer: setTimeout(() => this.#finishWatch(watcher), wait),
    };
    response.on('close', () => {
      clearTimeout(watcher.timer);
      this.#watchers.delete(watcher);
    });
    this.#watchers.add(watcher);
    if (!isLost && this.#eventsSince(kind, since).length > 0) this.#finishWatch(watcher);
  }

  #write(
    method: string,
    kind: string,
    named: string | undefined,
    body: string,
    response: http.ServerResponse,
  ): void {
    const { metadata, spec } = (body === '' ? {} : JSON.parse(body)) as Partial<Stored>;
    const name = named ?? metadata?.name ?? '';
    const known = this.#kind(kind).get(name);
    if (method !== 'POST' && !known) {
      sendJson(response, 404, {});
      return;
    }
    const isStale =
      metadata?.revision !== undefined && metadata.revision !== known?.metadata.revision;
    if ((method === 'POST' && known) || isStale) {
      sendJson(response, 409, known);
      return;
    }
    if (method === 'DELETE') this.remove(kind, name);
    else this.put(kind, name, spec);
    if (this.faults.losesWrites) response.destroy();
    else sendJson(response, 200, this.#kind(kind).get(name) ?? {});
  }
}
