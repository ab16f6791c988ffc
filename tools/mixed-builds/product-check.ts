/**
 * Checks two builds side by side on the product's own interface: claims of idempotency keys, and
 * the configuration, while every instance is replaced in turn.
 */
import assert from 'node:assert/strict';
import { createIdempotencyKey, sendRequest } from '../caller.js';
import { tryFetchJson, waitFor, waitForExit, type DaemonProcess } from '../daemon-group.js';
import { startFleet, type Fleet } from '../fleet.js';
import { report, type Replacement } from './replacement.js';

async function book(daemon: DaemonProcess, key: string): Promise<string> {
  const answer = await sendRequest(
    daemon.callerAddress,
    'POST',
    '/v1/services/bookings/movers',
    '{}',
    {
      headers: { 'idempotency-key': key },
      timeoutMilliseconds: 8000,
    },
  );
  return answer.outcome;
}

/** Sends keys to every instance at once; each must run once and be told completed by all. */
async function bookOnce(fleet: Fleet, label: string): Promise<string[]> {
  const keys = Array.from({ length: 20 }, (_, index) => createIdempotencyKey(`${label}-${index}`));
  const outcomes = await Promise.all(
    keys.flatMap((key) => fleet.daemons.map((daemon) => book(daemon, key))),
  );
  assert.deepEqual([...new Set(outcomes)], ['completed']);
  assert.deepEqual(
    runsOf(fleet, keys),
    keys.map(() => 1),
  );
  return keys;
}

function runsOf(fleet: Fleet, keys: readonly string[]): number[] {
  return keys.map((key) => fleet.journal.filter((execution) => execution.key === key).length);
}

async function waitConfigured(fleet: Fleet, model: string): Promise<void> {
  await Promise.all(
    fleet.daemons.map((daemon) =>
      waitFor(`${daemon.name} has the configuration`, async () => {
        const answer = await tryFetchJson(
          daemon.operatorAddress,
          `/v1/configuration/${fleet.team}`,
        );
        return JSON.stringify(answer ?? {}).includes(model);
      }),
    ),
  );
}

/**
 * Runs the checks on the product's own interface.
 *
 * @param replacement - The build that runs first and the one that replaces it.
 * @throws AssertionError when the builds do not work side by side.
 */
export async function checkProduct({ name, from, to }: Replacement): Promise<void> {
  report(`own interface: ${name}`);
  const fleet = await startFleet({
    instances: [{ dataCentre: 'dc-a' }, { dataCentre: 'dc-a' }, { dataCentre: 'dc-b' }],
    services: [{ service: 'bookings' }, { service: 'bookings', dataCentre: 'dc-b' }],
    program: from,
  });
  try {
    const oldKeys = await bookOnce(fleet, 'before');
    for (const daemon of fleet.daemons) {
      daemon.getProcess().kill('SIGTERM');
      await waitForExit(daemon);
      daemon.launch(to);
      await fleet.waitUntilReady();
      await bookOnce(fleet, `mixed-${daemon.name}`);
    }
    for (const daemon of fleet.daemons) {
      const outcomes = await Promise.all(oldKeys.map((key) => book(daemon, key)));
      assert.deepEqual([...new Set(outcomes)], ['completed']);
    }
    assert.deepEqual(
      runsOf(fleet, oldKeys),
      oldKeys.map(() => 1),
    );
    await waitConfigured(fleet, 'drafting');
    report('  keys: run once side by side; claims of the earlier build replayed by the later one');
  } finally {
    await fleet.stop();
  }
}
