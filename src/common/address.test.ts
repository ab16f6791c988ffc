import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { formatAddress, parseAddress } from './address.js';

const HOSTS = fc.oneof(fc.ipV4(), fc.ipV6());
const ODD_PORTS = fc.string({ unit: fc.constantFrom(...'0123456789abex.:+- ') });
const PORTS = fc.integer({ min: 1, max: 65_535 });

// Whatever JavaScript reads as a number was taken for a port: "1e3" for 1000, "0x50" for 80.
test('odd entries: a port is written in decimal digits, from 1 to 65535', () => {
  const odd = ['1e3', '0x50', '0b11', ' 80', '80 ', '\t80', '+80', '80.0', '8_0', '', '0', '00'];
  const tooLarge = ['65536', '70000', '-1', '-0', '1'.repeat(400)];
  [...odd, ...tooLarge].forEach((port) =>
    assert.equal(parseAddress(`127.0.0.1:${port}`), undefined, port),
  );
  assert.deepEqual(parseAddress('127.0.0.1:80'), { host: '127.0.0.1', port: 80 });
  assert.deepEqual(parseAddress('[::1]:65535'), { host: '::1', port: 65_535 });
});

test('odd entries: each address is read from its text form, and no other port is read', () => {
  fc.assert(
    fc.property(HOSTS, PORTS, (host, port) => {
      assert.deepEqual(parseAddress(formatAddress({ host, port })), { host, port });
    }),
  );
  fc.assert(
    fc.property(fc.ipV4(), fc.oneof(fc.string(), ODD_PORTS), (host, port) => {
      const address = parseAddress(`${host}:${port}`);
      assert.equal(
        address !== undefined,
        /^\d{1,5}$/.test(port) && Number(port) >= 1 && Number(port) <= 65_535,
      );
    }),
  );
});
