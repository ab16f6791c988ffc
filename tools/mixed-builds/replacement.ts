/** Which build replaces which, and how the checks report their progress. */

/** A rolling replacement of one build by another one. */
export interface Replacement {
  readonly name: string;
  /** The program that runs before and the one that runs afterwards. */
  readonly from: string;
  readonly to: string;
}

/** Prints one line about a finished check. */
export function report(text: string): void {
  process.stdout.write(`${text}\n`);
}
