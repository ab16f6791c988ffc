import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { setImmediate } from 'node:timers/promises';
import { test } from 'node:test';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import { DataCentreLinkLoad } from '../layers/data-centre-link-load.js';
import { AttemptBeside } from './attempt-beside.js';
import { ChainSelector } from './chain-selector.js';
import { StreamAttempt } from './stream-attempt.js';
import type { StreamExchange } from './stream-exchange.js';

/** Two engines have memory for the model and its KV cache. */
const PROFILE = {
  ...ENGINE_PROFILE,
  layerMegabytes: 500,
  activationBytesPerToken: 29_500,
  typicalPromptTokens: 760,
  tokensPerEvent: 2,
};
const SLOW_MEGABITS_PER_SECOND = 590;
const PROMPT_TOKENS = 760;

function createEntry(dataCentre: string, from: number, to: number, suffix = ''): ServerEntry {
  const id = `${dataCentre}-${from}${suffix}`;
  const address = { host: id, port: 80 };
  const layers = { from, to };
  const own = { id, service: 'generation', address, dataCentre, kind: 'large', layers };
  return { ...own, slots: 96, isLeaving: false };
}

/** Data centre `a` loses its only holder of layers 40 to 80; `b` holds them, and `c` may hold all. */
function createEntries(hasOtherChain: boolean): ServerEntry[] {
  return [
    createEntry('a', 0, 40),
    createEntry('a', 40, 80, '-lost'),
    createEntry('b', 40, 80),
    createEntry('b', 40, 80, '-spare'),
    ...(hasOtherChain ? [createEntry('c', 0, 40), createEntry('c', 40, 80)] : []),
  ];
}

interface Scenario {
  readonly hasStarted: boolean;
  readonly hasOtherChain: boolean;
  readonly hasRetry: boolean;
  readonly mayRunAgain?: boolean;
  readonly megabitsPerSecond?: number;
}

/** An exchange that goes on without an event. */
const SILENT_EXCHANGE = {
  open: () => Promise.resolve({ kind: 'accepted' }),
  relay: () => once(new EventEmitter(), 'end'),
  recordStall: () => undefined,
} as unknown as StreamExchange;

/** Runs a stream over the engines of `a`, and lets the second one fall silent. */
class SilentStream {
  /** Engines of the chains that reroutes were ordered over. */
  readonly rerouted: string[][] = [];

  /** Engines of the chains of attempts beside. */
  readonly beside: string[][] = [];

  readonly events: string[] = [];

  readonly logged: Record<string, unknown>[] = [];

  readonly linkLoad = new DataCentreLinkLoad({
    instanceCount: () => 2,
    recordAgeMilliseconds: () => 120,
    now: () => 0,
    random: () => 0.5,
  });

  isOpen = true;

  readonly #attempt: StreamAttempt;

