/**
 * Numbers the changes of what an instance knows of servers that ended under requests, so that each peer is sent only
 * what it has not been sent. Handles the loss of several engines: hundreds of contents were running there, and all
 * instances know the same of them, which each would otherwise repeat in every exchange with every peer.
 */
import type { EvidencePosition, PeerRecord } from '../gossip/peer-record.js';
import type { CrashBlame } from './crash-blame.js';

/** The fields of a record that hold evidence. */
export type EvidenceFields = Pick<
  PeerRecord,
  'crashes' | 'crashesWhileWritten' | 'promptParts' | 'evidencePosition'
>;

/** The position of a peer that has been sent nothing. */
export const NO_EVIDENCE: EvidencePosition = [0, 0];

export class EvidenceChanges {
  readonly #blame: Pick<CrashBlame, 'contents' | 'promptParts'>;

  #partsText: string;

  #partsNumber = 0;

  /** @param blame - What the instance knows. */
  constructor(blame: Pick<CrashBlame, 'contents' | 'promptParts'>) {
    this.#blame = blame;
    this.#partsText = JSON.stringify(blame.promptParts.reported);
  }

  /**
   * Whether a peer has not been sent all evidence.
   *
   * @param position - Up to where it has been sent the evidence.
   */
  hasMoreThan([contentsNumber, partsNumber]: EvidencePosition): boolean {
    const { contents, promptParts } = this.#blame;
    this.#updatePartsNumber(JSON.stringify(promptParts.reported));
    return contentsNumber < contents.changeNumber || partsNumber < this.#partsNumber;
  }

  /**
   * Returns what has changed for a peer.
   *
   * @param position - Up to where the peer has been sent it.
   * @returns The fields for its record, with the position that they reach.
   */
  since([contentsNumber, partsNumber]: EvidencePosition): EvidenceFields {
    const { contents, promptParts } = this.#blame;
    const { changeNumber, ...crashes } = contents.reportSince(contentsNumber);
    const { reported } = promptParts;
    this.#updatePartsNumber(JSON.stringify(reported));
    return {
      ...crashes,
      promptParts: partsNumber < this.#partsNumber ? reported : undefined,
      evidencePosition: [changeNumber, this.#partsNumber],
    };
  }

  /**
   * Adds what a peer has sent.
   *
   * @param record - The peer's record.
   */
  merge({ crashes, crashesWhileWritten, promptParts, clock }: PeerRecord): void {
    this.#blame.contents.merge({ crashes, crashesWhileWritten });
    if (promptParts && clock !== undefined) this.#blame.promptParts.merge(promptParts, clock);
  }

  #updatePartsNumber(text: string): void {
    if (text === this.#partsText) return;
    this.#partsText = text;
    this.#partsNumber += 1;
  }
}
