/** Estimates the tokens of a request, from what it states and from the usual lengths. */
import type { EntryRequest } from '../entry/entry-request.js';
import type { EngineProfile } from '../entry/serving-configuration.js';
import type { RequestTokens } from '../layers/engine-estimates.js';

/**
 * Estimates the tokens of a request.
 *
 * @param request - The request, which may state them.
 * @param profile - The usual lengths.
 */
export function estimateTokens(request: EntryRequest, profile: EngineProfile): RequestTokens {
  const { promptTokens, maximumOutputTokens, expectedOutputTokens } = request.metadata;
  const outputTokens = expectedOutputTokens ?? profile.typicalOutputTokens;
  return {
    prompt: promptTokens ?? profile.typicalPromptTokens,
    output: Math.min(outputTokens, maximumOutputTokens ?? outputTokens),
  };
}
