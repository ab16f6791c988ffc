/** Chooses which instances' addresses a client account should use, and in which order. */
import type { Address } from '../common/address.js';
import type { Member } from '../peer/member.js';
import { rankOwners } from '../routing/rendezvous.js';

/** The response to `GET /v1/addresses`. */
export interface AddressList {
  /** The addresses in the order in which to try them. */
  readonly addresses: (Address & { readonly instance: string; readonly dataCentre: string })[];
  /** How long a caller may cache the list. */
  readonly keepMilliseconds: number;
}

/** Options of {@link chooseAddresses}. */
export interface AddressOptions {
  /** The instances that accept requests. */
  readonly members: readonly Member[];
  readonly account: string;
  /** The data centre nearest to the caller, if the caller names one. */
  readonly dataCentre?: string | undefined;
  /** How many instances the account's request rate needs; may be a fraction. */
  readonly instancesNeeded?: number;
  /** How long a caller may cache the list. */
  readonly keepMilliseconds: number;
  readonly maximumAddresses?: number;
  /** Returns a random number from 0 up to, but not including, 1. */
  readonly random?: () => number;
}

function rotate<Item>(items: readonly Item[], offset: number): Item[] {
  return [...items.slice(offset), ...items.slice(0, offset)];
}

/**
 * Chooses addresses for a client account. An account that one instance can serve is sent to its
 * home instance, which counts its rate limit; an account that needs more is spread evenly over as
 * many instances as it needs. Instances in the caller's data centre come first.
 */
export function chooseAddresses(options: AddressOptions): AddressList {
  const { members, account, dataCentre, keepMilliseconds } = options;
  const { instancesNeeded = 1, maximumAddresses = 4, random = Math.random } = options;
  const membersByName = new Map(members.map((member) => [member.instance, member]));
  const isNear = (name: string): boolean => membersByName.get(name)?.dataCentre === dataCentre;
  const ranked = rankOwners(account, [...membersByName.keys()], membersByName.size);
  const ordered = [...ranked.filter(isNear), ...ranked.filter((name) => !isNear(name))];
  const preferredCount = Math.min(ordered.length, Math.max(1, Math.ceil(instancesNeeded)));
  // Each response starts at a random preferred instance, which spreads the callers evenly.
  const preferred = rotate(ordered.slice(0, preferredCount), Math.floor(random() * preferredCount));
  const chosen = [...preferred, ...ordered.slice(preferredCount)].slice(
    0,
    Math.max(maximumAddresses, 1),
  );
  const addresses = chosen.flatMap((name) => {
    const member = membersByName.get(name);
    return member
      ? [{ ...member.callerAddress, instance: member.instance, dataCentre: member.dataCentre }]
      : [];
  });
  return { addresses, keepMilliseconds };
}
