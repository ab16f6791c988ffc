/** Tests the output, the error messages and the exit codes of the command line. */
import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { formatAddress } from '../src/common/address.js';
import { EXIT_CODES } from '../src/command-line/exit-codes.js';
import { createIdempotencyKey } from '../tools/caller.js';
import { startFleet } from '../tools/fleet.js';
import { COMMAND_LINE, runProgram, type ProgramResult } from '../tools/run-program.js';

const DAEMON_PROGRAM = fileURLToPath(new URL('../src/daemon/main.js', import.meta.url));

const runCommand = (...words: string[]): Promise<ProgramResult> =>
  runProgram(COMMAND_LINE, ...words);

test('command line: commands to running instances', async (context) => {
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }],
    engines: [{}],
    services: [{ service: 'bookings' }],
  });
  context.after(() => fleet.stop());
  const directory = mkdtempSync(path.join(tmpdir(), 'sesamedyke-cli-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const { team, first } = fleet;
  const instanceFlag = ['--instance', formatAddress(first.operatorAddress)];
  const callerFlag = ['--caller', formatAddress(first.callerAddress)];

  const setResult = await runCommand(
    'configuration',
    'set',
    team,
    'accounts/planner/weight=2',
    '--wait',
    ...instanceFlag,
  );
  assert.equal(setResult.exitCode, EXIT_CODES.done, setResult.stderr);
  assert.match(setResult.stdout, /Accepted as revision 2[^]*In force on 2 instances/);
  const staleResult = await runCommand(
    'configuration',
    'set',
    team,
    'accounts/planner/weight=3',
    '--base',
    '1',
    ...instanceFlag,
  );
  assert.equal(staleResult.exitCode, EXIT_CODES.refused);
  assert.match(staleResult.stderr, /was set by\s+revision 2/);

  const file = path.join(directory, 'team.jsonc');
  writeFileSync(file, '{ "priority": 7, /* soon */ "accounts": { "planner": {} } }');
  const diffResult = await runCommand('configuration', 'diff', team, file, ...instanceFlag);
  assert.match(diffResult.stdout, /^priority = 7$/m);
  assert.equal(
    (await runCommand('configuration', 'apply', team, file, '--wait', ...instanceFlag)).exitCode,
    0,
  );
  assert.match(
    (await runCommand('configuration', 'get', team, ...instanceFlag)).stdout,
    /"priority": 7/,
  );
  assert.match(
    (await runCommand('configuration', 'history', team, ...instanceFlag)).stdout,
    /3 +\S+ +operator/,
  );

  const backendsResult = await runCommand('backends', '--json', ...instanceFlag);
  assert.equal(JSON.parse(backendsResult.stdout).backends.length, 2);
  for (const command of ['status', 'members', 'pipelines', 'leases', 'histograms']) {
    const result = await runCommand(command, ...instanceFlag);
    assert.equal(result.exitCode, 0, result.stderr);
    assert.ok(result.stdout.length > 10);
  }
  assert.match(
    (await runCommand('addresses', ...callerFlag, '--account', 'planner')).stdout,
    /entry-1/,
  );
  const callResult = await runCommand(
    'call',
    'gone',
    '/x',
    ...callerFlag,
    '--account',
    'planner',
    '--key',
    createIdempotencyKey('cli1'),
  );
  assert.equal(callResult.exitCode, EXIT_CODES.failed);
  assert.equal((await runCommand('drain', ...instanceFlag)).exitCode, 0);
});

test('command line: error messages and exit codes when no instance answers', async () => {
  const unknownFlagResult = await runCommand('status', '--colour');
  assert.equal(unknownFlagResult.exitCode, EXIT_CODES.usage);
  const invalidAddressResult = await runCommand('status', '--instance', 'localhost:1');
  assert.equal(invalidAddressResult.exitCode, EXIT_CODES.usage);
  assert.match(invalidAddressResult.stderr, /not <IP number>:<port>/);
  const unreachableResult = await runCommand('status', '--instance', '127.0.0.1:1');
  assert.equal(unreachableResult.exitCode, EXIT_CODES.unreachable);
  assert.match((await runCommand('--help')).stdout, /configuration/);
  assert.match((await runCommand('configuration', 'set', '--help')).stdout, /EXAMPLES/);
});

test('command line: a daemon with invalid settings lists every issue and does not start', async (context) => {
  const directory = mkdtempSync(path.join(tmpdir(), 'sesamedyke-bad-'));
  context.after(() => rmSync(directory, { recursive: true }));
  const file = path.join(directory, 'bad.jsonc');
  writeFileSync(file, '{ "instance": "Entry 1", "colour": 1 }');
  const daemonResult = await runProgram(DAEMON_PROGRAM, '--settings', file);
  assert.equal(daemonResult.exitCode, 2);
  ['instance', 'colour', 'callerAddress', 'platform'].forEach((name) => {
    assert.match(daemonResult.stderr, new RegExp(`${name}: `));
  });
  const checkResult = await runCommand('settings', 'check', file);
  assert.equal(checkResult.exitCode, EXIT_CODES.failed);
  assert.equal((await runProgram(DAEMON_PROGRAM)).exitCode, 2);
});
