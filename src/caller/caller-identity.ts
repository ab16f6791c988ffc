/** Finds out which client account a request comes from. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type {
  AccountInForce,
  ConfigurationInForce,
} from '../configuration/configuration-in-force.js';
import { createRejection, type Outcome } from '../routing/outcome.js';

const BEARER = /^Bearer ([^:\s]{1,100}):(\S{1,500})$/;

function isKeyRight(key: string, keyHash: string): boolean {
  const given = createHash('sha256').update(key).digest();
  return timingSafeEqual(given, Buffer.from(keyHash, 'hex'));
}

/**
 * Identifies the caller from `Authorization: Bearer <account>:<key>`, or from
 * `X-Client-Account` for an account without a key.
 *
 * @param headers - The request's headers.
 * @param configuration - The accounts in force.
 * @returns The account, or the rejection to send.
 */
export function identifyCaller(
  headers: IncomingHttpHeaders,
  configuration: ConfigurationInForce,
): Either<Outcome, AccountInForce> {
  const bearer = BEARER.exec(headers.authorization ?? '');
  const id = bearer?.[1] ?? headers['x-client-account']?.toString() ?? '';
  const found = configuration.account(id);
  if (!found)
    return Left(createRejection('unknown_account', 401, 'The client account is not known.'));
  const { keyHash } = found.account;
  if (keyHash !== undefined && !isKeyRight(bearer?.[2] ?? '', keyHash)) {
    return Left(createRejection('wrong_key', 401, 'The key of the client account is wrong.'));
  }
  return Right(found);
}
