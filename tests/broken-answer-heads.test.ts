/** Tests servers that stop in the middle of the head of their answer, or right after it, and close. */
import assert from 'node:assert/strict';
import { test, type TestContext } from 'node:test';
import { waitUntil } from '../tools/platform-group.js';
import { startScriptedGroup, type ScriptedGroup } from '../tools/scripted-group.js';
import { sendCallerRequest } from '../tools/serving-group.js';

type Framing = 'length' | 'chunks' | 'none';

interface Cut {
  readonly framing: Framing;
  /** Chooses what is written of the answer's head and its first bytes. */
  readonly cut: (head: string) => string;
}

const FRAMING_LINES: Readonly<Record<Framing, string>> = {
  length: 'Content-Length: 100\r\n',
  chunks: 'Transfer-Encoding: chunked\r\n',
  none: '',
};

const CUTS: Readonly<Record<string, Cut>> = {
  'before the first byte': { framing: 'none', cut: () => '' },
  'in the status line': { framing: 'none', cut: (head) => head.slice(0, 'HTTP/1.1 20'.length) },
  'after the status line': {
    framing: 'none',
    cut: (head) => head.slice(0, head.indexOf('\n') + 1),
  },
  'in a header': { framing: 'none', cut: (head) => head.slice(0, -10) },
  'in a header, with a length': { framing: 'length', cut: (head) => head.slice(0, -10) },
  'before the empty line': { framing: 'none', cut: (head) => head.slice(0, -2) },
  'in the empty line': { framing: 'length', cut: (head) => head.slice(0, -1) },
  'after the head, with a length': { framing: 'length', cut: (head) => head },
  'after the head, with chunks': { framing: 'chunks', cut: (head) => head },
  'in the body, with a length': { framing: 'length', cut: (head) => `${head}id: 1\ndata: 1\n\n` },
  'in the body, with chunks': {
    framing: 'chunks',
    cut: (head) => `${head}f\r\nid: 1\ndata: 1\n\n\r\n`,
  },
};

/** An empty call may be whole; an event stream without an event is not. */
const STREAM_CUTS: Readonly<Record<string, Cut>> = {
  ...CUTS,
  'after the head, without a length': { framing: 'none', cut: (head) => head },
  'in an event, without a length': { framing: 'none', cut: (head) => `${head}id: 1\nda` },
};

/** A server is not used for a while after such answers, so that each cut has another one. */
const SERVERS = Object.keys(STREAM_CUTS).length + 1;

function formatHead(requestId: string, framing: Framing, contentType: string): string {
  return (
    `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n` +
    `Content-Type: ${contentType}\r\n${FRAMING_LINES[framing]}Connection: close\r\n\r\n`
  );
}

interface CutRequest {
  readonly path: string;
  readonly contentType: string;
  readonly cuts: Readonly<Record<string, Cut>>;
}

async function checkCuts(
  { scripted, instance }: ScriptedGroup,
  { path, contentType, cuts }: CutRequest,
): Promise<void> {
  const wrong: string[] = [];
  for (const [name, { framing, cut }] of Object.entries(cuts)) {
    const countBefore = scripted.requestIds.length;
    scripted.script = ({ requestId }) => ({
      text: cut(formatHead(requestId, framing, contentType)),
      end: 'close',
    });
    const answer = await sendCallerRequest(instance, path);
    assert.ok(scripted.requestIds.length > countBefore, `${name}: a server got the request`);
    // A stream that has begun is cut off, which the status 0 stands for.
    const isHonest = answer.status === 502 || (answer.status === 0 && path.startsWith('/drafts'));
    if (!isHonest) wrong.push(`${name}: ${answer.status} ${JSON.stringify(answer.body)}`);
  }
  assert.deepEqual(wrong, []);
}

const CALL = { path: '/bookings/1', contentType: 'text/plain', cuts: CUTS };
const STREAM = { path: '/drafts/1', contentType: 'text/event-stream', cuts: STREAM_CUTS };

/** Starts two instances, the first of which reaches no scripted server. */
async function startCutGroup(context: TestContext, isEngine: boolean): Promise<ScriptedGroup> {
  const started = await startScriptedGroup(context, { isEngine, instances: 2, servers: SERVERS });
  const { group, scripted, instance } = started;
  const ports = [...group.servers, ...scripted.servers].map(({ port }) => port);
  instance.process.send({ ports, mode: 'reset' });
  await waitUntil(async () => {
    await sendCallerRequest(instance, '/lookups/1');
    return /the instance is cut from them/.test(instance.log.join(''));
  }, 'the cut is known');
  return started;
}

// A caller got a 200 with an empty or short body that was framed as whole.
test('broken head: a call never gets a part of an answer as a whole one', async (context) =>
  checkCuts(await startScriptedGroup(context, { isEngine: false, servers: SERVERS }), CALL));

test('broken head: a stream never gets a part of an answer as a whole one', async (context) =>
  checkCuts(await startScriptedGroup(context, { isEngine: true, servers: SERVERS }), STREAM));

test('broken head: a call that a peer serves never gets a part of an answer as a whole one', async (context) =>
  checkCuts(await startCutGroup(context, false), CALL));

test('broken head: a stream that a peer serves never gets a part of an answer as a whole one', async (context) =>
  checkCuts(await startCutGroup(context, true), STREAM));
