/** The length of the context that a generation's next token is computed from. */
import { CHARACTERS_PER_TOKEN } from '../backend/engine-protocol.js';

/**
 * Estimates the length of the context.
 *
 * @param request - Its prompt.
 * @param tokens - The number of tokens generated so far.
 * @returns The length, in tokens.
 */
export function countContextTokens(request: { readonly prompt: string }, tokens: number): number {
  return Math.ceil(request.prompt.length / CHARACTERS_PER_TOKEN) + tokens;
}
