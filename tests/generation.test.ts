/**
 * Tests that answers are complete and correct to the token when engines or entry instances fail
 * during a generation.
 */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { MAXIMUM_CRASHES_WITH_PASSED } from '../src/routing/crash-guard.js';
import { requestStream, type StreamResult } from '../tools/caller.js';
import type { DaemonProcess } from '../tools/daemon-group.js';
import { startFleet, type Fleet } from '../tools/fleet.js';
import { checkHistory, type Submission } from '../tools/history.js';
import { createRandom } from '../tools/random.js';
import type { EngineStandIn } from '../tools/stand-ins/engine.js';
import { computeExpectedTokens } from '../tools/stand-ins/token-function.js';

const TOKEN_COUNT = 12;
const LONG_TOKEN_COUNT = 40;
const STAGES = [
  { from: 0, to: 3 },
  { from: 3, to: 8 },
];

function expectedText(prompt: string, seed: number, count = TOKEN_COUNT): string {
  const input = { model: 'drafting', version: '1', adapter: '', prompt, seed, totalLayers: 8 };
  return computeExpectedTokens(input, count).join('');
}

async function startDraftingFleet(
  context: TestContext,
  instances = 1,
  replicas = 2,
): Promise<Fleet> {
  const engines = STAGES.flatMap((stage) =>
    Array.from({ length: replicas }, () => ({ ...stage, stepMilliseconds: 4 })),
  );
  const fleet = await startFleet({
    instances: Array.from({ length: instances }, (_, index) => ({
      dataCentre: index % 2 === 0 ? 'dc-a' : 'dc-b',
    })),
    engines,
    settings: { timeLimits: { tokenSilence: 250, loadReading: 200 } },
  });
  context.after(() => fleet.stop());
  return fleet;
}

function createSubmission(answer: StreamResult, expected: string, id = 'stream'): Submission {
  const { outcome, tokens } = answer;
  const received = tokens.join('');
  return { id, sentAt: 0, answeredAt: 0, outcome, expected, received, isIdempotent: true };
}

/**
 * Returns the engine of a stage that has run the most layer ranges. While one request runs, this
 * is the engine that runs it.
 */
function findBusiestEngine(fleet: Fleet, stage: number): EngineStandIn {
  const from = STAGES[stage]?.from;
  const candidates = fleet.engines.filter((engine) => engine.settings.from === from);
  const rangeCounts = candidates.map((engine) => engine.layerRuns.size);
  return candidates[rangeCounts.indexOf(Math.max(...rangeCounts))] as EngineStandIn;
}

type FaultInjection = (engine: EngineStandIn) => void;

const FAULT_INJECTIONS: Readonly<Record<string, FaultInjection>> = {
  killed: (engine) => {
    void engine.close();
  },
  frozen: (engine) => Object.assign(engine.faults, { frozen: true }),
  '100 times slower': (engine) => Object.assign(engine.faults, { slowness: 100 }),
  'on a link with 400 ms delay': (engine) =>
    Object.assign(engine.faults, { linkDelayMilliseconds: 400 }),
  'sending a token twice': (engine) => Object.assign(engine.faults, { duplicateToken: true }),
  'running its layers twice': (engine) => Object.assign(engine.faults, { repeatLayers: true }),
};

Object.entries(FAULT_INJECTIONS).forEach(([name, injectFault]) => {
  test(`generation: a stage is ${name}, at several token positions`, async (context) => {
    const cases = [0, 1].flatMap((stage) =>
      [1, 6, TOKEN_COUNT - 1].map((position) => ({ stage, position })),
    );
    await Promise.all(
      cases.map(async ({ stage, position }) => {
        const fleet = await startDraftingFleet(context);
        const prompt = `Letters to the heirs, ${name}, ${stage}, ${position}`;
        const answer = await requestStream(
          fleet.first.callerAddress,
          { model: 'drafting', prompt, max_tokens: TOKEN_COUNT, seed: 3 },
          {
            onToken: (count) => {
              if (count === position) injectFault(findBusiestEngine(fleet, stage));
            },
          },
        );
        assert.equal(answer.outcome, 'completed', `stage ${stage}, position ${position}`);
        assert.equal(answer.tokens.join(''), expectedText(prompt, 3));
        const layerRuns = new Map(fleet.engines.flatMap((engine) => [...engine.layerRuns]));
        assert.deepEqual(checkHistory({ submissions: [], executions: [], layerRuns }), []);
      }),
    );
  });
});

/** A fleet whose engine of the second stage is closed after each given number of tokens. */
async function generateWhileEnginesEnd(
  context: TestContext,
  tokenCounts: readonly number[],
): Promise<{ answer: StreamResult; closedEngines: number }> {
  const fleet = await startDraftingFleet(context, 1, tokenCounts.length + 2);
  const closed = new Set<EngineStandIn>();
  const closeRunningEngine = (): void => {
    const [running] = fleet.engines
      .filter((engine) => engine.settings.from === STAGES[1]?.from && !closed.has(engine))
      .sort((one, other) => other.layerRuns.size - one.layerRuns.size);
    if (!running) return;
    closed.add(running);
    void running.close();
  };
  const answer = await requestStream(
    fleet.first.callerAddress,
    { model: 'drafting', prompt: 'A list of the garage', max_tokens: LONG_TOKEN_COUNT, seed: 3 },
    {
      onToken: (count) => {
        if (tokenCounts.includes(count)) closeRunningEngine();
      },
    },
  );
  return { answer, closedEngines: closed.size };
}

