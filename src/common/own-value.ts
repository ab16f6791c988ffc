/** Reads maps whose keys come from outside, such as names of servers, from plain objects. */

/**
 * Returns what an object holds itself under a name. Handles names such as `constructor`, under which each
 * object inherits something else.
 *
 * @param values - The object.
 * @param name - Any name.
 * @returns The value, or undefined if there is none.
 */
export function getOwnValue<T>(values: Readonly<Record<string, T>>, name: string): T | undefined {
  return Object.hasOwn(values, name) ? values[name] : undefined;
}
