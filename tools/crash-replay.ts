/**
 * Replays, over the blame records of several instances, requests that end each engine which begins to run
 * them, among sound streams that are sent on from an ended engine to another one.
 */
import type { RequestContent } from '../src/evidence/blocked-parts.js';
import { CrashBlame } from '../src/evidence/crash-blame.js';
import { CrashRecords } from '../src/evidence/crash-records.js';
import { PromptPartRecords } from '../src/evidence/prompt-part-records.js';
import { createSilentLogger } from '../src/telemetry/log.js';
import { createRandom, type Random } from './random.js';

const REPLAYED_MILLISECONDS = 30_000;
/** Before, sound requests alone run, so that most parts have been written on. */
const GUILTY_FROM_MILLISECONDS = 5000;
const MAXIMUM_ATTEMPTS = 4;
const MAXIMUM_ENDS_AT_BEGIN = 2;
const WRITTEN_AFTER_MILLISECONDS = 300;
const SHORTEST_STREAM_MILLISECONDS = 1000;
const LONGEST_STREAM_MILLISECONDS = 5000;

/** A request that ends engines, and the load that it comes with. */
export interface CrashScenario {
  readonly seed: number;
  readonly instances: number;
  readonly engines: number;
  readonly soundPerSecond: number;
  readonly guiltyPerSecond: number;
  /** What ends engines: one request that comes again, or a part of prompts in requests of which no two are alike. */
  readonly guilt: 'content' | 'part';
  /** How many parts all requests choose their first part from. */
  readonly sharedParts: number;
  /** From sending to the first event, at an engine without other requests. */
  readonly beginMilliseconds: number;
  /** What each other request at the engine adds to that. */
  readonly beginPerRequestMilliseconds: number;
  readonly restartMilliseconds: number;
  readonly newsMilliseconds: number;
}

interface Stream {
  readonly content: RequestContent;
  readonly instance: number;
  readonly isGuilty: boolean;
  attempts: number;
  endsAtBegin: number;
  isWritten: boolean;
  isDone: boolean;
}

interface Engine {
  processKey: string;
  isRunning: boolean;
  readonly streams: Set<Stream>;
}

/** One replay of a scenario; the same scenario always takes the same course. */
export class CrashReplay {
  readonly #scenario: CrashScenario;

  readonly #random: Random;

  readonly #clock = { now: 0 };

  readonly #queue: { readonly at: number; readonly run: () => void }[] = [];

  readonly #engines: Engine[];

  readonly #blames: CrashBlame[];

  #streamCount = 0;

  #processCount = 0;

  /** When a request that ends engines was sent to one, in milliseconds from the start. */
  readonly guiltySends: number[] = [];

  /** When engines ended, in milliseconds from the start. */
  readonly ends: number[] = [];

  /** How many other requests were served. */
  soundServed = 0;

