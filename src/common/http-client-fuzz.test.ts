/** Tests that each call to the store, a peer or a health check settles in its time, whatever the other side writes. */
import assert from 'node:assert/strict';
import { getEventListeners } from 'node:events';
import http from 'node:http';
import { test, type TestContext } from 'node:test';
import { createRandom } from '../../tools/random.js';
import { createAnswer, startAnsweringServer, type Answer } from '../../tools/random-answers.js';
import { sleep } from './clock.js';
import { fetchResponse } from './http-client.js';

const RUNS = Number(process.env.RUNS ?? 400);
const SEED = Number(process.env.SEED ?? 12);
const BATCH = 50;
/** Applies to the head and to the body in turn. */
const TIMEOUT_MILLISECONDS = 100;
/** A wait of this length for what must come at the timeout means that it never comes. */
const NEVER_MILLISECONDS = 3000;

type Settled = 'answered' | 'failed';

async function checkBatch(context: TestContext, answers: readonly Answer[]): Promise<Settled[]> {
  const { address, sockets } = await startAnsweringServer(context, answers);
  const agent = new http.Agent({ keepAlive: true });
  const { signal } = new AbortController();
  const call = (index: number): Promise<Settled> =>
    fetchResponse({
      address,
      agent,
      method: 'POST',
      path: `/${index}`,
      body: 'body',
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      signal,
    }).then(
      () => 'answered',
      () => 'failed',
    );
  const never = sleep(NEVER_MILLISECONDS).then(() => 'never' as const);
  const settled = await Promise.all(answers.map((_, index) => Promise.race([call(index), never])));
  const open = settled.flatMap((result, index) => (result === 'never' ? [answers[index]] : []));
  assert.deepEqual(open.slice(0, 3), [], 'never settled');
  agent.destroy();
  const until = performance.now() + NEVER_MILLISECONDS;
  const countLeft = (): number => sockets.size + getEventListeners(signal, 'abort').length;
  while (countLeft() > 0 && performance.now() < until) await sleep(10);
  assert.equal(sockets.size, 0, 'every connection is closed');
  assert.equal(getEventListeners(signal, 'abort').length, 0, 'nothing listens');
  return settled.filter((result) => result !== 'never');
}

test(`http client: every call settles in its time and leaves nothing behind (seed ${SEED})`, async (context) => {
  const random = createRandom(SEED);
  const settled: Settled[] = [];
  while (settled.length < RUNS) {
    const answers = Array.from({ length: BATCH }, () => createAnswer(random));
    settled.push(...(await checkBatch(context, answers)));
  }
  assert.ok(settled.includes('answered') && settled.includes('failed'));
});
