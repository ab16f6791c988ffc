import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EntryMetrics } from './entry-metrics.js';

const MAXIMUM_PAGE_BYTES = 400_000;

// Guards against one time series per account: 1,900 client accounts over five routes made the page
// grow to 12 MB.
test('entry metrics: the page stays small however many client accounts there are', async () => {
  const metrics = new EntryMetrics();
  for (let index = 0; index < 1900; index += 1) {
    const account = `account-${index}`;
    (['safe', 'unsafe', 'streaming'] as const).forEach((kind) => {
      metrics.recordRequest({ account, kind, outcome: 'completed' }, 0.1);
    });
  }
  const page = await metrics.renderPage();
  assert.ok(page.length < MAXIMUM_PAGE_BYTES, `${page.length} bytes`);
  assert.match(page, /sesamedyke_requests_total\{account="account-0",class="safe"[^}]*\} 1/);
  assert.match(page, /sesamedyke_requests_total\{account="other",class="safe"[^}]*\} 1800/);
});
