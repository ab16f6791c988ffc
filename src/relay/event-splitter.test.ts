import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { EventSplitter } from './event-splitter.js';

function eventsFrom(first: number, count: number): string {
  return Array.from({ length: count }, (_, index) => `id: ${first + index}\ndata: x\n\n`).join('');
}

test('event splitter: returns only complete events, wherever the bytes are split', () => {
  const text = eventsFrom(1, 5);
  fc.assert(
    fc.property(fc.integer({ min: 0, max: text.length }), (cut) => {
      const splitter = new EventSplitter(undefined);
      const first = splitter.push(Buffer.from(text.slice(0, cut)));
      const second = splitter.push(Buffer.from(text.slice(cut)));
      assert.equal(Buffer.concat([first.bytes, second.bytes]).toString(), text);
      assert.ok(first.bytes.length === 0 || first.bytes.toString().endsWith('\n\n'));
      assert.equal(second.lastEventId, 5);
      assert.ok(splitter.isBetweenEvents);
    }),
    { seed: 3 },
  );
});

test('event splitter: a repeated event is an error', () => {
  const splitter = new EventSplitter(4);
  assert.throws(() => splitter.push(Buffer.from(eventsFrom(4, 1))), /follows event 4/);
});

test('event splitter: malformed bytes are an error', () => {
  const splitter = new EventSplitter(undefined);
  assert.throws(() => splitter.push(Buffer.from('\u0001garbage\n\n')), /no event/);
});

test('event splitter: an event without its end is incomplete', () => {
  const splitter = new EventSplitter(undefined);
  splitter.push(Buffer.from('id: 1\ndata: x\n\nid: 2\nda'));
  assert.ok(!splitter.isBetweenEvents);
});
