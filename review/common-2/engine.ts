/** Starts engines as processes of their own, and keeps their entries in the store as the platform does. */
import { fork, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import type { EngineMessage, EngineOptions } from './engine-main.js';
import { note, type Group } from './group.js';

const PROGRAM = fileURLToPath(new URL('./engine-main.js', import.meta.url));
const HEARTBEAT_MILLISECONDS = 1200;
/** An entry is removed after so many heartbeats of silence. */
const HEARTBEATS_TO_LAPSE = 3;

/** One process of an engine. */
export class EngineProcess {
  readonly options: EngineOptions;

  readonly #group: Group;

  readonly #zone: string;

  #child: ChildProcess | undefined;

  #layers: { from: number; to: number; version: number } | null = null;

  #beat: NodeJS.Timeout | undefined;

  /** When its entry was last renewed, on the monotonic clock. */
  beatAt = 0;

  readonly #onMessage: (message: EngineMessage) => void;

  constructor(
    group: Group,
    zone: string,
    options: EngineOptions,
    onMessage: (message: EngineMessage) => void,
  ) {
    this.#onMessage = onMessage;
    this.#group = group;
    this.#zone = zone;
    this.options = options;
  }

  /** Starts the process and registers it. */
  async start(): Promise<void> {
    const child = fork(PROGRAM, [JSON.stringify(this.options)], { stdio: 'ignore' });
    this.#child = child;
    this.#group.onEnd(() => {
      clearInterval(this.#beat);
      child.kill('SIGKILL');
    });
    await new Promise<void>((resolve) => {
      child.on('message', (message) => {
        const told = message as EngineMessage;
        if (told.kind === 'listening') resolve();
        if (told.kind === 'layers') {
          this.#layers = { from: told.from, to: told.to, version: 1 };
          this.#write();
        }
        this.#onMessage(told);
      });
    });
    this.#write();
    this.#beat = setInterval(() => this.#write(), HEARTBEAT_MILLISECONDS);
  }

  /** Kills the process; its entry is removed after three heartbeats of silence. */
  async kill(): Promise<void> {
    const { id } = this.options;
    clearInterval(this.#beat);
    const lapseAt = this.beatAt + HEARTBEATS_TO_LAPSE * HEARTBEAT_MILLISECONDS;
    setTimeout(
      () => {
        note(`entry of ${id} removed after three heartbeats`);
        this.#group.store.remove('servers', id);
      },
      Math.max(0, lapseAt - performance.now()),
    ).unref();
    this.#child?.kill('SIGKILL');
    if (this.#child) await once(this.#child, 'exit');
    note(`${id} crashed`);
  }

  #write(): void {
    const { id, port } = this.options;
    this.beatAt = performance.now();
    this.#group.store.put('servers', id, {
      service: 'drafter',
      address: `127.0.0.1:${this.#group.nearPorts.get(port) ?? port}`,
      zone: this.#zone,
      version: 'v1',
      slots: 134,
      state: 'ready',
      'cold-left-ms': 0,
      // A heartbeat alone, which changes `seq`, doesn't change the entry.
      seq: 1,
      phase: 'both',
      kind: 'card',
      layers: this.#layers,
    });
  }
}
