/** Network addresses: an IP address and a port. */
import { z } from 'zod';

export const Address = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]),
  port: z.number().int().min(1).max(65_535),
});
export type Address = z.infer<typeof Address>;

/** Not what JavaScript reads as a number, such as `1e3` or ` 80`. */
const PORT = /^\d{1,5}$/;

/**
 * Formats an address as `host:port`.
 *
 * @returns The text form, with an IPv6 host in brackets.
 */
export function formatAddress(address: Address): string {
  const host = address.host.includes(':') ? `[${address.host}]` : address.host;
  return `${host}:${address.port}`;
}

/**
 * Parses the text form of an address.
 *
 * @param text - `host:port`, with an IPv4 address, or an IPv6 address in brackets, as host.
 * @returns The address, or undefined when the text is not a valid address.
 */
export function parseAddress(text: string): Address | undefined {
  const separator = text.lastIndexOf(':');
  if (separator < 0) return undefined;
  const host = text.slice(0, separator).replace(/^\[|\]$/g, '');
  const digits = text.slice(separator + 1);
  if (!PORT.test(digits)) return undefined;
  const port = Number(digits);
  const result = Address.safeParse({ host, port });
  return result.success ? result.data : undefined;
}

/** Tells whether two addresses are the same. */
export function isSameAddress(one: Address, other: Address): boolean {
  return one.host === other.host && one.port === other.port;
}
