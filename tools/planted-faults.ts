/**
 * Mutation test of the test suite: puts one fault at a time into the compiled code, runs the test
 * that must fail because of it, and restores the code. Requires a completed build. The first
 * argument restricts the run to faults whose name contains it.
 */
import { spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

/** A change of the compiled code that a test must detect. */
interface PlantedFault {
  readonly name: string;
  /** The compiled file, relative to `dist/src`. */
  readonly file: string;
  /** The code to replace; only its first occurrence is replaced. */
  readonly find: string;
  readonly replace: string;
  /** The compiled test file, relative to `dist`. */
  readonly test: string;
  /** A regular expression for the names of the tests of which at least one must fail. */
  readonly pattern: string;
}

const DIST = fileURLToPath(new URL('../', import.meta.url));
const TEST_TIMEOUT_MILLISECONDS = 120_000;

const FAULTS: readonly PlantedFault[] = [
  {
    name: 'a claim is granted although another request holds the key',
    file: 'claims/claim-shard.js',
    find: 'if (entry && entry.token !== token)',
    replace: 'if (false)',
    test: 'tests/at-most-once.test.js',
    pattern: 'same moment',
  },
  {
    name: 'a call runs although its claim could not be obtained',
    file: 'service/at-most-once.js',
    find: "if (result.kind === 'granted')",
    replace:
      "if (result.kind === 'unavailable') return request.run();\n        if (result.kind === 'granted')",
    test: 'tests/at-most-once.test.js',
    pattern: 'object store is unavailable',
  },
  {
    name: 'a ticket can be used twice',
    file: 'claims/ticket-store.js',
    find: 'entry.outcome = run();',
    replace: 'return run();',
    test: 'tests/at-most-once.test.js',
    pattern: 'object store is unavailable',
  },
  {
    name: 'a call that may have run is sent again',
    file: 'service/dispatch.js',
    find: 'if (!isIdempotent)',
    replace: 'if (false)',
    test: 'tests/at-most-once.test.js',
    pattern: 'answer is lost',
  },
  {
    name: 'receipts are not checked',
    file: 'pipeline/receipts.js',
    find: 'return issues;',
    replace: 'return [];',
    test: 'tests/generation.test.js',
    pattern: 'running its layers twice',
  },
  {
    name: 'a resumed stream is not compared with the tokens that the caller has',
    file: 'caller/completions.js',
    find: 'checksum !== resume.checksum',
    replace: 'false',
    test: 'tests/generation.test.js',
    pattern: 'not its own',
  },
  {
    name: 'a silent engine is not detected',
    file: 'pipeline/generation.js',
    find: 'return Math.max(this.#context.tokenSilenceMilliseconds',
    replace: 'return 1e6 + Math.max(this.#context.tokenSilenceMilliseconds',
    test: 'tests/generation.test.js',
    pattern: 'is frozen',
  },
  {
    name: 'leaving backend servers get new requests',
    file: 'backend/backend-server.js',
    find: "this.state === 'serving' &&",
    replace: '',
    test: 'tests/stopping.test.js',
    pattern: 'leaving engine',
  },
  {
    name: 'a stopping instance does not wait until callers use other addresses',
    file: 'daemon/daemon.js',
    find: 'await sleep(settings.timeLimits.addressesKept + DRAIN_MARGIN_MILLISECONDS);',
    replace: '',
    test: 'tests/stopping.test.js',
    pattern: 'rolling restart',
  },
  {
    name: 'an older revision of a branch comes into force',
    file: 'configuration/configuration-in-force.js',
    find: 'current.revision >= branch.revision',
    replace: 'current.revision === branch.revision',
    test: 'tests/configuration.test.js',
    pattern: 'older copies',
  },
  {
    name: 'a change whose response was lost is not recognised on its retry',
    file: 'configuration/commands/apply-change.js',
    find: 'stored.branch.recentChanges.some((recent) => recent.id === change.id)',
    replace: 'false',
    test: 'tests/configuration.test.js',
    pattern: 'operators race',
  },
  {
    name: 'a branch that the platform lost is not written back',
    file: 'configuration/watch-task.js',
    find: 'storedRevision < branch.revision',
    replace: 'false',
    test: 'tests/configuration.test.js',
    pattern: 'lost accepted changes',
  },
  {
    name: 'a request that crashes backend servers is never rejected',
    file: 'routing/crash-guard.js',
    find: 'if (open.length >= MAXIMUM_CRASHES)',
    replace: 'if (false)',
    test: 'tests/crash-request.test.js',
    pattern: 'crash request',
  },
  {
    name: 'a lease holder gives an order without checking its lease',
    file: 'placement/lease-manager.js',
    find: 'now + this.#options.orderTimeoutMilliseconds < held.validUntil',
    replace: 'true',
    test: 'src/placement/lease-manager.test.js',
    pattern: 'paused holder',
  },
  {
    name: 'another instance takes over a lease that has not expired',
    file: 'placement/lease.js',
    find: 'return now - observation.firstSeenAt > waitMilliseconds;',
    replace: 'return true;',
    test: 'src/placement/lease-manager.test.js',
    pattern: 'two holders',
  },
  {
    name: 'a watch of the servers waits for 10 s, also on a connection that went silent',
    file: 'store/confirmation.js',
    find: 'waitMilliseconds: Math.round(WAIT_SHARE * contactMilliseconds)',
    replace: 'waitMilliseconds: 10_000',
    test: 'tests/silent-store.test.js',
    pattern: 'servers, when its connection went silent',
  },
  {
    name: 'a kept connection to a peer that went silent is waited for in vain',
    file: 'gossip/peer-connections.js',
    find: '!isKeptConnectionSilent(error) ||',
    replace: 'true ||',
    test: 'src/gossip/gossip.test.js',
    pattern: 'kept connections went silent',
  },
  {
    name: 'revisions of a store are compared across its eras',
    file: 'store/store-position.js',
    find: 'return one.era > other.era',
    replace: 'return one.revision > other.revision',
    test: 'tests/older-store.test.js',
    pattern: 'leaves after the store came back',
  },
  {
    name: 'a term of the planner lease takes no account of the era',
    file: 'layers/planner-lease.js',
    find: 'era * TERMS_PER_ERA) + 1',
    replace: '0) + 1',
    test: 'src/layers/planner-lease.test.js',
    pattern: 'two holders',
  },
  {
    name: 'an answer that announces another protocol settles nothing',
    file: 'relay/backend-request.js',
    find: "reject(new HttpRequestError(phase, 'The connection ended without a response.'))",
    replace: 'undefined',
    test: 'src/relay/backend-request.test.js',
    pattern: 'announces another protocol',
  },
];

/** Puts the fault in, runs its test and restores the file; returns whether the test failed. */
function isFound(fault: PlantedFault): boolean {
  const file = path.join(DIST, 'src', fault.file);
  const original = readFileSync(file, 'utf8');
  if (!original.includes(fault.find))
    throw new Error(`${fault.file} does not contain "${fault.find}"`);
  writeFileSync(file, original.replace(fault.find, fault.replace));
  try {
    const test = path.join(DIST, fault.test);
    const nodeArguments = ['--test', `--test-name-pattern=${fault.pattern}`, test];
    const { status } = spawnSync(process.execPath, nodeArguments, {
      timeout: TEST_TIMEOUT_MILLISECONDS,
    });
    return status !== 0;
  } finally {
    writeFileSync(file, original);
  }
}

const filter = process.argv[2] ?? '';
const planted = FAULTS.filter(({ name }) => name.includes(filter));
const missed = planted.filter((fault) => {
  const found = isFound(fault);
  process.stdout.write(
    `${found ? 'found ' : 'MISSED'}  ${fault.name} (${fault.test}: ${fault.pattern})\n`,
  );
  return !found;
});
process.stdout.write(
  `${planted.length - missed.length} of ${planted.length} planted faults were found\n`,
);
process.exit(missed.length === 0 ? 0 : 1);
