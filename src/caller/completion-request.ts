/** The body of a generation request; the fields follow the OpenAI completions API. */
import { z } from 'zod';

const MAXIMUM_PROMPT_CHARACTERS = 1_000_000;
const MAXIMUM_SEED = 0x7fffffff;

export const CompletionRequest = z.strictObject({
  model: z.string().min(1).max(100),
  prompt: z.string().min(1).max(MAXIMUM_PROMPT_CHARACTERS),
  max_tokens: z.number().int().min(1).max(32_768).default(256),
  stream: z.boolean().default(false),
  seed: z.number().int().min(0).max(MAXIMUM_SEED).optional(),
  /** The tokens that the caller already has of a resumed stream, so that they are not regenerated. */
  received: z.array(z.string().max(1000)).max(32_768).default([]),
});
export type CompletionRequest = z.infer<typeof CompletionRequest>;
