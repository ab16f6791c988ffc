import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createPeerRecord } from '../../tools/peer-record.js';
import { decodeDocument, encodeDocument, MINIMUM_COMPRESSIBLE_BYTES } from './document-encoding.js';

/** As large as a configuration that was extended by many routes. */
const CONFIGURATION = {
  routes: Array.from({ length: 1650 }, (_, index) => ({
    name: `route-${index}`,
    host: 'site.example',
    prefix: `/${(index * 7919).toString(36)}/`,
    kind: 'streaming',
    timeout: 20_000,
    attempts: 2,
  })),
};

// Copies of 200 KB to each of 71 instances filled links of 14 to 20 Mbit/s for seconds.
test('late configuration: a large one is sent to peers in a tenth of its size, and encoded once', async () => {
  const plain = await encodeDocument(CONFIGURATION, undefined);
  assert.equal(plain.encoding, undefined);
  const encoded = await encodeDocument(CONFIGURATION, 'gzip');
  assert.ok(encoded.body.length * 10 < plain.body.length, `${encoded.body.length}`);
  assert.equal((await encodeDocument(CONFIGURATION, 'gzip')).body, encoded.body);
  assert.deepEqual(await decodeDocument(encoded), CONFIGURATION);
  assert.deepEqual(await decodeDocument(plain), CONFIGURATION);
});

// Records between data centres were sent plain: two thirds of their bytes are names of fields.
test('document encoding: the records of an exchange are sent in a third of their size', async () => {
  const records = Array.from({ length: 12 }, (_, index) => createPeerRecord(`entry-${index}`));
  const options = { minimumBytes: MINIMUM_COMPRESSIBLE_BYTES };
  const encoded = await encodeDocument(records, 'gzip', options);
  assert.equal(encoded.encoding, 'gzip');
  assert.ok(3 * encoded.body.length < JSON.stringify(records).length, `${encoded.body.length}`);
  assert.deepEqual(await decodeDocument(encoded), records);
  assert.equal((await encodeDocument([], 'gzip', options)).encoding, undefined);
});

test('document encoding: small and plain values are sent as they are, nonsense is an error', async () => {
  for (const value of [{}, [], { a: 1 }, 'text', 7, null]) {
    const encoded = await encodeDocument(value, 'gzip');
    assert.equal(encoded.encoding, undefined);
    assert.deepEqual(await decodeDocument(encoded), value);
  }
  const body = Buffer.from('no document');
  await assert.rejects(decodeDocument({ body, encoding: undefined }));
  await assert.rejects(decodeDocument({ body, encoding: 'gzip' }));
});
