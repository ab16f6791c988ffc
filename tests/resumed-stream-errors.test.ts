/** Tests streams that break off after events, and whose next engine answers with something else than events. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { startScriptedGroup } from '../tools/scripted-group.js';
import { createRequestId, sendCallerRequest } from '../tools/serving-group.js';
import type { ScriptedRequest } from '../tools/stand-ins/scripted-server.js';

const EVENTS = [1, 2, 3].map((id) => `id: ${id}\ndata: ${id}\n\n`).join('');

function formatHead(requestId: string, status: number, contentType: string): string {
  return (
    `HTTP/1.1 ${status} Any\r\nRequest-Id: ${requestId}\r\nResponse-Signature: s\r\n` +
    `Content-Type: ${contentType}\r\nConnection: close\r\n`
  );
}

function formatWhole(requestId: string, status: number, contentType: string, body: string): string {
  const length = `Content-Length: ${body.length}\r\n\r\n`;
  return formatHead(requestId, status, contentType) + length + body;
}

/** An event stream of which the connection's end cuts the rest off. */
function formatBrokenStream(requestId: string): string {
  const chunk = `${EVENTS.length.toString(16)}\r\n${EVENTS}\r\n`;
  const encoding = 'Transfer-Encoding: chunked\r\n\r\n';
  return formatHead(requestId, 200, 'text/event-stream') + encoding + chunk;
}

const STREAM = 'text/event-stream';
const TEXT = 'text/plain';

/** What the engine writes at which the stream is to go on. */
const CONTINUATIONS: Readonly<Record<string, (requestId: string) => string>> = {
  'a 404': (id) => formatWhole(id, 404, TEXT, 'error: none\n\n'),
  'a 400 as an event stream': (id) => formatWhole(id, 400, STREAM, 'id: 4\ndata: error\n\n'),
  'a 500': (id) => formatWhole(id, 500, TEXT, 'error: failed\n\n'),
  'a 503 without a length': (id) => `${formatHead(id, 503, TEXT)}\r\nerror: failed\n\n`,
  'an error head that breaks off': (id) => formatHead(id, 500, TEXT).slice(0, -10),
  'an error body that breaks off': (id) =>
    `${formatHead(id, 500, TEXT)}Content-Length: 100\r\n\r\nerror: failed\n\n`,
  'a 200 with text': (id) => formatWhole(id, 200, TEXT, 'error: failed'),
  'a 200 with text like an event': (id) => formatWhole(id, 200, TEXT, 'error: failed\n\n'),
  'a 200 with text and without a length': (id) =>
    `${formatHead(id, 200, TEXT)}\r\nerror: failed\n\n`,
  'an empty 200 that is text': (id) => formatWhole(id, 200, TEXT, ''),
  'a 204': (id) => `HTTP/1.1 204 None\r\nRequest-Id: ${id}\r\nResponse-Signature: s\r\n\r\n`,
  'a 200 with JSON': (id) => formatWhole(id, 200, 'application/json', '{"error":"failed"}\n\n'),
  'an event stream without events': (id) => formatWhole(id, 200, STREAM, '{"error":1}\n\n'),
  'an event stream with half an event': (id) => formatWhole(id, 200, STREAM, 'id: 4\ndata: f'),
};

// The error's text stood in the middle of the caller's stream, or the stream ended as if it were complete.
test('resumed stream: what is no event stream is never passed on, and the stream does not look complete', async (context) => {
  const { scripted, instance } = await startScriptedGroup(context, { isEngine: true });
  const wrong: string[] = [];
  for (const [name, format] of Object.entries(CONTINUATIONS)) {
    const attempts: number[] = [];
    scripted.script = ({ requestId, lastEventId }: ScriptedRequest) => {
      attempts.push(lastEventId);
      return {
        text: lastEventId === 0 ? formatBrokenStream(requestId) : format(requestId),
        end: 'close',
      };
    };
    const answer = await sendCallerRequest(instance, '/drafts/1', {
      headers: { 'request-id': createRequestId() },
    });
    assert.deepEqual(attempts.slice(0, 2), [0, 3], `${name}: the stream goes on at another engine`);
    if (answer.body !== EVENTS || answer.status !== 0)
      wrong.push(`${name}: ${answer.status} ${JSON.stringify(answer.body.slice(EVENTS.length))}`);
  }
  assert.deepEqual(wrong, []);
});