  constructor(scenario: CrashScenario) {
    this.#scenario = scenario;
    this.#random = createRandom(scenario.seed);
    this.#engines = Array.from({ length: scenario.engines }, () => ({
      processKey: this.#createProcessKey(),
      isRunning: true,
      streams: new Set<Stream>(),
    }));
    this.#blames = Array.from({ length: scenario.instances }, (_, index) =>
      this.#createBlame(index),
    );
  }

  run(): void {
    this.#arrive('sound', this.#scenario.soundPerSecond);
    this.#after(GUILTY_FROM_MILLISECONDS, () =>
      this.#arrive('guilty', this.#scenario.guiltyPerSecond),
    );
    for (;;) {
      this.#queue.sort((one, two) => one.at - two.at);
      const next = this.#queue.shift();
      if (!next || next.at > REPLAYED_MILLISECONDS) return;
      this.#clock.now = next.at;
      next.run();
    }
  }

  #createBlame(index: number): CrashBlame {
    const now = (): number => this.#clock.now;
    const log = createSilentLogger();
    const promptParts = new PromptPartRecords({
      countInstances: () => this.#scenario.instances,
      onNews: () => this.#tellPeers(index),
      random: () => this.#random.next(),
      log,
      now,
    });
    const contents = new CrashRecords({
      isExplained: (processKey) => promptParts.explains(processKey),
      log,
      now,
    });
    return new CrashBlame({ contents, promptParts, now });
  }

  #tellPeers(index: number): void {
    this.#after(this.#random.next() * this.#scenario.newsMilliseconds, () => {
      const { contents, promptParts } = this.#blames[index] ?? {};
      if (!contents || !promptParts) return;
      const { reported } = promptParts;
      const crashes = contents.reported;
      const { now } = this.#clock;
      this.#blames.forEach((blame, other) => {
        if (other === index) return;
        blame.contents.merge(crashes);
        blame.promptParts.merge(reported, now);
      });
    });
  }

  #after(milliseconds: number, run: () => void): void {
    this.#queue.push({ at: this.#clock.now + milliseconds, run });
  }

  #createProcessKey(): string {
    this.#processCount += 1;
    return `process-${this.#processCount}`;
  }

  #arrive(kind: 'sound' | 'guilty', perSecond: number): void {
    if (perSecond === 0) return;
    this.#after((2000 * this.#random.next()) / perSecond, () => {
      this.#admit(kind === 'guilty');
      this.#arrive(kind, perSecond);
    });
  }

  #admit(isGuilty: boolean): void {
    this.#streamCount += 1;
    const part = `part-${Math.floor(this.#random.next() * this.#scenario.sharedParts)}`;
    const content = isGuilty
      ? this.#createGuiltyContent(part)
      : { hash: `sound-${this.#streamCount}`, sharedParts: [part] };
    const instance = Math.floor(this.#random.next() * this.#scenario.instances);
    const admission = this.#blames[instance]?.admit(content);
    if (admission === 'refuse') return;
    const stream: Stream = {
      content,
      instance,
      isGuilty,
      attempts: 0,
      endsAtBegin: 0,
      isWritten: false,
      isDone: false,
    };
    if (this.#send(stream) && admission === 'try') this.#blames[instance]?.startTrial(content);
  }

  #createGuiltyContent(part: string): RequestContent {
    return this.#scenario.guilt === 'content'
      ? { hash: 'guilty', sharedParts: ['part-0'] }
      : { hash: `guilty-${this.#streamCount}`, sharedParts: [part, 'guilty-part'] };
  }

  /** @returns Whether there is an engine to send it to. */
  #send(stream: Stream): boolean {
    const running = this.#engines.filter(({ isRunning }) => isRunning);
    const [engine] = running.sort((one, two) => one.streams.size - two.streams.size);
    if (!engine) return false;
    const { processKey } = engine;
    if (stream.isGuilty) this.guiltySends.push(this.#clock.now);
    stream.attempts += 1;
    engine.streams.add(stream);
    const { beginMilliseconds, beginPerRequestMilliseconds } = this.#scenario;
    const delay = beginMilliseconds + beginPerRequestMilliseconds * (engine.streams.size - 1);
    this.#after(delay * (0.5 + this.#random.next()), () => {
      if (!engine.isRunning || engine.processKey !== processKey) return;
      if (stream.isGuilty) this.#end(engine);
      else this.#write(stream, engine, processKey);
    });
    return true;
  }

  #write(stream: Stream, engine: Engine, processKey: string): void {
    const beganAt = this.#clock.now;
    const ifRunning =
      (run: () => void): (() => void) =>
      () => {
        if (engine.isRunning && engine.processKey === processKey) run();
      };
    const blame = this.#blames[stream.instance];
    this.#after(
      WRITTEN_AFTER_MILLISECONDS,
      ifRunning(() => {
        if (!stream.isWritten) blame?.recordWritten(stream.content, beganAt);
        stream.isWritten = true;
      }),
    );
    this.#after(
      SHORTEST_STREAM_MILLISECONDS +
        (LONGEST_STREAM_MILLISECONDS - SHORTEST_STREAM_MILLISECONDS) * this.#random.next(),
      ifRunning(() => {
        engine.streams.delete(stream);
        blame?.recordCompletion(stream.content);
        this.soundServed += 1;
      }),
    );
  }

  #end(engine: Engine): void {
    const { processKey } = engine;
    this.ends.push(this.#clock.now);
    engine.isRunning = false;
    const streams = [...engine.streams];
    engine.streams.clear();
    const instances = new Set(streams.map(({ instance }) => instance));
    instances.forEach((instance) => {
      this.#after(1 + 10 * this.#random.next(), () => {
        const own = streams.filter((stream) => stream.instance === instance);
        this.#handleEnd(instance, processKey, own);
      });
    });
    this.#after(this.#scenario.restartMilliseconds, () => {
      engine.processKey = this.#createProcessKey();
      engine.isRunning = true;
    });
  }

  #handleEnd(instance: number, processKey: string, streams: readonly Stream[]): void {
    const blame = this.#blames[instance];
    if (!blame) return;
    streams.forEach(({ content, isWritten }) =>
      blame.recordFailure({ content, wasWritten: isWritten }, processKey),
    );
    blame.recordEndedServer(processKey);
    this.#tellPeers(instance);
    streams.forEach((stream) => {
      if (!stream.isWritten) stream.endsAtBegin += 1;
      const isHarmless =
        !blame.isBlocked(stream.content) && stream.endsAtBegin < MAXIMUM_ENDS_AT_BEGIN;
      if (isHarmless && stream.attempts < MAXIMUM_ATTEMPTS) this.#send(stream);
    });
  }
}
