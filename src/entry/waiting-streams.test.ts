import assert from 'node:assert/strict';
import { test } from 'node:test';
import { WaitingStreams } from './waiting-streams.js';

/** Some places, and streams that each take one as soon as they may. */
class Places {
  free = 0;

  tries = 0;

  now = 0;

  fleetRevision = 0;

  readonly taken: string[] = [];

  readonly streams = new WaitingStreams({
    fleetRevision: () => this.fleetRevision,
    now: () => this.now,
  });

  wait(name: string, deadline: number, signal = new AbortController().signal) {
    return this.streams.wait({ deadline, signal, tryProceed: () => this.take(name) });
  }

  take(name: string): string | undefined {
    this.tries += 1;
    if (this.free === 0) return undefined;
    this.free -= 1;
    this.taken.push(name);
    return name;
  }
}

test('waiting streams: one proceeds at once where there is room', async () => {
  const places = new Places();
  places.free = 1;
  assert.equal(await places.wait('first', 10), 'first');
  assert.equal(places.streams.count, 0);
});

// New requests took the room that streams in progress had waited for.
test('waiting streams: room goes to those with the least time left, before a new request', async () => {
  const places = new Places();
  const waits = [places.wait('late', 30), places.wait('early', 10), places.wait('middle', 20)];
  places.free = 2;
  places.streams.offerRoom();
  assert.equal(places.take('new'), undefined);
  assert.deepEqual(places.taken, ['early', 'middle']);
  places.free = 1;
  places.streams.offerRoom();
  await Promise.all(waits);
  assert.deepEqual(places.taken, ['early', 'middle', 'late']);
});

test('waiting streams: a wait ends with its signal, and the stream is not tried again', async () => {
  const places = new Places();
  const controller = new AbortController();
  const wait = places.wait('gone', 10, controller.signal);
  controller.abort();
  assert.equal(await wait, undefined);
  places.free = 1;
  places.streams.offerRoom();
  assert.deepEqual(places.taken, []);
  assert.equal(places.streams.count, 0);
});

// Each try costs processor time, of which a fleet without room has none to spare.
test('waiting streams: a new request costs one try while the first of many finds no room', async () => {
  const places = new Places();
  const controller = new AbortController();
  const waits = Array.from({ length: 100 }, (_, index) =>
    places.wait(`stream-${index}`, index, controller.signal),
  );
  places.tries = 0;
  places.streams.offerRoom();
  assert.equal(places.tries, 1);
  controller.abort();
  await Promise.all(waits);
});

test('waiting streams: one more than may wait is turned away', async () => {
  const places = new Places();
  const controller = new AbortController();
  const waits = Array.from({ length: 256 }, () => places.wait('waits', 10, controller.signal));
  assert.equal(await places.wait('turned away', 5), undefined);
  controller.abort();
  await Promise.all(waits);
});
