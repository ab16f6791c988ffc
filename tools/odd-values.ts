/** Values as another writer may leave them: sound ones with parts that are replaced by odd ones. */
import fc from 'fast-check';

/** Deeper than what the stack of a recursive function takes. */
const NESTED_LEVELS = 100_000;

/** Creates a value that is nested more deeply than JSON can be written. */
export function createNested(): unknown {
  let value: unknown = {};
  for (let level = 0; level < NESTED_LEVELS; level += 1) value = { value };
  return value;
}

const NESTED = createNested();
const ODD_PARTS = [
  1e9,
  1e300,
  Number.MAX_VALUE,
  -Number.MAX_VALUE,
  Number.MAX_SAFE_INTEGER,
  70_000,
  80.5,
  0,
  -1,
  null,
  true,
  '',
  '1e3',
  [],
  {},
  NESTED,
];

/** Lists the paths to all parts of a value. */
function listPaths(value: unknown): (readonly string[])[] {
  if (typeof value !== 'object' || value === null) return [[]];
  const inner = Object.entries(value).flatMap(([name, part]) =>
    listPaths(part).map((path) => [name, ...path]),
  );
  return [[], ...inner];
}

function replaceAt(value: unknown, [name, ...path]: readonly string[], part: unknown): unknown {
  if (name === undefined || typeof value !== 'object' || value === null) return part;
  const replace = (key: string, old: unknown): unknown =>
    key === name ? replaceAt(old, path, part) : old;
  if (Array.isArray(value)) return value.map((old, index) => replace(String(index), old));
  const fields = Object.entries(value).map(([key, old]) => [key, replace(key, old)] as const);
  return Object.fromEntries(fields);
}

/** Lists all numbers in a value. */
export function listNumbers(value: unknown): number[] {
  if (typeof value === 'number') return [value];
  if (typeof value !== 'object' || value === null) return [];
  return Object.values(value).flatMap(listNumbers);
}

/**
 * Creates values that differ from a sound one in some parts, also as a whole, and in fields that it lacks.
 *
 * @param sound - A sound value, with all fields.
 * @returns The arbitrary of odd values.
 */
export function createOddValues(sound: unknown): fc.Arbitrary<unknown> {
  const change = fc.tuple(
    fc.constantFrom(...listPaths(sound), ['unknown field']),
    fc.oneof(fc.constantFrom<unknown>(...ODD_PARTS), fc.jsonValue()),
  );
  const changes = fc.array(change, { minLength: 1, maxLength: 3 });
  const changed = changes.map((list) =>
    list.reduce<unknown>((value, [path, part]) => {
      if (path.length === 1 && typeof value === 'object' && value !== null && !Array.isArray(value))
        return { ...value, [path[0] ?? '']: part };
      return replaceAt(value, path, part);
    }, sound),
  );
  return fc.oneof({ weight: 9, arbitrary: changed }, { weight: 1, arbitrary: fc.jsonValue() });
}
