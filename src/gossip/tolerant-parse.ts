/**
 * Parses what another build may have written: an entry or an optional field that doesn't match is left out,
 * so that it doesn't cost the others.
 */
import type { z } from 'zod';

/** What could be read. */
export interface TolerantResult<T> {
  /** Undefined when something that is required doesn't match. */
  readonly value: T | undefined;
  /** What was left out, or why nothing could be read; undefined if all of it matches. */
  readonly message: string | undefined;
}

const MAXIMUM_MESSAGE_CHARACTERS = 200;
/** Deeper parts belong to the entry that holds them. */
const MAXIMUM_ENTRY_DEPTH = 3;

type Path = readonly PropertyKey[];
type Container = Record<PropertyKey, unknown>;

function isContainer(value: unknown): value is Container {
  return typeof value === 'object' && value !== null;
}

function isMap(schema: unknown): boolean {
  const { type } = (schema as { def?: { type?: string } } | undefined)?.def ?? {};
  return type === 'record' || type === 'array';
}

/** Unwraps an optional schema. */
function unwrap(schema: unknown): unknown {
  const { innerType } = (schema as { def?: { innerType?: unknown } } | undefined)?.def ?? {};
  return innerType ?? schema;
}

/** The path of the entry in a map or list, or of the field, that an issue is about. */
function findEntryPath(schema: z.ZodObject, path: Path): Path {
  let fields: Container | undefined = schema.shape;
  for (let depth = 0; depth < Math.min(path.length - 1, MAXIMUM_ENTRY_DEPTH); depth += 1) {
    const field = unwrap(fields?.[path[depth] as string]);
    if (isMap(field)) return path.slice(0, depth + 2);
    fields = (field as { shape?: Container }).shape;
    if (!fields) return path.slice(0, depth + 1);
  }
  return path;
}

/** Copies a value without the entries or fields at these paths. */
function omit(value: unknown, paths: readonly Path[]): unknown {
  // What is kept whole isn't walked through: it may be nested deeper than the stack is.
  if (!isContainer(value) || paths.length === 0) return value;
  const removed = new Set(paths.filter(({ length }) => length === 1).map(([name]) => String(name)));
  const keep = (name: string): unknown =>
    omit(
      value[name],
      paths
        .filter((path) => path.length > 1 && String(path[0]) === name)
        .map((path) => path.slice(1)),
    );
  const names = Object.keys(value).filter((name) => !removed.has(name));
  if (Array.isArray(value)) return names.map(keep);
  return Object.fromEntries(names.map((name) => [name, keep(name)]));
}

/**
 * Parses a value and leaves out entries and optional fields that don't match.
 *
 * @param schema - The schema of the whole value.
 * @param value - What another instance has written.
 * @returns What could be read, and what could not.
 */
export function parseTolerantly<Schema extends z.ZodObject>(
  schema: Schema,
  value: unknown,
): TolerantResult<z.output<Schema>> {
  const result = schema.safeParse(value);
  if (result.success) return { value: result.data, message: undefined };
  const { issues } = result.error;
  const message = issues
    .map(({ path, message: text }) => `${path.map(String).join('.')}: ${text}`)
    .join('; ')
    .slice(0, MAXIMUM_MESSAGE_CHARACTERS);
  const paths = issues.map(({ path }) => findEntryPath(schema, path));
  if (paths.some(({ length }) => length === 0)) return { value: undefined, message };
  return { value: schema.safeParse(omit(value, paths)).data, message };
}
