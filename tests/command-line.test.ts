/** The command line: output, exit codes and clear errors. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { formatAddress } from '../src/common/address.js';
import { EXIT_CODES } from '../src/command-line/exit-codes.js';
import { makeKey } from '../tools/caller.js';
import { startFleet } from '../tools/fleet.js';
import { COMMAND_LINE, runProgram, type Ended } from '../tools/run-program.js';

const DAEMON = fileURLToPath(new URL('../src/daemon/main.js', import.meta.url));

const cli = (...words: string[]): Promise<Ended> => runProgram(COMMAND_LINE, ...words);

test('command line: against a running system', async (context) => {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }],
    engines: [{}],
    services: [{ service: 'bookings' }],
  });
  context.after(() => fleet.stop());
  const folder = mkdtempSync(path.join(tmpdir(), 'sesamedyke-cli-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const { team, first } = fleet;
  const instance = ['--instance', formatAddress(first.operator)];
  const caller = ['--caller', formatAddress(first.caller)];

  const set = await cli(
    'configuration',
    'set',
    team,
    'accounts/planner/weight=2',
    '--wait',
    ...instance,
  );
  assert.equal(set.code, EXIT_CODES.done, set.error);
  assert.match(set.out, /Accepted as revision 2[^]*In force on 2 instances/);
  const stale = await cli(
    'configuration',
    'set',
    team,
    'accounts/planner/weight=3',
    '--base',
    '1',
    ...instance,
  );
  assert.equal(stale.code, EXIT_CODES.refused);
  assert.match(stale.error, /was set by\s+revision 2/);

  const file = path.join(folder, 'team.jsonc');
  writeFileSync(file, '{ "priority": 7, /* soon */ "accounts": { "planner": {} } }');
  const diff = await cli('configuration', 'diff', team, file, ...instance);
  assert.match(diff.out, /^priority = 7$/m);
  assert.equal((await cli('configuration', 'apply', team, file, '--wait', ...instance)).code, 0);
  assert.match((await cli('configuration', 'get', team, ...instance)).out, /"priority": 7/);
  assert.match((await cli('configuration', 'history', team, ...instance)).out, /3 +\S+ +operator/);

  const backends = await cli('backends', '--json', ...instance);
  assert.equal(JSON.parse(backends.out).backends.length, 2);
  for (const command of ['status', 'members', 'pipelines', 'leases', 'histograms']) {
    const shown = await cli(command, ...instance);
    assert.equal(shown.code, 0, shown.error);
    assert.ok(shown.out.length > 10);
  }
  assert.match((await cli('addresses', ...caller, '--account', 'planner')).out, /entry-1/);
  const called = await cli(
    'call',
    'gone',
    '/x',
    ...caller,
    '--account',
    'planner',
    '--key',
    makeKey('cli1'),
  );
  assert.equal(called.code, EXIT_CODES.failed);
  assert.equal((await cli('drain', ...instance)).code, 0);
});

test('command line: clear errors and exit codes without a system', async () => {
  const wrongFlag = await cli('status', '--colour');
  assert.equal(wrongFlag.code, EXIT_CODES.usage);
  const wrongAddress = await cli('status', '--instance', 'localhost:1');
  assert.equal(wrongAddress.code, EXIT_CODES.usage);
  assert.match(wrongAddress.error, /not <IP number>:<port>/);
  const unreachable = await cli('status', '--instance', '127.0.0.1:1');
  assert.equal(unreachable.code, EXIT_CODES.unreachable);
  assert.match((await cli('--help')).out, /configuration/);
  assert.match((await cli('configuration', 'set', '--help')).out, /EXAMPLES/);
});

test('command line: a daemon with bad settings lists every issue and does not start', async (context) => {
  const folder = mkdtempSync(path.join(tmpdir(), 'sesamedyke-bad-'));
  context.after(() => rmSync(folder, { recursive: true }));
  const file = path.join(folder, 'bad.jsonc');
  writeFileSync(file, '{ "instance": "Entry 1", "colour": 1 }');
  const daemon = await runProgram(DAEMON, '--settings', file);
  assert.equal(daemon.code, 2);
  ['instance', 'colour', 'callerAddress', 'platform'].forEach((name) => {
    assert.match(daemon.error, new RegExp(`${name}: `));
  });
  const check = await cli('settings', 'check', file);
  assert.equal(check.code, EXIT_CODES.failed);
  assert.equal((await runProgram(DAEMON)).code, 2);
});
