/** Tests servers whose answers can't be passed on: they announce another protocol, or Node.js can't write their heads. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import { startScriptedGroup } from '../tools/scripted-group.js';
import { sendCallerRequest } from '../tools/serving-group.js';

const HEADS: Readonly<Record<string, string>> = {
  'another protocol':
    'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n',
  'a status below 100': 'HTTP/1.1 099 Low\r\nContent-Length: 0\r\n',
  'a space in the name of a header': 'HTTP/1.1 200 OK\r\nName of it: a\r\nContent-Length: 0\r\n',
};

/** A server is not used for a while after such an answer. */
const SERVERS = Object.keys(HEADS).length + 1;

const WAIT_MILLISECONDS = 6000;

async function checkAnswers(context: TestContext, isEngine: boolean, path: string): Promise<void> {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine, servers: SERVERS });
  const wrong: string[] = [];
  for (const [name, head] of Object.entries(HEADS)) {
    const countBefore = scripted.requestIds.length;
    scripted.script = ({ requestId }) => ({
      text: head.endsWith('\r\n\r\n')
        ? head
        : `${head}Request-Id: ${requestId}\r\nResponse-Signature: s\r\n\r\n`,
      end: 'keep',
    });
    // Past the time that the caller allows; a request without an answer has the status 0.
    const never = sleep(WAIT_MILLISECONDS).then(() => ({ status: 0 }));
    const { status } = await Promise.race([sendCallerRequest(instance, path), never]);
    assert.ok(scripted.requestIds.length > countBefore, `${name}: a server got the request`);
    if (status !== 502) wrong.push(`${name}: ${status}`);
  }
  assert.deepEqual(wrong, []);
  const loads = [...instance.log.join('').matchAll(/"own":(\d+)/g)].map(([, own]) => Number(own));
  assert.ok(
    loads.every((own) => own === 0),
    'each request gave its place back',
  );
}

// The call was never answered and kept its place, or its connection was closed without an answer.
test('unusable answer: a booking ends as one that may have run', (context) =>
  checkAnswers(context, false, '/bookings/1'));

test('unusable answer: a stream ends as one that may have run', (context) =>
  checkAnswers(context, true, '/drafts/1'));
