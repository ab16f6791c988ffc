/** Claims a key through the shard's likely owner, or directly when the owner does not answer. */
import { randomUUID } from 'node:crypto';
import type { Address } from '../common/address.js';
import type { ClaimAnswer, ClaimMessage, RecordedOutcome } from '../peer/messages.js';
import type { PeerClients } from '../peer/peer-clients.js';
import type { ClaimWriter } from './claim-writer.js';

/** Options of {@link ClaimClient}. */
export interface ClaimClientOptions {
  readonly instance: string;
  readonly writer: ClaimWriter;
  readonly clients: PeerClients;
  /** The likely owner of a shard; undefined when it is this instance. */
  readonly findOwner: (shard: string) => Address | undefined;
  readonly ownerTimeoutMilliseconds?: number;
}

/** A claim on a key that this instance holds. */
export interface HeldClaim {
  /** Keeps the outcome with the claim, for repeats; failing to is no error. */
  readonly record: (outcome: RecordedOutcome) => Promise<void>;
  /** Gives the key back: the request did not run and will not. */
  readonly release: () => Promise<boolean>;
}

/** The result of asking for a claim. */
export type ClaimResult =
  | { readonly kind: 'granted'; readonly claim: HeldClaim }
  | Exclude<ClaimAnswer, { kind: 'granted' }>;

export class ClaimClient {
  readonly #options: ClaimClientOptions;

  constructor(options: ClaimClientOptions) {
    this.#options = options;
  }

  /**
   * Claims a key for one submission.
   *
   * @param shard - The object that holds the key's claim.
   * @param key - The account and its key.
   * @param content - A fingerprint of the request.
   * @returns The claim, who else holds the key, or that it could not be settled.
   */
  async claim(shard: string, key: string, content: string): Promise<ClaimResult> {
    const { instance } = this.#options;
    const base = { shard, key, token: `${instance}/${randomUUID()}`, instance, content };
    const answer = await this.#send({ ...base, operation: 'claim' });
    if (answer.kind !== 'granted') return answer;
    return {
      kind: 'granted',
      claim: {
        record: async (outcome) => {
          await this.#send({ ...base, operation: 'record', outcome });
        },
        release: async () => {
          const released = await this.#send({ ...base, operation: 'release' });
          return released.kind === 'granted';
        },
      },
    };
  }

  async #send(message: ClaimMessage): Promise<ClaimAnswer> {
    const { writer, clients, findOwner: ownerOf, ownerTimeoutMilliseconds = 1000 } = this.#options;
    const owner = ownerOf(message.shard);
    if (!owner) return writer.submit(message);
    try {
      const answer = await clients.to(owner).call('claim', message, ownerTimeoutMilliseconds);
      if (answer.kind !== 'unavailable') return answer;
    } catch {
      // The owner may yet write this claim; the token makes doing it twice harmless.
    }
    return writer.submit(message);
  }
}
