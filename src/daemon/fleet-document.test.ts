import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { createOddValues } from '../../tools/odd-values.js';
import { decodeFleetDocument } from './fleet-document.js';

const ENTRY = {
  id: 'a',
  incarnation: '3',
  service: 'drafter',
  address: { host: '10.1.0.40', port: 8227 },
  dataCentre: 'zone-a',
  slots: 20,
  isLeaving: false,
  kind: 'card',
  layers: { from: 0, to: 8 },
};
const SOUND = { revision: 7, entries: [ENTRY], missingMilliseconds: { a: 100 } };
const HIGHEST = 65_535;

function readIds(entries: readonly unknown[]): string[] | undefined {
  return decodeFleetDocument({ ...SOUND, entries })?.entries.map(({ id }) => id);
}

// A peer of an older build passes such entries on.
test("odd entries: in a peer's list they name no server, and the others hold", () => {
  const odd = [
    { ...ENTRY, id: 'odd', layers: { from: 0, to: 1e9 } },
    { ...ENTRY, id: 'odd', layers: { from: 5, to: 5 } },
    { ...ENTRY, id: 'odd', layers: 'all' },
    { ...ENTRY, id: 'odd', slots: Number.MAX_SAFE_INTEGER },
    { ...ENTRY, id: 'odd', address: { host: '10.1.0.40', port: 70_000 } },
    { ...ENTRY, id: 'odd', address: { host: '10.1.0.40', port: 80.5 } },
    { ...ENTRY, id: 'odd', address: { host: 'elsewhere', port: 80 } },
  ];
  odd.forEach((entry) => assert.deepEqual(readIds([entry, ENTRY]), ['a'], JSON.stringify(entry)));
  const { layers, ...withoutLayers } = ENTRY;
  assert.deepEqual(readIds([withoutLayers, { ...ENTRY, id: 'b', layers }]), ['a', 'b']);
});

test("odd entries: any list of a peer's is read without an error, and gives no number out of bounds", () => {
  fc.assert(
    fc.property(createOddValues(SOUND), (value) => {
      const document = decodeFleetDocument(value);
      if (!document) return;
      assert.ok(Number.isSafeInteger(document.revision) && document.revision >= 0);
      Object.values(document.missingMilliseconds).forEach((time) => assert.ok(time >= 0));
      document.entries.forEach(({ slots, address: { port }, layers }) => {
        [slots, port, layers?.from ?? 0, layers?.to ?? 0].forEach((number) =>
          assert.ok(Number.isInteger(number) && number >= 0 && number <= HIGHEST, String(number)),
        );
        assert.ok(!layers || layers.from < layers.to);
      });
    }),
    { seed: 31, numRuns: 1000 },
  );
});
