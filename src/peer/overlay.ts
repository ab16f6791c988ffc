/**
 * Which peers an instance exchanges records with. The number does not grow with the fleet: four
 * on a ring with chords in its own data centre, and two in other data centres.
 */
import { rankOwners } from '../routing/rendezvous.js';
import type { Member } from './member.js';

type MemberLocation = Pick<Member, 'instance' | 'dataCentre'>;

function selectRingNeighbours(ring: readonly string[], self: string): string[] {
  const at = ring.indexOf(self);
  const chord = Math.max(2, Math.round(Math.sqrt(ring.length)));
  const offsets = [1, -1, chord, -chord];
  const picked = offsets.map((offset) => {
    const position = (((at + offset) % ring.length) + ring.length) % ring.length;
    return ring[position];
  });
  return picked.filter((name): name is string => name !== undefined && name !== self);
}

function selectRemoteNeighbours(
  self: MemberLocation,
  ring: readonly string[],
  members: readonly MemberLocation[],
): string[] {
  const dataCentres = [...new Set(members.map((member) => member.dataCentre))].sort();
  const others = dataCentres.length - 1;
  if (others === 0) return [];
  const at = dataCentres.indexOf(self.dataCentre);
  const spans = Math.max(1, Math.ceil(Math.log2(dataCentres.length)));
  const span = 2 ** (ring.indexOf(self.instance) % spans);
  const distances = [1, Math.min(span, others)];
  return distances.flatMap((distance) => {
    const dataCentre = dataCentres[(at + distance) % dataCentres.length];
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
 * @param members - The members to choose from; the instance itself may be among them.
 * @returns The names of its peers, six at most.
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
  const picked = [
    ...selectRingNeighbours(ring, self.instance),
    ...selectRemoteNeighbours(self, ring, all),
  ];
  return [...new Set(picked)];
}
