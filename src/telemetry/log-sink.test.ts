import assert from 'node:assert/strict';
import { mkdtemp, open, readFile, rm } from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { sleep } from '../common/clock.js';
import { LogSink } from './log-sink.js';

async function writeThroughSink(lines: readonly string[], maximumBytes: number): Promise<string> {
  const folder = await mkdtemp(path.join(os.tmpdir(), 'log-sink-'));
  const file = await open(path.join(folder, 'log'), 'w');
  const sink = new LogSink({ descriptor: file.fd, maximumBufferedLength: maximumBytes });
  lines.forEach((line) => sink.write(line));
  await sink.flush();
  await file.close();
  const text = await readFile(path.join(folder, 'log'), 'utf8');
  await rm(folder, { recursive: true });
  return text;
}

test('log sink: lines are written whole and in order', async () => {
  assert.equal(await writeThroughSink(['one\n', 'two\n'], 1000), 'one\ntwo\n');
});

test('log sink: lines beyond the buffer limit are dropped and counted', async () => {
  const lines = Array.from({ length: 10 }, (_, index) => `line ${index}\n`);
  const text = await writeThroughSink(lines, 30);
  assert.ok(text.startsWith('line 0\nline 1\n') && !text.includes('line 9'));
  assert.match(text, /"dropped":\d/);
});

test('log sink: overlapping flushes write every line in order before they end', async () => {
  const written: string[] = [];
  let writes = 0;
  const sink = new LogSink({
    descriptor: 1,
    writeBytes: async (_, bytes) => {
      writes += 1;
      // The first write is the slowest.
      await sleep(writes === 1 ? 30 : 1);
      written.push(bytes.toString());
      return { bytesWritten: bytes.length };
    },
  });
  sink.write('one\n');
  void sink.flush();
  sink.write('two\n');
  await sink.flush();
  assert.equal(written.join(''), 'one\ntwo\n');
});
