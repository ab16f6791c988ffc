/**
 * A small store of the platform for drills: it may go away for a moment and come back from an older copy, with
 * revisions that go back and a higher `Store-Era`. Otherwise it keeps all that it has acknowledged.
 */
import http from 'node:http';

interface StoredObject {
  readonly metadata: { readonly name: string; readonly revision: number };
  readonly spec: unknown;
}

interface Event {
  readonly kind: string;
  readonly revision: number;
  readonly object: StoredObject;
  readonly deleted: boolean;
}

interface Content {
  readonly objects: Map<string, Map<string, StoredObject>>;
  readonly events: Event[];
  readonly revision: number;
}

interface Watcher {
  readonly kind: string;
  readonly since: number;
  readonly response: http.ServerResponse;
  readonly timer: NodeJS.Timeout;
}

const PAGE_SIZE = 500;

function copyContent({ objects, events, revision }: Content): Content {
  const copied = [...objects].map(([kind, byName]) => [kind, new Map(byName)] as const);
  return { objects: new Map(copied), events: [...events], revision };
}

async function readBody(request: http.IncomingMessage): Promise<string> {
  let body = '';
  request.setEncoding('utf8');
  for await (const part of request) body += part as string;
  return body;
}

export class DrillStore {
  #content: Content = { objects: new Map(), events: [], revision: 1 };

  #era = 1;

  #isAway = false;

  readonly #watchers = new Set<Watcher>();

  readonly #server = http.createServer((request, response) => {
    if (this.#isAway) response.destroy();
    else this.#serve(request, response).catch(() => response.destroy());
  });

  get revision(): number {
    return this.#content.revision;
  }

  async listen(port: number): Promise<void> {
    this.#server.keepAliveTimeout = 60_000;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, '127.0.0.1', resolve);
    });
  }

  async close(): Promise<void> {
    this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeAllConnections();
    });
  }

  /** Makes a copy of what the store holds now. */
  copy(): Content {
    return copyContent(this.#content);
  }

  /** Breaks all connections, and every later one, until it comes back. */
  goAway(): void {
    this.#isAway = true;
    this.#watchers.forEach(({ timer }) => clearTimeout(timer));
    this.#watchers.clear();
    this.#server.closeAllConnections();
  }

  /** Comes back from a copy. */
  comeBack(copy: Content): void {
    this.#content = copyContent(copy);
    this.#era += 1;
    this.#isAway = false;
  }

  /** Writes an object without a condition; one that doesn't change makes no new revision. */
  put(kind: string, name: string, spec: unknown): void {
    const existing = this.#find(kind, name);
    if (existing && JSON.stringify(existing.spec) === JSON.stringify(spec)) return;
    const revision = this.#content.revision + 1;
    const object = { metadata: { name, revision }, spec };
    const byName = this.#content.objects.get(kind) ?? new Map<string, StoredObject>();
    this.#content.objects.set(kind, byName.set(name, object));
    this.#record({ kind, revision, object, deleted: false });
  }

  /** Deletes an object, if there is one. */
  remove(kind: string, name: string): void {
    const object = this.#find(kind, name);
    if (!object) return;
    this.#content.objects.get(kind)?.delete(name);
    this.#record({ kind, revision: this.#content.revision + 1, object, deleted: true });
  }

  #find(kind: string, name: string): StoredObject | undefined {
    return this.#content.objects.get(kind)?.get(name);
  }

  #record(event: Event): void {
    const { objects, events } = this.#content;
    this.#content = { objects, events: [...events, event], revision: event.revision };
    [...this.#watchers]
      .filter(({ kind }) => kind === event.kind)
      .forEach((watcher) => this.#finish(watcher));
  }

  #send(response: http.ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': this.#era });
    response.end(JSON.stringify(body));
  }

  #finish(watcher: Watcher): void {
    clearTimeout(watcher.timer);
    this.#watchers.delete(watcher);
    const events = this.#content.events
      .filter(({ kind, revision }) => kind === watcher.kind && revision > watcher.since)
      .map(({ object, deleted }) => ({ object, deleted }));
    this.#send(watcher.response, 200, { events, 'store-revision': this.#content.revision });
  }

  async #serve(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store');
    const body = await readBody(request);
    const [, , kind = '', encoded] = url.pathname.split('/');
    const name = encoded === undefined ? undefined : decodeURIComponent(encoded);
    if (request.method !== 'GET') this.#write(request.method ?? '', kind, name, body, response);
    else if (name !== undefined) {
      const object = this.#find(kind, name);
      this.#send(response, object ? 200 : 404, object ?? {});
    } else if (url.searchParams.has('watch')) {
      const since = Number(url.searchParams.get('watch'));
      this.#watch(kind, since, Number(url.searchParams.get('wait-ms') ?? 0), response);
    } else this.#list(kind, url.searchParams.get('after') ?? '', response);
  }

  #list(kind: string, after: string, response: http.ServerResponse): void {
    const byName = this.#content.objects.get(kind) ?? new Map<string, StoredObject>();
    const names = [...byName.keys()].sort().filter((each) => each > after);
    this.#send(response, 200, {
      items: names.slice(0, PAGE_SIZE).map((each) => byName.get(each)),
      'has-more': names.length > PAGE_SIZE,
      'store-revision': this.#content.revision,
    });
  }

  #watch(kind: string, since: number, waitMs: number, response: http.ServerResponse): void {
    if (since > this.#content.revision) {
      this.#send(response, 410, {});
      return;
    }
    const watcher: Watcher = {
      kind,
      since,
      response,
      timer: setTimeout(() => this.#finish(watcher), waitMs),
    };
    response.on('close', () => {
      clearTimeout(watcher.timer);
      this.#watchers.delete(watcher);
    });
    this.#watchers.add(watcher);
    const hasNews = this.#content.events.some(
      (event) => event.kind === kind && event.revision > since,
    );
    if (hasNews) this.#finish(watcher);
  }

  #write(
    method: string,
    kind: string,
    nameInPath: string | undefined,
    body: string,
    response: http.ServerResponse,
  ): void {
    const { metadata, spec } = (body === '' ? {} : JSON.parse(body)) as Partial<StoredObject>;
    const name = nameInPath ?? metadata?.name ?? '';
    const existing = this.#find(kind, name);
    const isStale =
      metadata?.revision !== undefined && metadata.revision !== existing?.metadata.revision;
    if (method !== 'POST' && !existing) this.#send(response, 404, {});
    else if ((method === 'POST' && existing) || isStale) this.#send(response, 409, existing);
    else {
      if (method === 'DELETE') this.remove(kind, name);
      else this.put(kind, name, spec);
      this.#send(response, 200, this.#find(kind, name) ?? {});
    }
  }
}
