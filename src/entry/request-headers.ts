/** Tells apart the headers of a request that concern one connection only. */

/** Headers that apply to a single connection and are not relayed, in requests and responses. */
export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Further headers of a request that its sender sets anew. */
const REPLACED_REQUEST_HEADERS = new Set([
  'proxy-authenticate',
  'proxy-authorization',
  'content-length',
  'expect',
]);

/** Returns the further hop-by-hop headers that the Connection header of a request names. */
function readConnectionHeaderNames(rawHeaders: readonly string[]): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'connection')
      rawHeaders[index + 1]?.split(',').forEach((name) => names.add(name.trim().toLowerCase()));
  }
  return names;
}

/**
 * Lists the headers of a request that are relayed, as they were sent.
 *
 * @param rawHeaders - Alternating names and values.
 * @returns The same without hop-by-hop headers, those that the Connection header names, and the length.
 */
export function listEndToEndHeaders(rawHeaders: readonly string[]): [string, string][] {
  const hopByHopNames = readConnectionHeaderNames(rawHeaders);
  const headers: [string, string][] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index] ?? '';
    const key = name.toLowerCase();
    const isRelayed =
      !HOP_BY_HOP_HEADERS.has(key) && !REPLACED_REQUEST_HEADERS.has(key) && !hopByHopNames.has(key);
    if (isRelayed) headers.push([name, rawHeaders[index + 1] ?? '']);
  }
  return headers;
}
