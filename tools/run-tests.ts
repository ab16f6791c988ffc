/**
 * Runs all test files, or those whose path contains the first argument, and compares the failures
 * with KNOWN-RED.txt, the list of known failures. Exits with 0 if no test fails that is not listed
 * there and at least one test passes.
 */
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec as SpecReporter } from 'node:test/reporters';
import { fileURLToPath } from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const COMPILED_DIRECTORY = path.join(ROOT, 'dist');
const KNOWN_FAILURES_FILE = path.join(ROOT, 'KNOWN-RED.txt');
const FILE_TIMEOUT_MILLISECONDS = 300_000;
const MAXIMUM_CONCURRENT_FILES = 3;

/** Finds the compiled tests; what is left of a test that was moved or removed is not run. */
function findTestFiles(filter: string): string[] {
  return readdirSync(COMPILED_DIRECTORY, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.test.js') && name.includes(filter))
    .filter((name) => existsSync(path.join(ROOT, name.replace(/\.js$/, '.ts'))))
    .map((name) => path.join(COMPILED_DIRECTORY, name))
    .sort();
}

/**
 * Reads the names of the listed tests; each entry of the file begins with a line `test: <name>`.
 */
function readKnownFailures(): string[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return readFileSync(KNOWN_FAILURES_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function runFiles(files: string[]): Promise<{ passed: number; failed: Set<string> }> {
  const failed = new Set<string>();
  let passed = 0;
  const events = run({
    files,
    concurrency: MAXIMUM_CONCURRENT_FILES,
    timeout: FILE_TIMEOUT_MILLISECONDS,
  });
  events.on('test:pass', ({ details }) => {
    if (details.type !== 'suite') passed += 1;
  });
  events.on('test:fail', ({ name, details }) => {
    if (details.type !== 'suite') failed.add(name);
  });
  return new Promise((resolve) => {
    const report = events.compose(new SpecReporter());
    report.on('end', () => resolve({ passed, failed }));
    report.pipe(process.stdout);
  });
}

const files = findTestFiles(process.argv[2] ?? '');
const knownFailures = new Set(readKnownFailures());
const { passed, failed } = await runFiles(files);
const unexpectedFailures = [...failed].filter((name) => !knownFailures.has(name));
const expectedFailures = [...failed].filter((name) => knownFailures.has(name));
const notFailed = [...knownFailures].filter((name) => !failed.has(name));
expectedFailures.forEach((name) => process.stdout.write(`known red, see KNOWN-RED.txt: ${name}\n`));
notFailed.forEach((name) =>
  process.stdout.write(`listed in KNOWN-RED.txt but passed or not run: ${name}\n`),
);
unexpectedFailures.forEach((name) => process.stdout.write(`FAILED: ${name}\n`));
process.stdout.write(`${passed} passed, ${failed.size} failed\n`);
process.exit(unexpectedFailures.length === 0 && passed > 0 ? 0 : 1);
