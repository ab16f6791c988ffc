import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { EngineStage, Receipt } from '../backend/engine-protocol.js';
import { checkReceipts } from './receipts.js';
import { formatResumeId, safeParseResumeId } from './resume-id.js';

const LAYER_BOUNDARIES = [0, 3, 5, 8];
const ADDRESS = { host: '127.0.0.1', port: 1 };
const ROUTE: EngineStage[] = LAYER_BOUNDARIES.slice(1).map((to, index) => ({
  engine: `engine-${index}`,
  address: ADDRESS,
  dataCentre: 'dc-a',
  from: LAYER_BOUNDARIES[index] ?? 0,
  to,
}));
const VALID: Receipt[] = ROUTE.map(({ engine, from, to }) => ({
  engine,
  from,
  to,
  position: 4,
  attempt: 2,
}));
const EXPECTED = { attempt: 2, position: 4, route: ROUTE, totalLayers: 8 };

function listIssueCodes(receipts: Receipt[]): string[] {
  const event = { kind: 'token' as const, token: 'x', position: 4, attempt: 2, receipts };
  return checkReceipts(event, EXPECTED).map((issue) => issue.code);
}

test('receipts: a token with one receipt per stage, in order, is accepted', () => {
  assert.deepEqual(listIssueCodes(VALID), []);
});

test('receipts: a missing, repeated, reordered or altered receipt is detected', () => {
  const index = fc.nat(VALID.length - 1);
  const invalidReceipts = fc.oneof(
    index.map((missing) => VALID.filter((_, other) => other !== missing)),
    index.map((repeated) => [...VALID.slice(0, repeated + 1), ...VALID.slice(repeated)]),
    fc.constant([...VALID].reverse()),
    fc
      .tuple(index, fc.constantFrom('from', 'to', 'position', 'attempt'), fc.constantFrom(-1, 1))
      .map(([at, field, offset]) =>
        VALID.map((one, other) =>
          other === at ? { ...one, [field]: (one[field as 'from'] ?? 0) + offset } : one,
        ),
      ),
    index.map((at) => VALID.map((one, other) => (other === at ? { ...one, engine: 'x' } : one))),
  );
  fc.assert(
    fc.property(invalidReceipts, (receipts) => assert.notDeepEqual(listIssueCodes(receipts), [])),
    { seed: 6 },
  );
});

test('resume id: a formatted id is parsed to the same values', () => {
  const id = fc.record({
    position: fc.nat(999_999),
    checksum: fc.nat(0xffffffff),
    seed: fc.nat(0x7fffffff),
    version: fc.stringMatching(/^[A-Za-z0-9._:-]{1,30}$/),
    adapter: fc.stringMatching(/^[A-Za-z0-9._:~ -]{0,30}$/),
  });
  fc.assert(
    fc.property(id, (resumeId) => {
      assert.deepEqual(safeParseResumeId(formatResumeId(resumeId)).unsafeCoerce(), { ...resumeId });
    }),
    { seed: 7 },
  );
});