  constructor(scenario: Scenario) {
    const log = {
      info: (message: string, fields: Record<string, unknown>) => {
        this.logged.push({ message, ...fields });
      },
    };
    const fleet = new BackendFleet({ log: log as never });
    fleet.replaceAll(createEntries(scenario.hasOtherChain), 1);
    const context = {
      dataCentre: 'a',
      fleet,
      linkLoad: this.linkLoad,
      serverPace: {
        isAtWindow: () => false,
        begin: () => () => undefined,
        recordAnswer: () => undefined,
        recordFailure: () => undefined,
      },
      outlierEjection: { isEjected: () => false, counts: {} },
      stallDetector: { add: () => undefined, remove: () => undefined },
      serverReach: { isCut: false },
      retryBudget: { tryAcquire: () => scenario.hasRetry },
      metrics: {
        countEvent: (event: string) => {
          this.events.push(event);
        },
      },
      protocol: {
        rerouteStream: (_address: unknown, order: { chain: { address: { host: string } }[] }) => {
          this.rerouted.push(order.chain.map(({ address }) => address.host));
          return Promise.resolve({ kind: 'done' });
        },
      },
      logs: () => log,
    } as unknown as EntryContext;
    const request = {
      signal: new AbortController().signal,
      service: { name: 'generation' },
      metadata: { requestId: 'request', promptTokens: PROMPT_TOKENS },
      route: { targetMilliseconds: 800, gapTargetMilliseconds: 250 },
    } as unknown as EntryRequest;
    const { megabitsPerSecond = SLOW_MEGABITS_PER_SECOND } = scenario;
    const profile = { ...PROFILE, dataCentreLinkMegabitsPerSecond: megabitsPerSecond };
    const selector = new ChainSelector(context, request, profile, () => true, {
      now: () => 0,
      random: () => 0.5,
    });
    const limits = { allowsBeside: () => scenario.mayRunAgain ?? true };
    const caller = {
      hasStarted: scenario.hasStarted,
      lastEventId: scenario.hasStarted ? 19 : undefined,
    };
    const beside = new AttemptBeside({
      context,
      request,
      caller,
      chainSelector: selector,
      limits,
    } as never);
    selector.avoidedEngineIds.add('b-40').add('b-40-spare').add('c-0').add('c-40');
    const chain = selector.choose({ hasStarted: scenario.hasStarted });
    selector.avoidedEngineIds.clear();
    assert.ok(chain);
    assert.deepEqual(
      chain.stages.map(({ engine }) => engine.id),
      ['a-0', 'a-40-lost'],
    );
    const first = chain.stages[0]?.engine.server;
    assert.ok(first);
    this.#attempt = new StreamAttempt({
      context,
      request,
      chainSelector: selector,
      caller: caller as never,
      chain,
      firstEngine: first,
      release: selector.reserve(chain),
      exchange: SILENT_EXCHANGE,
      decide: (...suspicion) => beside.decide(first.entry, ...suspicion),
      startReplacement: () => {
        const other = selector.choose({ hasStarted: scenario.hasStarted });
        this.beside.push(other?.stages.map(({ engine }) => engine.id) ?? []);
        return undefined;
      },
      tryTakeLateRetry: () => false,
    });
    void this.#attempt.run().then(() => {
      this.isOpen = false;
    });
  }

  async fallSilent(engineId = 'a-40-lost'): Promise<void> {
    await setImmediate();
    this.#attempt.routeAround([engineId]);
    for (let turn = 0; turn < 10; turn += 1) await setImmediate();
  }

  /** The decisions on crossings, in order. */
  get decisions(): unknown[] {
    return this.logged
      .filter(({ message }) => message === 'Decided on a crossing between data centres.')
      .map(({ outcome, reason }) => `${String(outcome)} ${String(reason)}`);
  }
}

const BEGUN = { hasStarted: true, hasOtherChain: true, hasRetry: true };

test('reroute: a begun stream whose data centre lost layers is resumed inside another one, not sent over a slow link', async () => {
  const stream = new SilentStream(BEGUN);
  await stream.fallSilent();
  assert.deepEqual(stream.rerouted, []);
  assert.deepEqual(stream.beside, [['c-0', 'c-40']]);
  assert.equal(stream.decisions[0], 'resume endangers_streams');
  assert.ok(stream.events.includes('crossing_resume_endangers_streams'));
  assert.ok(stream.isOpen);
});

// Each entry is a reason for which the stream can't be resumed.
Object.entries({
  'has no retry left': { ...BEGUN, hasRetry: false },
  'has used up its runs': { ...BEGUN, mayRunAgain: false },
  'has no chain inside a data centre': { ...BEGUN, hasOtherChain: false },
}).forEach(([name, scenario]) => {
  test(`reroute: a begun stream that ${name} is not given up because of the price of a link`, async () => {
    const stream = new SilentStream(scenario);
    await stream.fallSilent();
    assert.deepEqual(stream.rerouted, [['a-0', 'b-40']]);
    assert.deepEqual(stream.beside, []);
    assert.deepEqual(stream.decisions, ['resume endangers_streams', 'cross cannot_resume']);
    assert.ok(stream.isOpen);
  });
});

