/**
 * Samples of what an earlier build wrote, taken from its running processes, and the shapes that it
 * needs in order to read what another build writes. Both are data, in tests/samples.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';

const SAMPLES_FILE = new URL('../../tests/samples/54dcae2.json', import.meta.url);

interface EarlierBuild {
  readonly samples: Readonly<Record<string, unknown>>;
  /**
   * By format. The name of a type, or several with `|` in between; a tuple, by position; `[]` for each
   * item of a list; `*` for each entry of a map; or fields by name, with `?` behind optional ones.
   */
  readonly shapes: Readonly<Record<string, unknown>>;
}

const EARLIER = JSON.parse(readFileSync(SAMPLES_FILE, 'utf8')) as EarlierBuild;

type Fields = Readonly<Record<string, unknown>>;

/** Reads a sample. The caller's tests fail if it is not what the caller takes it for. */
export function readSample<T = unknown>(name: string): T {
  assert.ok(name in EARLIER.samples, `there is a sample ${name}`);
  return structuredClone(EARLIER.samples[name]) as T;
}

function checkFields(shape: Fields, value: Fields, path: string): void {
  Object.entries(shape).forEach(([field, inner]) => {
    const name = field.replace(/\?$/, '');
    if (name !== field && value[name] === undefined) return;
    check(inner, value[name], `${path}.${name}`);
  });
}

function check(shape: unknown, value: unknown, path: string): void {
  if (typeof shape === 'string') {
    const type = value === null ? 'null' : typeof value;
    assert.ok(shape.split('|').includes(type), `${path} is ${type} instead of ${shape}`);
    return;
  }
  assert.ok(typeof value === 'object' && value !== null, `${path} is not there`);
  const fields = shape as Fields;
  if (Array.isArray(shape) || '[]' in fields) assert.ok(Array.isArray(value), `${path} is no list`);
  if (Array.isArray(shape)) assert.equal(Object.keys(value).length, shape.length, path);
  const each = fields['*'] ?? fields['[]'];
  if (each === undefined) checkFields(fields, value as Fields, path);
  else Object.entries(value).forEach(([name, entry]) => check(each, entry, `${path}.${name}`));
}

/**
 * Checks that the earlier build can read a value.
 *
 * @param format - The name of the format.
 * @param value - What today's build writes.
 * @throws AssertionError when a field that the earlier build needs is missing or of another type.
 */
export function assertEarlierBuildReads(format: string, value: unknown): void {
  assert.ok(format in EARLIER.shapes, `there is a shape ${format}`);
  check(EARLIER.shapes[format], JSON.parse(JSON.stringify(value)), format);
}
