/** Authenticates callers: finds the client account of a request and checks its key. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { Left, Right, type Either } from 'purify-ts';
import type {
  AccountInForce,
  ConfigurationInForce,
} from '../configuration/configuration-in-force.js';
import { createRejection, type Outcome } from '../routing/outcome.js';

const BEARER = /^Bearer ([^:\s]{1,100}):(\S{1,500})$/;

function isKeyCorrect(key: string, keyHash: string): boolean {
  const givenHash = createHash('sha256').update(key).digest();
  return timingSafeEqual(givenHash, Buffer.from(keyHash, 'hex'));
}

/**
 * Identifies the caller from `Authorization: Bearer <account>:<key>`, or from
 * `X-Client-Account` for an account without a key.
 *
 * @returns The client account, or a rejection with status 401 if it is unknown or its key is wrong.
 */
export function identifyCaller(
  headers: IncomingHttpHeaders,
  configuration: ConfigurationInForce,
): Either<Outcome, AccountInForce> {
  const bearer = BEARER.exec(headers.authorization ?? '');
  const id = bearer?.[1] ?? headers['x-client-account']?.toString() ?? '';
  const found = configuration.findAccount(id);
  if (!found)
    return Left(createRejection('unknown_account', 401, 'The client account is not known.'));
  const { keyHash } = found.account;
  if (keyHash !== undefined && !isKeyCorrect(bearer?.[2] ?? '', keyHash)) {
    return Left(createRejection('wrong_key', 401, 'The key of the client account is wrong.'));
  }
  return Right(found);
}
