import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackendServer } from '../backend/backend-server.js';
import { selectSuspectEngines } from './suspect-engines.js';

const INSTANCES = ['entry-1', 'entry-2', 'entry-3'];

function engine(index: number, from = 0, to = 8): BackendServer {
  const id = `engine-${index}`;
  const address = { host: '127.0.0.1', port: 1 };
  const server = new BackendServer({
    listed: { id, kind: 'engine', dataCentre: 'a', region: 'r', state: 'live', ...address },
    sharers: 3,
  });
  const shape = { model: 'm', version: '1', adapter: '', totalLayers: 8, from, to };
  const speed = { accelerator: 'fast', stepMilliseconds: 1, prefillTokensPerMillisecond: 1 };
  const state = { incarnation: 1, slots: 8, leaving: false, loading: false };
  server.report = { state: 'serving', slots: 8, engine: { ...shape, ...speed, ...state } };
  return server;
}

function shares(engines: readonly BackendServer[]): string[][] {
  return INSTANCES.map((instance) =>
    selectSuspectEngines({ engines, instance, instances: INSTANCES }).map(({ id }) => id),
  );
}

// A neighbour's content was rejected: with each retry it met the crashing request of another
// instance at the same engine, three times.
test('suspects of different instances never run on the same engine', () => {
  const engines = Array.from({ length: 24 }, (_, index) => engine(index));
  const all = shares(engines).flat();
  assert.equal(all.length, engines.length);
  assert.equal(new Set(all).size, engines.length);
});

test('a share that does not cover the model is not kept to', () => {
  const engines = [engine(0, 0, 4), engine(1, 4, 8)];
  shares(engines).forEach((share) => assert.equal(share.length, 2));
});