// Three engines that ended under a request had it rejected, wherever it had gone on in between.
test('generation: a request goes on past engines that end under it at different tokens', async (context) => {
  const { answer } = await generateWhileEnginesEnd(context, [3, 8, 13, 18]);
  assert.equal(answer.outcome, 'completed');
});

test('generation: a request under which engines end again and again is given up', async (context) => {
  const { answer, closedEngines } = await generateWhileEnginesEnd(
    context,
    Array.from({ length: MAXIMUM_CRASHES_WITH_PASSED + 2 }, (_, index) => 3 + 4 * index),
  );
  assert.equal(answer.outcome, 'rejected');
  assert.equal(closedEngines, MAXIMUM_CRASHES_WITH_PASSED);
});

test('generation: the entry instance is killed and the stream is resumed on other instances', async (context) => {
  const fleet = await startDraftingFleet(context, 3);
  const [first, second, third] = fleet.daemons as [DaemonProcess, DaemonProcess, DaemonProcess];
  const body = { model: 'drafting', prompt: 'A donation list', max_tokens: 40, seed: 5 };
  const partialAnswer = await requestStream(first.callerAddress, body, {
    onToken: (count) => {
      if (count === 9) first.getProcess().kill('SIGKILL');
    },
  });
  assert.equal(partialAnswer.outcome, 'broken');
  const headers = { 'last-event-id': partialAnswer.lastEventId };
  const regeneratedRest = await requestStream(second.callerAddress, body, { headers });
  const continuedRest = await requestStream(
    third.callerAddress,
    { ...body, received: partialAnswer.tokens },
    { headers },
  );
  [regeneratedRest, continuedRest].forEach((rest) => {
    assert.equal(rest.outcome, 'completed');
    assert.equal(
      [...partialAnswer.tokens, ...rest.tokens].join(''),
      expectedText(body.prompt, 5, 40),
    );
  });
});

test('generation: a stream is not resumed with tokens that are not its own', async (context) => {
  const fleet = await startDraftingFleet(context);
  const body = { model: 'drafting', prompt: 'One', max_tokens: 6, seed: 5 };
  const ownAnswer = await requestStream(fleet.first.callerAddress, body);
  const headers = { 'last-event-id': ownAnswer.lastEventId };
  const otherPromptAnswer = await requestStream(
    fleet.first.callerAddress,
    { ...body, prompt: 'Two', max_tokens: 9 },
    { headers },
  );
  assert.equal(otherPromptAnswer.outcome, 'unknown');
  assert.deepEqual(otherPromptAnswer.tokens, []);
  const otherTokensAnswer = await requestStream(
    fleet.first.callerAddress,
    { ...body, received: ['x'] },
    { headers },
  );
  assert.equal(otherTokensAnswer.outcome, 'rejected');
});

test('generation: many callers while engines fail, freeze and join, from a seed', async (context) => {
  const fleet = await startDraftingFleet(context, 3, 4);
  const random = createRandom(Number(process.env.SEED ?? 11));
  const submissions: Submission[] = [];
  const unfinishedAnswers: StreamResult[] = [];
  const endsAt = Date.now() + 8000;
  const sendRequests = async (worker: number): Promise<void> => {
    for (let count = 0; Date.now() < endsAt; count += 1) {
      const prompt = `Caller ${worker}, request ${count}`;
      const daemon = random.pick(fleet.daemons);
      const body = { model: 'drafting', prompt, max_tokens: TOKEN_COUNT, seed: worker };
      const answer = await requestStream(daemon.callerAddress, body);
      submissions.push(
        createSubmission(answer, expectedText(prompt, worker), `${worker}/${count}`),
      );
      if (answer.outcome !== 'completed') unfinishedAnswers.push(answer);
    }
  };
  const injectFaults = async (): Promise<void> => {
    while (Date.now() < endsAt) {
      const engine = random.pick(fleet.engines);
      const choice = random.next();
      if (choice < 0.3) {
        const { from, to } = engine.settings;
        await engine.close();
        await fleet.addEngine({ from, to, stepMilliseconds: 4 });
      } else if (choice < 0.6) {
        engine.faults.frozen = true;
        await sleep(500);
        engine.faults.frozen = false;
      } else if (choice < 0.8) engine.faults.repeatLayers = true;
      else engine.faults.duplicateToken = true;
      await sleep(200);
    }
  };
  await Promise.all([
    injectFaults(),
    ...Array.from({ length: 12 }, (_, index) => sendRequests(index)),
  ]);
  const layerRuns = new Map(fleet.engines.flatMap((engine) => [...engine.layerRuns]));
  assert.deepEqual(checkHistory({ submissions, executions: [], layerRuns }), []);
  assert.deepEqual(unfinishedAnswers, []);
});
