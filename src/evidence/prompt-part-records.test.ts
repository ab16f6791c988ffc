import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createRandom } from '../../tools/random.js';
import { createSilentLogger } from '../telemetry/log.js';
import type { RequestContent } from './blocked-parts.js';
import { PromptPartRecords } from './prompt-part-records.js';

const STEP_MILLISECONDS = 20;
const DURATION_MILLISECONDS = 60_000;
const SETTLED_MILLISECONDS = 6000;
const CONTACT_MILLISECONDS = 3000;
const MAXIMUM_LATER_RUNS = 3;
/** From sending until an engine writes, and from then until it is known to have lived on. */
const READING_MILLISECONDS = 80;
const WRITTEN_MILLISECONDS = 300;
const ENGINE_RESTART_MILLISECONDS = 3500;
const DETECTION_MILLISECONDS = 20;
const SHARED_PARTS = 6;
/** How many peers hear of news at once. */
const URGENT_FANOUT = 4;

/** One random history: a fleet, its callers, and what goes wrong. */
interface History {
  readonly instances: number;
  readonly engines: number;
  readonly soundPerSecond: number;
  /** Requests with the guilty part per second; 0 for a history without it. */
  readonly guiltyPerSecond: number;
  /** Whether requests with the guilty part have another part that sound ones have rarely. */
  readonly hasCompanion: boolean;
  /** Whether engines wrote on the part before it began to end them. */
  readonly turnsGuilty: boolean;
  /** When engines fail for other reasons, and which share of them. */
  readonly failures: readonly { readonly at: number; readonly share: number }[];
  readonly seed: number;
}

interface Run {
  readonly content: RequestContent;
  readonly instance: number;
  readonly sentAt: number;
  readonly isGuilty: boolean;
}

interface Engine {
  downUntil: number;
  starts: number;
  runs: Run[];
}

/** What came of a history. */
interface Observations {
  readonly endsOfPart: number[];
  readonly guiltyRuns: number[];
  readonly sound: { readonly at: number; readonly isBlocked: boolean }[];
}

function play(history: History): Observations {
  const { next: random } = createRandom(history.seed);
  const pick = (count: number): number => Math.floor(random() * count);
  const clock = { now: 1_000_000 };
  const start = clock.now;
  const names = Array.from({ length: history.instances }, (_, index) => `entry-${index}`);
  const later: { readonly at: number; readonly act: () => void }[] = [];
  const records: PromptPartRecords[] = names.map(
    (_, index) =>
      new PromptPartRecords({
        countInstances: () => names.length,
        onNews: () => tellPeers(index, URGENT_FANOUT),
        log: createSilentLogger(),
        now: () => clock.now,
        random,
      }),
  );
  function tellPeers(from: number, count: number): void {
    const told = Array.from({ length: count }, () => records[pick(records.length)]);
    const act = (): void => {
      const { reported } = records[from] as PromptPartRecords;
      told.forEach((record) => record?.merge(reported, clock.now));
    };
    later.push({ at: clock.now + DETECTION_MILLISECONDS, act });
  }
  const engines: Engine[] = Array.from({ length: history.engines }, () => ({
    downUntil: 0,
    starts: 0,
    runs: [],
  }));
  const observed: Observations = { endsOfPart: [], guiltyRuns: [], sound: [] };
  const guiltyFrom = history.turnsGuilty ? start + 10_000 : start;
  let requests = 0;

  const end = (engine: Engine, index: number): void => {
    const processKey = `engine-${index}/${engine.starts}`;
    const beginning = engine.runs;
    beginning.forEach(({ instance, content }) =>
      later.push({
        at: clock.now + DETECTION_MILLISECONDS,
        act: () => records[instance]?.recordEnd(processKey, content),
      }),
    );
    Object.assign(engine, {
      downUntil: clock.now + ENGINE_RESTART_MILLISECONDS,
      starts: engine.starts + 1,
      runs: [],
    });
  };
  const send = (parts: string[], isGuilty: boolean): void => {
    const up = engines.filter(({ downUntil }) => downUntil <= clock.now);
    const engine = up[pick(up.length)];
    requests += 1;
    const content = { hash: `content-${requests}`, sharedParts: parts };
    const instance = pick(names.length);
    const record = records[instance];
    if (!record) return;
    const wasBlocked = record.isBlocked(content);
    const isTrial = wasBlocked && record.isTrialDue(content) && engine !== undefined;
    const isBlocked = wasBlocked && !isTrial;
    if (!isGuilty) observed.sound.push({ at: clock.now, isBlocked });
    if (isBlocked) {
      record.recordRefusal(content);
      return;
    }
    if (!engine) return;
    if (isTrial) record.startTrial(content);
    if (isGuilty) observed.guiltyRuns.push(clock.now);
    engine.runs.push({ content, instance, sentAt: clock.now, isGuilty });
  };
  const advance = (engine: Engine, index: number): void => {
    const due = engine.runs.filter(({ sentAt }) => clock.now >= sentAt + READING_MILLISECONDS);
    if (due.some(({ isGuilty }) => isGuilty && clock.now >= guiltyFrom)) {
      observed.endsOfPart.push(clock.now);
      end(engine, index);
      return;
    }
    const written = due.filter(
      ({ sentAt }) => clock.now >= sentAt + READING_MILLISECONDS + WRITTEN_MILLISECONDS,
    );
    written.forEach(({ content, instance, sentAt }) =>
      records[instance]?.recordWritten(content, sentAt + READING_MILLISECONDS),
    );
    engine.runs = engine.runs.filter((run) => !written.includes(run));
  };
  const happens = (perSecond: number): boolean => random() < (perSecond * STEP_MILLISECONDS) / 1000;

  let failures = [...history.failures];
  for (; clock.now < start + DURATION_MILLISECONDS; clock.now += STEP_MILLISECONDS) {
    failures = failures.filter(({ at, share }) => {
      if (clock.now < start + at) return true;
      engines.forEach((engine, index) => {
        if (engine.downUntil <= clock.now && random() < share) end(engine, index);
      });
      return false;
    });
    engines.forEach(advance);
    const due = later.filter(({ at }) => at <= clock.now);
    due.forEach(({ act }) => act());
    due.forEach((entry) => later.splice(later.indexOf(entry), 1));
    if (happens(history.soundPerSecond)) {
      const rare = history.hasCompanion && random() < 0.05 ? ['companion'] : [];
      send(['first', `shared-${pick(SHARED_PARTS)}`, ...rare], false);
    }
    if (happens(history.guiltyPerSecond))
      send(['first', 'bad', ...(history.hasCompanion ? ['companion'] : [])], true);
    // Each instance hears of one other about three times a second.
    if ((clock.now - start) % 300 === 0) {
      records.forEach((_, index) => tellPeers(index, 1));
    }
  }
  return observed;
}

