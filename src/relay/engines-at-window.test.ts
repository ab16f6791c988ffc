import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINE_PROFILE } from '../../tools/engine-profile.js';
import type { EntryContext } from '../entry/entry-context.js';
import type { EntryRequest } from '../entry/entry-request.js';
import { BackendFleet } from '../fleet/backend-fleet.js';
import type { LayerRange } from '../fleet/server-entry.js';
import { ChainSelector } from './chain-selector.js';
import { chooseReplica } from './server-choice.js';

/** Engines have memory for half of the layers and for KV cache. */
const PROFILE = { ...ENGINE_PROFILE, layerMegabytes: 500 };
const WHOLE: LayerRange = { from: 0, to: PROFILE.layerCount };
const HALF = WHOLE.to / 2;

function createFleet(layers: Readonly<Record<string, LayerRange | undefined>>): BackendFleet {
  const fleet = new BackendFleet({ log: { info: () => undefined } as never });
  const entries = Object.entries(layers).map(([id, range]) => ({
    id,
    service: 'generation',
    address: { host: id, port: 80 },
    dataCentre: 'z',
    slots: 8,
    isLeaving: false,
    kind: 'large',
    layers: range,
  }));
  fleet.replaceAll(entries, 1);
  return fleet;
}

/** Chooses a chain while some engines are at their windows; returns the engines of its stages. */
function choose(
  layers: Readonly<Record<string, LayerRange>>,
  atWindow: readonly string[],
  needsRoom: boolean,
): string[] | undefined {
  const context = {
    dataCentre: 'z',
    fleet: createFleet(layers),
    linkLoad: { estimateUtilisation: () => 0 },
    outlierEjection: { isEjected: () => false, counts: {} },
    serverPace: {
      isAtWindow: ({ entry }: { entry: { id: string } }) => atWindow.includes(entry.id),
    },
    logs: () => ({ info: () => undefined }),
  } as unknown as EntryContext;
  const request = {
    service: { name: 'generation' },
    route: { targetMilliseconds: 500, gapTargetMilliseconds: 200 },
    metadata: { promptTokens: 10, maximumOutputTokens: 10, expectedOutputTokens: 10 },
  } as unknown as EntryRequest;
  const selector = new ChainSelector(context, request, PROFILE, () => true);
  return selector.choose({ hasStarted: false, needsRoom })?.stages.map(({ engine }) => engine.id);
}

test('engines at their windows: they are avoided where other engines hold their layers', () => {
  const first = { from: 0, to: HALF };
  const second = { from: HALF, to: WHOLE.to };
  [false, true].forEach((needsRoom) => {
    for (let count = 0; count < 20; count += 1)
      assert.deepEqual(choose({ new: first, a: first, b: second }, ['new'], needsRoom), ['a', 'b']);
  });
});

// Coverage must not depend on windows, not even while a stream waits for room.
test('engines at their windows: the only holder of a layer is used all the same', () => {
  const first = { from: 0, to: HALF };
  const second = { from: HALF, to: WHOLE.to };
  [false, true].forEach((needsRoom) => {
    assert.deepEqual(choose({ new: first, b: second }, ['new'], needsRoom), ['new', 'b']);
    assert.deepEqual(choose({ new: first, b: second }, ['new', 'b'], needsRoom), ['new', 'b']);
    // One layer of its range has no other holder.
    const short = { from: 0, to: HALF - 1 };
    assert.ok(choose({ new: first, a: short, b: second }, ['new'], needsRoom)?.includes('new'));
  });
});

test('replicas at their windows: they get a call only where no other replica can run it', () => {
  const fleet = createFleet({ new: undefined, old: undefined });
  const options = {
    dataCentre: 'z',
    callTimes: {
      expectedMilliseconds: (id: string) => (id === 'old' ? 5000 : 1),
      reportedLoad: () => 0,
    },
    serverPace: { isAtWindow: ({ entry }: { entry: { id: string } }) => entry.id === 'new' },
  };
  const choice = chooseReplica({ ...options, replicas: fleet.servers });
  assert.equal(choice?.entry.id, 'old');
  const only = fleet.servers.filter(({ entry }) => entry.id === 'new');
  assert.equal(chooseReplica({ ...options, replicas: only })?.entry.id, 'new');
});
