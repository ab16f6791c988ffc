/** Reads the target of an HTTP request, in origin form (`/path`) or absolute form. */

/** Where a request is addressed to. */
export interface RequestTarget {
  /** In lower case, without the port; empty when the request names none. */
  readonly host: string;
  /** The path with its query, as the caller sent it; starts with a slash. */
  readonly path: string;
}

const ABSOLUTE_FORM = /^https?:\/\/([^/?#]+)(\/.*)?$/i;
const PORT = /:\d+$/;

/**
 * Parses a request's target.
 *
 * @param target - The target of the request line.
 * @param hostHeader - The Host header, which a host in the target overrides.
 * @returns The target, or undefined when it has neither form.
 */
export function parseRequestTarget(
  target: string,
  hostHeader: string | undefined,
): RequestTarget | undefined {
  const absolute = ABSOLUTE_FORM.exec(target);
  if (!absolute && !target.startsWith('/')) return undefined;
  const [, host = hostHeader ?? '', path = absolute ? '/' : target] = absolute ?? [];
  return { host: host.replace(PORT, '').toLowerCase(), path };
}
