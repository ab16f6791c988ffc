/** Reads and checks the bodies of callers' requests. */
import type { IncomingMessage } from 'node:http';
import type { z } from 'zod';
import { Left, Right, type Either } from 'purify-ts';
import { toIssues } from '../common/issue.js';
import { createRejection, type Outcome } from '../routing/outcome.js';

/**
 * Reads a request's body.
 *
 * @param request - The request.
 * @param maximumBytes - The most that is accepted.
 * @returns The text, or the rejection to send.
 */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Either<Outcome, string>> {
  const tooLarge = createRejection('body_too_large', 413, `A body may have ${maximumBytes} bytes.`);
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) return Left(tooLarge);
  const parts: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const part of request) {
      const buffer = part as Buffer;
      bytes += buffer.length;
      if (bytes > maximumBytes) return Left(tooLarge);
      parts.push(buffer);
    }
  } catch {
    return Left(createRejection('body_broken', 400, 'The body broke off.'));
  }
  return Right(Buffer.concat(parts).toString('utf8'));
}

/**
 * Parses a body as JSON and checks it.
 *
 * @param text - The body.
 * @param schema - What it must be.
 * @returns The checked value, or the rejection that lists every issue.
 */
export function parseBody<Schema extends z.ZodType>(
  text: string,
  schema: Schema,
): Either<Outcome, z.infer<Schema>> {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return Left(createRejection('malformed_json', 400, 'The body is not JSON.'));
  }
  const result = schema.safeParse(value);
  if (result.success) return Right(result.data);
  const issues = toIssues(result.error);
  return Left(createRejection('invalid_request', 400, 'The request is not valid.', issues));
}
