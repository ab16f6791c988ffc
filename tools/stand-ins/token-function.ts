/**
 * The stand-in engines' token function. Every layer changes the activation, so a layer that is
 * left out, run twice or run out of order gives another token, and a test can tell to the token.
 */

/** What a right answer depends on. */
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
 * Mixes text into a 32-bit state.
 *
 * @param state - The state so far.
 * @param text - What to mix in.
 * @returns The new state.
 */
export function hashText(state: number, text: string): number {
  let mixed = state;
  for (let index = 0; index < text.length; index += 1) {
    mixed = Math.imul(mixed ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return Math.imul(mixed ^ (mixed >>> 15), 0x85ebca6b) >>> 0;
}

/**
 * Gives the activation that enters layer 0 for the next token.
 *
 * @param input - What the answer depends on.
 * @param produced - The tokens so far.
 * @returns The activation.
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
 * @param activation - What enters the first layer.
 * @param from - The first layer.
 * @param to - The layer after the last one.
 * @returns What leaves the last layer.
 */
export function runLayers(activation: number, from: number, to: number): number {
  let result = activation;
  for (let layer = from; layer < to; layer += 1) result = hashText(result, `layer ${layer}`);
  return result;
}

/**
 * Turns what leaves the last layer into a token.
 *
 * @param activation - What left the last layer.
 * @returns The token's text.
 */
export function decodeToken(activation: number): string {
  return `w${activation % VOCABULARY_SIZE} `;
}

/**
 * Computes a whole right answer.
 *
 * @param input - What the answer depends on.
 * @param count - How many tokens.
 * @returns The tokens.
 */
export function expectedTokens(input: TokenFunctionInput, count: number): string[] {
  const produced: string[] = [];
  while (produced.length < count) {
    const activation = computeInputActivation(input, produced);
    produced.push(decodeToken(runLayers(activation, 0, input.totalLayers)));
  }
  return produced;
}
