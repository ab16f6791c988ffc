import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { test } from 'node:test';
import { createSilentLogger } from '../telemetry/log.js';
import { ActiveConfiguration, getEvidenceLimit } from './active-configuration.js';
import { ConfigurationCheck } from './configuration-check.js';

const BOUND_MILLISECONDS = 2000;

function createConfiguration() {
  const clock = { now: 10_000 };
  const configuration = new ActiveConfiguration({
    log: createSilentLogger(),
    changeBoundMilliseconds: BOUND_MILLISECONDS,
    now: () => clock.now,
  });
  let asked = 0;
  const createCheck = (answer: () => Promise<void>): ConfigurationCheck =>
    new ConfigurationCheck({
      configuration,
      sources: () => [
        () => {
          asked += 1;
          return answer();
        },
      ],
      log: createSilentLogger(),
      now: () => clock.now,
    });
  return { clock, configuration, createCheck, countAsked: () => asked };
}

test('late configuration: evidence for a denial is younger than the bound, whatever the bound', () => {
  [1, 10, 500, 900, 2000, 3000, 60_000].forEach((bound) => {
    const limit = getEvidenceLimit(bound);
    assert.ok(limit > 0 && limit < bound, `${bound}`);
  });
});

// A peer's word counted as new when it arrived, and its own evidence could be as old again.
test('late configuration: the age of the evidence of a peer is added to that of its word', () => {
  const { clock, configuration } = createConfiguration();
  configuration.markUpToDate('peer', 1400);
  assert.ok(configuration.isFresh());
  clock.now += 200;
  assert.ok(!configuration.isFresh());
  configuration.markUpToDate('store answer');
  configuration.markUpToDate('peer', 1900);
  assert.ok(configuration.isFresh());
});

test('late configuration: a storm of denials asks once, and again only after a pause when that fails', async () => {
  const { clock, configuration, createCheck, countAsked } = createConfiguration();
  const failing = createCheck(() => Promise.resolve());
  const denials = await Promise.all(Array.from({ length: 500 }, () => failing.confirm()));
  assert.ok(denials.every((isAllowed) => !isAllowed));
  assert.equal(await failing.confirm(), false);
  assert.equal(countAsked(), 1);
  clock.now += 400;
  const working = createCheck(() => Promise.resolve(configuration.markUpToDate('store answer')));
  assert.ok(
    (await Promise.all(Array.from({ length: 500 }, () => working.confirm()))).every(Boolean),
  );
  assert.equal(countAsked(), 2);
  clock.now += 1000;
  assert.ok(await working.confirm());
  assert.equal(countAsked(), 2);
});

test('late configuration: a caller does not wait for a source that never answers', async () => {
  const { createCheck } = createConfiguration();
  const silent = createCheck(() => once(new EventEmitter(), 'never').then(() => undefined));
  assert.equal(await silent.confirm(), false);
});
