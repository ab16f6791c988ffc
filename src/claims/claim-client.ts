/**
 * Claims idempotency keys. A claim goes to the peer that usually writes the key's shard, so that
 * claims are written in groups; if that peer fails, this instance writes the claim itself.
 */
import { randomUUID } from 'node:crypto';
import type { Address } from '../common/address.js';
import type { ClaimAnswer, ClaimMessage, RecordedOutcome } from '../peer/messages.js';
import type { PeerClientPool } from '../peer/peer-client-pool.js';
import type { ClaimWriter } from './claim-writer.js';

/** Options of {@link ClaimClient}. */
export interface ClaimClientOptions {
  /** The name of this instance; it is stored in the claims that it makes. */
  readonly instance: string;
  readonly writer: ClaimWriter;
  readonly clients: PeerClientPool;
  /** Finds the peer that usually writes a shard; undefined if this instance is to write it. */
  readonly findOwner: (shard: string) => Address | undefined;
  /** How long the owner may take before this instance writes the claim itself. */
  readonly ownerTimeoutMilliseconds?: number;
}

/** A claim on a key that this instance holds. */
export interface HeldClaim {
  /**
   * Stores the outcome with the claim, so that it can be replayed for repeats of the key. If the
   * outcome cannot be stored, that is not reported.
   */
  readonly record: (outcome: RecordedOutcome) => Promise<void>;
  /** Deletes the claim of a request that did not run; resolves to false if that may have failed. */
  readonly release: () => Promise<boolean>;
}

/** The answer to a claim; when it is granted, with functions that act on the claim. */
export type ClaimResult =
  | { readonly kind: 'granted'; readonly claim: HeldClaim }
  | Exclude<ClaimAnswer, { kind: 'granted' }>;

export class ClaimClient {
  readonly #options: ClaimClientOptions;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /**
   * Claims a key for one submission of a request.
   *
   * @param shard - The key of the stored object that holds the claim.
   * @param key - The idempotency key, prefixed with its client account.
   * @param contentHash - A hash of the request, which detects reuse of the key for another request.
   * @returns The claim if it is granted; `held` or `other_content` if another submission has the
   * key; `unavailable` if the claim may or may not be stored.
   */
  async claim(shard: string, key: string, contentHash: string): Promise<ClaimResult> {
    const { instance } = this.#options;
    const claim = {
      shard,
      key,
      token: `${instance}/${randomUUID()}`,
      instance,
      content: contentHash,
    };
    const answer = await this.#send({ ...claim, operation: 'claim' });
    if (answer.kind !== 'granted') return answer;
    return {
      kind: 'granted',
      claim: {
        record: async (outcome) => {
          await this.#send({ ...claim, operation: 'record', outcome });
        },
        release: async () => {
          const releaseAnswer = await this.#send({ ...claim, operation: 'release' });
          return releaseAnswer.kind === 'granted';
        },
      },
    };
  }

  async #send(message: ClaimMessage): Promise<ClaimAnswer> {
    const { writer, clients, findOwner, ownerTimeoutMilliseconds = 1000 } = this.#options;
    const owner = findOwner(message.shard);
    if (!owner) return writer.submit(message);
    try {
      const answer = await clients
        .getClient(owner)
        .call('claim', message, ownerTimeoutMilliseconds);
      if (answer.kind !== 'unavailable') return answer;
    } catch {
      // The owner may still write this operation. Applying it twice is safe, because it only acts
      // on a key that is free or that carries its own token.
    }
    return writer.submit(message);
  }
}
