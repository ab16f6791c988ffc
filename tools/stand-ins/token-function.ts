/**
 * Deterministic token function of the stand-in engines. Every layer changes the activation, so a
 * layer that is skipped, run twice or run out of order yields a different token, and tests can
 * compare each generated token with the expected one.
 */

/** The parameters that determine a generation. */
export interface TokenFunctionInput {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  readonly prompt: string;
  readonly seed: number;
  readonly totalLayers: number;
}

const VOCABULARY_SIZE = 50_021;

/**
 * Hashes text, starting from a previous hash (FNV-1a over the UTF-16 code units, then a final mix).
 *
 * @param state - The hash so far, as an unsigned 32-bit integer.
 * @param text - The text to add to the hash.
 * @returns The new hash, as an unsigned 32-bit integer.
 */
export function hashText(state: number, text: string): number {
  let mixed = state;
  for (let index = 0; index < text.length; index += 1) {
    mixed = Math.imul(mixed ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b) >>> 0;
}

/**
 * Computes the input of layer 0 for the next token.
 *
 * @param input - The parameters of the generation.
 * @param produced - The tokens generated so far.
 * @returns The activation, as an unsigned 32-bit integer.
 */
export function computeInputActivation(
  input: TokenFunctionInput,
  produced: readonly string[],
): number {
  const start = hashText(
    0x811c9dc5,
    `${input.model}|${input.version}|${input.adapter}|${input.seed}|${input.prompt}`,
  );
  return produced.reduce(hashText, start);
}

/**
 * Runs a range of layers.
 *
 * @param activation - The input of the first layer.
 * @param from - The first layer to run.
 * @param to - The layer after the last one to run.
 * @returns The output of the last layer.
 */
export function runLayers(activation: number, from: number, to: number): number {
  let result = activation;
  for (let layer = from; layer < to; layer += 1) result = hashText(result, `layer ${layer}`);
  return result;
}

/**
 * Converts the output of the last layer to a token.
 *
 * @param activation - The output of the last layer.
 * @returns The text of the token, including a trailing space.
 */
export function decodeToken(activation: number): string {
  return `w${activation % VOCABULARY_SIZE} `;
}

/**
 * Computes the tokens that a fault-free generation yields.
 *
 * @param input - The parameters of the generation.
 * @param count - The number of tokens to compute.
 * @returns The tokens in order.
 */
export function computeExpectedTokens(input: TokenFunctionInput, count: number): string[] {
  const produced: string[] = [];
  while (produced.length < count) {
    const activation = computeInputActivation(input, produced);
    produced.push(decodeToken(runLayers(activation, 0, input.totalLayers)));
  }
  return produced;
}
