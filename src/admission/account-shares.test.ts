import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AccountShares } from './account-shares.js';

const CLASS = { service: 'model', priority: 1 };

function createShares() {
  const clock = { now: 0 };
  return { clock, shares: new AccountShares(() => clock.now) };
}

function begin(shares: AccountShares, account: string, count: number): (() => void)[] {
  return Array.from({ length: count }, () => shares.begin({ ...CLASS, account }));
}

test('account shares: one heavy account is over its share, light ones and a sole one are not', () => {
  const { shares } = createShares();
  begin(shares, 'heavy', 10);
  assert.equal(shares.find({ ...CLASS, account: 'heavy' }).isOver, false);
  Array.from({ length: 8 }, (_, index) => begin(shares, `light-${index}`, 2));
  assert.equal(shares.find({ ...CLASS, account: 'heavy' }).isOver, true);
  assert.equal(shares.find({ ...CLASS, account: 'light-1' }).isOver, false);
  assert.equal(shares.find({ ...CLASS, account: 'unknown' }).isOver, false);
});

test('account shares: requests that have ended no longer count', () => {
  const { shares } = createShares();
  const ends = begin(shares, 'heavy', 10);
  begin(shares, 'light', 1);
  ends.forEach((end) => {
    end();
    end();
  });
  assert.deepEqual(shares.reported, [['model', 1, 1, [['light', 1]]]]);
  assert.equal(shares.find({ ...CLASS, account: 'heavy' }).load, 0);
});

// Peers took the accounts of a class that a record had no place for to have no requests.
test('account shares: a class without a place for its accounts is reported with its total', () => {
  const { shares } = createShares();
  Array.from({ length: 16 }, (_, index) => begin(shares, `busy-${index}`, 3));
  shares.begin({ ...CLASS, priority: 0, account: 'urgent' });
  assert.deepEqual(
    shares.reported?.find(([, priority]) => priority === 0),
    ['model', 0, 1, []],
  );
});

// An account that spreads its requests over all instances is light at each of them.
test('account shares: the requests at peers count', () => {
  const { shares } = createShares();
  begin(shares, 'heavy', 2);
  begin(shares, 'light', 2);
  const peer = createShares().shares;
  begin(peer, 'heavy', 5);
  begin(peer, 'light', 1);
  ['one', 'two', 'three'].forEach((instance) => shares.merge(instance, peer.reported));
  const share = shares.find({ ...CLASS, account: 'heavy' });
  assert.deepEqual([share.load, share.meanOfOthers, share.isOver], [17, 5, true]);
});

test('account shares: loads of peers whose records stop are dropped after three seconds', () => {
  const { clock, shares } = createShares();
  begin(shares, 'light', 1);
  shares.merge('peer', [['model', 1, 20, [['heavy', 20]]]]);
  const key = { ...CLASS, account: 'heavy' };
  assert.equal(shares.find(key).isOver, true);
  clock.now = 2900;
  assert.equal(shares.find(key).oldestRecordMilliseconds, 2900);
  assert.equal(shares.find(key).isOver, true);
  clock.now = 3300;
  assert.equal(shares.find(key).isOver, false);
  assert.equal(shares.find(key).oldestRecordMilliseconds, undefined);
  assert.equal(shares.newestRecordMilliseconds, 3300);
});

// With all accounts, the records of a large deployment would exceed the traffic that control work may cause.
test('account shares: a record has the 16 accounts with the most requests, and the total of all', () => {
  const { shares } = createShares();
  Array.from({ length: 1900 }, (_, index) => begin(shares, `light-${index}`, 1));
  begin(shares, 'heavy', 5);
  const [entry] = shares.reported ?? [];
  assert.ok(entry);
  const [, , total, accounts] = entry;
  assert.equal(total, 1905);
  assert.equal(accounts.length, 16);
  assert.deepEqual(accounts[0], ['heavy', 5]);
  assert.ok(JSON.stringify(shares.reported).length < 400);
});

test('account shares: without requests of client accounts, a record has no loads', () => {
  assert.equal(createShares().shares.reported, undefined);
});

test('account shares: an account may be named like what each object inherits', () => {
  const { shares } = createShares();
  begin(shares, '__proto__', 5);
  begin(shares, 'light', 1);
  shares.merge('peer', [['__proto__', 0, 1, [['constructor', 1]]]]);
  assert.equal(shares.find({ ...CLASS, account: '__proto__' }).isOver, true);
});
