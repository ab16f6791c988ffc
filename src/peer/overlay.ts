/**
 * Chooses the peers that an instance exchanges records with. Their number does not grow with the
 * number of instances: at most four in its own data centre, arranged in a ring with chords, and two
 * in other data centres.
 */
import { rankOwners } from '../routing/rendezvous.js';
import type { Member } from './member.js';

type MemberLocation = Pick<Member, 'instance' | 'dataCentre'>;

/** Selects the two neighbours on the ring and the two instances one chord away. */
function selectRingNeighbours(ring: readonly string[], self: string): string[] {
  const ownPosition = ring.indexOf(self);
  const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
  const offsets = [1, -1, chord, -chord];
  const selected = offsets.map((offset) => {
    const position = (((ownPosition + offset) % ring.length) + ring.length) % ring.length;
    return ring[position];
  });
  return selected.filter((name): name is string => name !== undefined && name !== self);
}

/**
 * Selects one instance in the next data centre and one in a data centre further away. The distance
 * to the second is a power of two that depends on the instance's place in its ring, so that the
 * instances of a data centre together reach many others.
 */
function selectRemoteNeighbours(
  self: MemberLocation,
  ring: readonly string[],
  members: readonly MemberLocation[],
): string[] {
  const dataCentres = [...new Set(members.map((member) => member.dataCentre))].sort();
  const others = dataCentres.length - 1;
  if (others === 0) return [];
  const ownPosition = dataCentres.indexOf(self.dataCentre);
  const distanceCount = Math.max(1, Math.ceil(Math.log2(dataCentres.length)));
  const longDistance = 2 ** (ring.indexOf(self.instance) % distanceCount);
  const distances = [1, Math.min(longDistance, others)];
  return distances.flatMap((distance) => {
    const dataCentre = dataCentres[(ownPosition + distance) % dataCentres.length];
    const candidates = members.filter((member) => member.dataCentre === dataCentre);
    return rankOwners(
      self.instance,
      candidates.map((member) => member.instance),
    );
  });
}

/**
 * Chooses the peers of an instance.
 *
 * @param self - The instance.
 * @param members - The members to choose from, with or without the instance itself.
 * @returns The names of at most six peers.
 */
export function chooseNeighbours(
  self: MemberLocation,
  members: readonly MemberLocation[],
): string[] {
  const all = [...members.filter((member) => member.instance !== self.instance), self];
  const ring = all
    .filter((member) => member.dataCentre === self.dataCentre)
    .map((member) => member.instance)
    .sort();
  const selected = [
    ...selectRingNeighbours(ring, self.instance),
    ...selectRemoteNeighbours(self, ring, all),
  ];
  return [...new Set(selected)];
}
