/** Tests that an instance which stood still sends nothing on for callers that have left meanwhile. */
import assert from 'node:assert/strict';
import http from 'node:http';
import { test, type TestContext } from 'node:test';
import { sleep } from '../src/common/clock.js';
import type { PlatformInstance } from '../tools/platform-group.js';
import {
  createRequestId,
  getFirstInstance,
  sendCallerRequest,
  startGroup,
} from '../tools/serving-group.js';

const REQUESTS = 12;
const PATIENCE_MILLISECONDS = 200;
const STANDSTILL_MILLISECONDS = 900;
/** As long as the servers take for what would have been sent on. */
const SERVING_MILLISECONDS = 700;

type Departure = 'close' | 'reset' | 'end';

/** Sends a request whose caller leaves before it is answered. */
function sendAndLeave({ ports }: PlatformInstance, path: string, departure: Departure): string {
  const requestId = createRequestId();
  const request = http.request({
    host: '127.0.0.1',
    port: ports.front,
    method: path.startsWith('/lookups') ? 'GET' : 'POST',
    path,
    agent: false,
    headers: {
      host: 'site.example',
      'request-id': requestId,
      'deadline-ms': '4000',
      'api-key': 'key-1',
    },
  });
  request.on('error', () => undefined);
  request.end();
  setTimeout(() => {
    if (departure === 'close') request.destroy();
    else if (departure === 'end') request.socket?.end();
    else request.socket?.resetAndDestroy();
  }, PATIENCE_MILLISECONDS);
  return requestId;
}

async function checkDeparture(context: TestContext, departure: Departure): Promise<void> {
  const group = await startGroup(context);
  const instance = getFirstInstance(group);
  instance.process.kill('SIGSTOP');
  context.after(() => instance.process.kill('SIGCONT'));
  const requestIds = Array.from({ length: REQUESTS }, (_, index) =>
    sendAndLeave(instance, index % 2 === 0 ? '/lookups/1' : '/drafts/1', departure),
  );
  await sleep(STANDSTILL_MILLISECONDS);
  instance.process.kill('SIGCONT');
  const { status } = await sendCallerRequest(instance, '/lookups/2', { method: 'GET' });
  assert.equal(status, 200);
  await sleep(SERVING_MILLISECONDS);
  const runs = group.servers.flatMap((server) => server.runs.map(({ requestId }) => requestId));
  const sentOn = requestIds.filter((requestId) => runs.includes(requestId));
  assert.equal(sentOn.length, 0, `${sentOn.length} of ${REQUESTS} were sent on`);
}

// They were read in the same moment as their callers' close, and sent to servers before that was looked at.
test('departed caller: what callers sent and closed while the instance stood still is not sent on', (context) =>
  checkDeparture(context, 'close'));

test('departed caller: what callers sent and reset while the instance stood still is not sent on', (context) =>
  checkDeparture(context, 'reset'));

// Such a caller can't be answered either: the server ends the connection in turn.
test('departed caller: what callers sent and ended their side of the connection for is not sent on', (context) =>
  checkDeparture(context, 'end'));
