/** Reads request bodies up to a size limit, and parses and validates them as JSON. */
import type { IncomingMessage } from 'node:http';
import type { z } from 'zod';
import { Left, Right, type Either } from 'purify-ts';
import { toIssues } from '../common/issue.js';
import { createRejection, type Outcome } from '../routing/outcome.js';

/**
 * Reads the body of a request.
 *
 * @returns The body as text, or a rejection if it is larger than `maximumBytes` or the connection
 * broke off before its end.
 */
export async function readBody(
  request: IncomingMessage,
  maximumBytes: number,
): Promise<Either<Outcome, string>> {
  const tooLarge = createRejection('body_too_large', 413, `A body may have ${maximumBytes} bytes.`);
  if (Number(request.headers['content-length'] ?? 0) > maximumBytes) return Left(tooLarge);
  const chunks: Buffer[] = [];
  let receivedBytes = 0;
  try {
    for await (const chunk of request) {
      const buffer = chunk as Buffer;
      receivedBytes += buffer.length;
      if (receivedBytes > maximumBytes) return Left(tooLarge);
      chunks.push(buffer);
    }
  } catch {
    return Left(createRejection('body_broken', 400, 'The body broke off.'));
  }
  return Right(Buffer.concat(chunks).toString('utf8'));
}

/**
 * Parses a body as JSON and validates it against a schema.
 *
 * @returns The validated value, or a rejection that lists every issue.
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
