/** Chooses the peers with which an instance exchanges records in one round. */
import { isSameAddress, type Address } from '../common/address.js';
import type { PeerRecord } from './peer-record.js';
import type { PeerTable } from './peer-table.js';

/** A peer to exchange records with. */
export interface ExchangeTarget {
  /** Name of the peer; undefined for an address of which no record is known. */
  readonly instance: string | undefined;
  /** Its run, as known when it was chosen; undefined with the name. */
  readonly incarnation: number | undefined;
  readonly address: Address;
  /** Undefined with the name. */
  readonly dataCentre: string | undefined;
}

/**
 * Makes a target of a peer's record.
 *
 * @param record - The record.
 */
export function toTarget({ instance, incarnation, peers, dataCentre }: PeerRecord): ExchangeTarget {
  return { instance, incarnation, address: peers, dataCentre };
}

/** Number of peers to exchange records with in one round. */
export interface Fanout {
  /** Peers in this instance's data centre. */
  readonly sameDataCentre: number;
  /** Peers in all other data centres together. */
  readonly otherDataCentres: number;
}

export const DEFAULT_FANOUT: Fanout = { sameDataCentre: 2, otherDataCentres: 1 };
/** Used when the own record has a change that peers should act on at once. */
export const URGENT_FANOUT: Fanout = { sameDataCentre: 2, otherDataCentres: 2 };
/** Probability per round of contacting one more peer that may not be alive. */
const PROBE_PROBABILITY = 0.3;
/** What the peers are chosen from. */
export interface TargetSources {
  readonly table: Pick<PeerTable, 'aliveRecords' | 'allRecords'>;
  /** Addresses of peers to contact before any record has been received. */
  readonly seeds: readonly Address[];
  /** The instance's own address. */
  readonly address: Address;
  readonly dataCentre: string;
  /** Returns numbers from 0 to 1; at random by default. */
  readonly random?: () => number;
}

function shuffle<T>(values: readonly T[], random: () => number): T[] {
  const shuffled = [...values];
  for (let index = shuffled.length - 1; index > 0; index -= 1) {
    const other = Math.floor(random() * (index + 1));
    const value = shuffled[index] as T;
    shuffled[index] = shuffled[other] as T;
    shuffled[other] = value;
  }
  return shuffled;
}

/**
 * Chooses the peers for one round at random. If this data centre has too few, peers of the others
 * take their place.
 *
 * @param sources - What is known of peers.
 * @param fanout - How many to choose.
 */
export function pickTargets(
  { table, seeds, address, dataCentre, random = Math.random }: TargetSources,
  fanout: Fanout,
): ExchangeTarget[] {
  const { aliveRecords } = table;
  const localCandidates = shuffle(
    aliveRecords.filter((peer) => peer.dataCentre === dataCentre),
    random,
  );
  const remoteCandidates = shuffle(
    aliveRecords.filter((peer) => peer.dataCentre !== dataCentre),
    random,
  );
  const localPeers = localCandidates.slice(0, fanout.sameDataCentre);
  const remoteCount = fanout.otherDataCentres + fanout.sameDataCentre - localPeers.length;
  const picked = [...localPeers, ...remoteCandidates.slice(0, remoteCount)].map(toTarget);
  // Includes peers considered dead, so that both sides of a network partition find each other
  // again.
  const probeCandidates = [
    ...table.allRecords.map(toTarget),
    ...seeds.map((seed) => ({
      instance: undefined,
      incarnation: undefined,
      address: seed,
      dataCentre: undefined,
    })),
  ].filter((target) => !isSameAddress(target.address, address));
  const [probeTarget] = shuffle(probeCandidates, random);
  if (probeTarget && (picked.length === 0 || random() < PROBE_PROBABILITY))
    picked.push(probeTarget);
  return picked;
}
