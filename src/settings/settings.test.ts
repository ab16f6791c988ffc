import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { IssueError } from '../common/issue.js';
import { parseSettings, safeParseSettings } from './settings.js';

const VALID_SETTINGS = `{
  // One small site.
  "instance": "entry-1",
  "dataCentre": "dc-a",
  "region": "region-1",
  "callerAddress": { "host": "127.0.0.1", "port": 7100 },
  "operatorAddress": { "host": "127.0.0.1", "port": 7300 },
  "peerAddress": { "host": "::1", "port": 7200 },
  "platform": {
    "objectApi": { "host": "127.0.0.1", "port": 7001 },
    "instanceList": { "host": "127.0.0.1", "port": 7002 },
  },
}`;

test('settings: comments and trailing commas are accepted and defaults are filled in', () => {
  const settings = parseSettings(VALID_SETTINGS);
  assert.equal(settings.instance, 'entry-1');
  assert.equal(settings.timeLimits.peerExchange, 1000);
  assert.equal(settings.placement.concurrentLoads, 2);
});

test('settings: all unknown keys and invalid values are reported together with their paths', () => {
  const text = VALID_SETTINGS.replace('7100', '0')
    .replace('"region-1"', '"Region 1"')
    .replace('"instance"', '"colour": "red", "instance"');
  const issues = safeParseSettings(text).swap().unsafeCoerce();
  assert.deepEqual(issues.map((issue) => issue.path.join('.')).sort(), [
    'callerAddress.port',
    'colour',
    'region',
  ]);
  assert.throws(() => parseSettings(text), IssueError);
});

test('settings: a syntax error reports its line', () => {
  const issues = safeParseSettings('{\n  "instance": \n}').swap().unsafeCoerce();
  assert.equal(issues[0]?.code, 'syntax');
  assert.match(issues[0]?.message ?? '', /line 3/);
});

test('settings: safeParseSettings never throws, whatever the text', () => {
  fc.assert(
    fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
      const result = safeParseSettings(text);
      assert.equal(result.isLeft(), true);
    }),
    { seed: 1, numRuns: 300 },
  );
});
