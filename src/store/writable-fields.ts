/**
 * Keeps what other builds wrote in an object that is written again. Handles a value that is nested so deeply that
 * it can't be put into JSON, which would make each write fail.
 */

/** Far more than any object of the product has, and far less than JSON takes. */
const MAXIMUM_LEVELS = 100;

function listParts(value: unknown): unknown[] {
  return typeof value === 'object' && value !== null ? Object.values(value) : [];
}

function isTooDeep(value: unknown): boolean {
  let parts = [value];
  for (let level = 0; level < MAXIMUM_LEVELS && parts.length > 0; level += 1)
    parts = parts.flatMap(listParts);
  return parts.length > 0;
}

/**
 * Leaves out the fields that are nested too deeply to be written.
 *
 * @param fields - An object as it was read from the store.
 * @returns The other fields.
 */
export function keepWritableFields<T extends Readonly<Record<string, unknown>>>(fields: T): T {
  const kept = Object.entries(fields).filter(([, value]) => !isTooDeep(value));
  return Object.fromEntries(kept) as T;
}
