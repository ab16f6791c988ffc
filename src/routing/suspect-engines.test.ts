import assert from 'node:assert/strict';
import { test } from 'node:test';
import { BackendServer } from '../backend/backend-server.js';
import { selectSuspectEngines } from './suspect-engines.js';

const INSTANCES = ['entry-1', 'entry-2', 'entry-3'];

function createEngine(index: number, from = 0, to = 8): BackendServer {
  const id = `engine-${index}`;
  const address = { host: '127.0.0.1', port: 1 };
  const server = new BackendServer({
    listed: { id, kind: 'engine', dataCentre: 'a', region: 'r', state: 'live', ...address },
    sharingInstances: 3,
  });
  const shape = { model: 'm', version: '1', adapter: '', totalLayers: 8, from, to };
  const speed = { accelerator: 'fast', stepMilliseconds: 1, prefillTokensPerMillisecond: 1 };
  const state = { incarnation: 1, slots: 8, leaving: false, loading: false };
  server.report = { state: 'serving', slots: 8, engine: { ...shape, ...speed, ...state } };
  return server;
}

function selectForEachInstance(engines: readonly BackendServer[]): string[][] {
  return INSTANCES.map((instance) =>
    selectSuspectEngines({ engines, instance, instances: INSTANCES }).map(({ id }) => id),
  );
}

// Harmless content was blocked: each of its three retries ran on the same engine as a crashing
// request of another instance.
test('suspect requests of different instances never run on the same engine', () => {
  const engines = Array.from({ length: 24 }, (_, index) => createEngine(index));
  const selected = selectForEachInstance(engines).flat();
  assert.equal(selected.length, engines.length);
  assert.equal(new Set(selected).size, engines.length);
});

test('all engines are used if those of an instance do not cover the model', () => {
  const engines = [createEngine(0, 0, 4), createEngine(1, 4, 8)];
  selectForEachInstance(engines).forEach((share) => assert.equal(share.length, 2));
});
