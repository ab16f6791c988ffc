/** Network addresses: an IP number and a port. */
import { z } from 'zod';

export const Address = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});
export type Address = z.infer<typeof Address>;

/**
 * Writes an address as `host:port`.
 *
 * @param address - The address to write.
 * @returns The text form; an IPv6 host is put in brackets.
 */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/**
 * Reads an address from its text form.
 *
 * @param text - `host:port` with an IP number as host.
 * @returns The address, or undefined when the text is none.
 */
export function parseAddress(text: string): Address | undefined {
  const separator = text.lastIndexOf(':');
  if (separator < 0) return undefined;
  const host = text.slice(0, separator).replace(/^\[|\]$/g, '');
  const port = Number(text.slice(separator + 1));
  const result = Address.safeParse({ host, port });
  return result.success ? result.data : undefined;
}
