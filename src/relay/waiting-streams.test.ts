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

  wait(
    name: string,
    deadline: number,
    {
      signal = new AbortController().signal,
      service = 'service',
      classIndex = 0,
      notBefore = 0,
    } = {},
  ) {
    const tryProceed = () => this.take(name);
    return this.streams.wait({ service, classIndex, deadline, notBefore, signal, tryProceed });
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
  places.streams.offerRoom('service');
  assert.equal(places.take('new'), undefined);
  assert.deepEqual(places.taken, ['early', 'middle']);
  places.free = 1;
  places.streams.offerRoom('service');
  await Promise.all(waits);
  assert.deepEqual(places.taken, ['early', 'middle', 'late']);
});

// Streams of the least urgent route took the room of urgent ones that had a little more time left.
test('waiting streams: room goes to the most urgent class, then to those with the least time left', async () => {
  const places = new Places();
  const waits = [
    places.wait('low', 10, { classIndex: 2 }),
    places.wait('urgent late', 30),
    places.wait('urgent early', 20),
    places.wait('middle', 5, { classIndex: 1 }),
  ];
  places.free = 4;
  places.streams.offerRoom('service');
  await Promise.all(waits);
  assert.deepEqual(places.taken, ['urgent early', 'urgent late', 'middle', 'low']);
});

test('waiting streams: a wait ends with its signal, and the stream is not tried again', async () => {
  const places = new Places();
  const controller = new AbortController();
  const wait = places.wait('gone', 10, { signal: controller.signal });
  controller.abort();
  assert.equal(await wait, undefined);
  places.free = 1;
  places.streams.offerRoom('service');
  assert.deepEqual(places.taken, []);
  assert.equal(places.streams.count, 0);
});

// Each try costs processor time, of which a fleet without room has none to spare.
test('waiting streams: a new request costs one try while the first of many finds no room', async () => {
  const places = new Places();
  const controller = new AbortController();
  const waits = Array.from({ length: 100 }, (_, index) =>
    places.wait(`stream-${index}`, index, { signal: controller.signal }),
  );
  places.tries = 0;
  places.streams.offerRoom('service');
  assert.equal(places.tries, 1);
  controller.abort();
  await Promise.all(waits);
});

test('waiting streams: one more than may wait is turned away', async () => {
  const places = new Places();
  const controller = new AbortController();
  const waits = Array.from({ length: 256 }, () =>
    places.wait('waits', 10, { signal: controller.signal }),
  );
  assert.equal(await places.wait('turned away', 5), undefined);
  controller.abort();
  await Promise.all(waits);
});

// Streams of a service without engines kept those of another one from its room.
test('waiting streams: those of one service neither hold up nor take the room of another', async () => {
  const places = new Places();
  const controller = new AbortController();
  const { signal } = controller;
  const blocked = Array.from({ length: 20 }, () =>
    places.streams.wait({
      service: 'blocked',
      classIndex: 0,
      deadline: 1,
      notBefore: 0,
      signal,
      tryProceed: () => undefined,
    }),
  );
  const wait = places.wait('other', 100);
  places.free = 1;
  places.streams.offerRoom('service');
  assert.equal(await wait, 'other');
  controller.abort();
  await Promise.all(blocked);
});

// A stream that engines refuse whatever their room would use up the budget of all others.
test('waiting streams: one that was refused is not tried before its pause is over', async () => {
  const places = new Places();
  places.free = 1;
  const wait = places.wait('refused', 10, { notBefore: 200 });
  places.streams.offerRoom('service');
  assert.equal(places.tries, 0);
  places.now = 200;
  places.streams.offerRoom('service');
  assert.equal(await wait, 'refused');
});