const histories = fc.record({
  instances: fc.integer({ min: 1, max: 9 }),
  engines: fc.integer({ min: 3, max: 20 }),
  soundPerSecond: fc.constantFrom(5, 15, 40),
  guiltyPerSecond: fc.constantFrom(0, 0.3, 1, 3),
  hasCompanion: fc.boolean(),
  turnsGuilty: fc.boolean(),
  failures: fc.array(
    fc.record({
      at: fc.integer({ min: 2000, max: 40_000 }),
      share: fc.constantFrom(0.1, 0.4, 1),
    }),
    { maxLength: 3 },
  ),
  seed: fc.integer(),
});

test('prompt part that ends engines: in random histories it is found within the bound, and no sound request stays blocked', () => {
  fc.assert(
    fc.property(histories, (history) => {
      const { endsOfPart, guiltyRuns, sound } = play(history);
      const fifthEnd = endsOfPart[4] ?? Number.POSITIVE_INFINITY;
      const later = guiltyRuns.filter((at) => at > fifthEnd + CONTACT_MILLISECONDS).length;
      assert.ok(later <= MAXIMUM_LATER_RUNS, `${later} later runs`);
      const lastFailure = Math.max(0, ...history.failures.map(({ at }) => at));
      const settledAt = Math.max(
        Math.min(fifthEnd, endsOfPart.at(-1) ?? 0) + SETTLED_MILLISECONDS,
        1_000_000 + lastFailure + ENGINE_RESTART_MILLISECONDS + SETTLED_MILLISECONDS,
      );
      const settled = sound.filter(({ at }) => at > settledAt);
      const blocked = settled.filter(({ isBlocked }) => isBlocked).length;
      assert.ok(blocked <= settled.length / 50, `${blocked} of ${settled.length} blocked`);
    }),
    { seed: 31, numRuns: Number(process.env.RUNS ?? 150) },
  );
});

// Records name eight requests of an end, the first that had failed; the content to blame was left out.
test('request that ends engines: peers are told of the content that was beginning at all ends, among many others', () => {
  const log = createSilentLogger();
  const clock = { now: 1000 };
  const now = (): number => clock.now;
  const create = (): PromptPartRecords =>
    new PromptPartRecords({ countInstances: () => 2, log, now });
  const records = create();
  const peer = create();
  for (let end = 0; end < 3; end += 1) {
    for (let other = 0; other < 20; other += 1)
      records.recordEnd(`engine-${end}`, { hash: `sound-${end}-${other}`, sharedParts: ['part'] });
    records.recordEnd(`engine-${end}`, { hash: 'guilty', sharedParts: ['its-part'] });
    clock.now += 1000;
  }
  peer.merge(records.reported, clock.now);
  assert.ok(!peer.isBlocked({ hash: 'new', sharedParts: ['part'] }));
});