test('reroute: a stream that runs over a link already is led around an engine behind it over that link', async () => {
  const stream = new SilentStream({ ...BEGUN, hasRetry: false });
  await stream.fallSilent();
  const { length } = stream.decisions;
  await stream.fallSilent('b-40');
  assert.deepEqual(stream.rerouted, [
    ['a-0', 'b-40'],
    ['a-0', 'b-40-spare'],
  ]);
  assert.deepEqual(stream.decisions.slice(length), ['stay_inside endangers_streams']);
});

test('reroute: a stream that has not begun is not rerouted over a slow link, also without a retry', async () => {
  const stream = new SilentStream({ ...BEGUN, hasStarted: false, hasRetry: false });
  await stream.fallSilent();
  assert.deepEqual(stream.rerouted, []);
  assert.equal(stream.decisions[0], 'leave endangers_streams');
  assert.ok(stream.isOpen);
});

test('reroute: a free link that is fast enough carries a begun stream without a retry', async () => {
  const stream = new SilentStream({ ...BEGUN, megabitsPerSecond: 3280 });
  await stream.fallSilent();
  assert.deepEqual(stream.rerouted, [['a-0', 'b-40']]);
  assert.deepEqual(stream.decisions, ['cross within_pause']);
});

test('reroute: over a fast link a stream is rerouted at once, whatever the link carries', async () => {
  const scenario = { ...BEGUN, hasStarted: false, hasOtherChain: false };
  const stream = new SilentStream({ ...scenario, megabitsPerSecond: 13_000 });
  stream.linkLoad.recordTransfer('a', 'b', 1_000_000_000, 13_000);
  stream.linkLoad.addStream('a', 'b', { pauseTargetMilliseconds: 250, pauseLeftMilliseconds: 1 });
  await stream.fallSilent();
  assert.deepEqual(stream.rerouted, [['a-0', 'b-40']]);
  assert.deepEqual(stream.decisions, ['cross fast_link']);
});

// Guards against reroutes that find the link free since those before are not counted.
test('reroute: the prompt and the tokens so far count on the link as the reroute is sent, the rest of the answer after it', async () => {
  const stream = new SilentStream({ ...BEGUN, hasRetry: false });
  await stream.fallSilent();
  const bitsPerToken = 8 * PROFILE.activationBytesPerToken;
  const instances = 2;
  const toMilliseconds = (tokens: number): number =>
    (instances * tokens * bitsPerToken) / (1000 * SLOW_MEGABITS_PER_SECOND);
  const { backlogMilliseconds, streams } = stream.linkLoad.describe('a', 'b');
  assert.ok(Math.abs(backlogMilliseconds - toMilliseconds(PROMPT_TOKENS + 40)) < 1);
  const level = (200 * stream.linkLoad.estimateUtilisation('a', 'b')) / 0.45;
  const total = PROMPT_TOKENS + PROFILE.typicalOutputTokens;
  assert.ok(Math.abs(level - toMilliseconds(total)) < 1, `${level}`);
  assert.equal(streams.length, 1);
});

test('reroute: a decision names its inputs in the log', async () => {
  const stream = new SilentStream(BEGUN);
  await stream.fallSilent();
  const line = stream.logged.find(({ outcome }) => outcome === 'resume');
  assert.deepEqual(
    { ...line, pauseLeftMilliseconds: undefined },
    {
      message: 'Decided on a crossing between data centres.',
      requestId: 'request',
      outcome: 'resume',
      reason: 'endangers_streams',
      hasBegun: true,
      from: 'a',
      to: 'b',
      bits: 8 * (PROMPT_TOKENS + 40) * PROFILE.activationBytesPerToken,
      backlogMilliseconds: 0,
      transferMilliseconds: 320,
      streams: 0,
      pauseTargetMilliseconds: 250,
      pauseLeftMilliseconds: undefined,
      recordAgeMilliseconds: 120,
    },
  );
});
