import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeDocument, encodeDocument } from './document-encoding.js';

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
