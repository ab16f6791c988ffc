/**
 * The instances that share the window of a server: those of its data centre, which know of each other's requests
 * soonest, or all where it has none. An instance's rank is its index in the sorted names, which are sorted once
 * for all servers; an offset makes each server's first instance another one.
 */
import { createHash } from 'node:crypto';
import type { ServerEntry } from './server-entry.js';

/** An instance that may send requests to servers. */
export interface SharingInstance {
  readonly name: string;
  readonly dataCentre: string;
}

/** This instance's place among those that share a server's window. */
export interface SharedPlace {
  /** From 0; -1 if this instance isn't one of them. */
  readonly rank: number;
  readonly instances: number;
  /** Differs by server, so that one instance isn't the first at all of them. */
  readonly offset: number;
}

const LIFETIME_MILLISECONDS = 500;
const OFFSET_BYTES = 4;

export class SharingInstances {
  readonly #own: SharingInstance;

  readonly #listPeers: () => readonly SharingInstance[];

  readonly #now: () => number;

  /** By data centre, the empty one for all instances; the names are sorted. */
  #names = new Map<string, readonly string[]>();

  readonly #offsets = new Map<string, number>();

  #sortedAt = Number.NEGATIVE_INFINITY;

  constructor(
    own: SharingInstance,
    listPeers: () => readonly SharingInstance[],
    now: () => number,
  ) {
    this.#own = own;
    this.#listPeers = listPeers;
    this.#now = now;
  }

  /** Returns this instance's place among those that share the window of a server. */
  getPlace({ id, dataCentre }: ServerEntry): SharedPlace {
    if (this.#now() - this.#sortedAt >= LIFETIME_MILLISECONDS) this.#sort();
    const names = this.#names.get(dataCentre) ?? this.#names.get('') ?? [this.#own.name];
    return {
      rank: names.indexOf(this.#own.name),
      instances: names.length,
      offset: this.#getOffset(id),
    };
  }

  #sort(): void {
    const names = new Map<string, string[]>([['', []]]);
    const peers = this.#listPeers().filter(({ name }) => name !== this.#own.name);
    [this.#own, ...peers].forEach(({ name, dataCentre }) => {
      const local = names.get(dataCentre) ?? [];
      names.set(dataCentre, local);
      local.push(name);
      if (dataCentre !== '') names.get('')?.push(name);
    });
    names.forEach((list) => list.sort());
    this.#names = names;
    this.#offsets.clear();
    this.#sortedAt = this.#now();
  }

  #getOffset(id: string): number {
    const known = this.#offsets.get(id);
    if (known !== undefined) return known;
    const offset = createHash('sha1').update(id).digest().readUIntBE(0, OFFSET_BYTES);
    this.#offsets.set(id, offset);
    return offset;
  }
}
