/** Commands that write and delete objects through the platform's object API. */
import { fetchResponse, HttpRequestError, getErrorMessage } from '../../common/http-client.js';
import type { PlatformConnection } from '../connection.js';
import { ABSENT_VERSION, type WriteResult } from '../object.js';

const LOWEST_SERVER_ERROR_STATUS = 500;

/**
 * Sends a write that is applied only if the object still has the expected version. A server error
 * or a lost answer leaves it unknown whether the write was applied.
 */
async function sendConditionalWrite(
  connection: PlatformConnection,
  method: 'PUT' | 'DELETE',
  key: string,
  expectedVersion: number,
  body?: string,
): Promise<WriteResult> {
  connection.counts.writes += 1;
  const condition =
    expectedVersion === ABSENT_VERSION
      ? { 'if-none-match': '*' }
      : { 'if-match': String(expectedVersion) };
  try {
    const answer = await fetchResponse({
      address: connection.address,
      agent: connection.agent,
      method,
      path: `/objects/${encodeURIComponent(key)}`,
      headers: condition,
      body,
      timeoutMilliseconds: connection.timeoutMilliseconds,
    });
    if (answer.status === 412) return { kind: 'conflict' };
    if (answer.status >= LOWEST_SERVER_ERROR_STATUS)
      return { kind: 'unknown', message: `Status ${answer.status}.` };
    if (answer.status >= 300) return { kind: 'unavailable', message: `Status ${answer.status}.` };
    const { version } = JSON.parse(answer.body.toString()) as { version: number };
    return { kind: 'written', version };
  } catch (error) {
    const isNeverSent = error instanceof HttpRequestError && error.phase === 'connecting';
    return { kind: isNeverSent ? 'unavailable' : 'unknown', message: getErrorMessage(error) };
  }
}

/**
 * Writes an object if it still has the expected version.
 *
 * @param connection - The connection to the object API.
 * @param key - The object's key.
 * @param value - The new value, which must be JSON.
 * @param expectedVersion - The version last read, or {@link ABSENT_VERSION} to create the object.
 * @returns Whether it was written, and the new version. Errors are returned, not thrown.
 */
export function writeObject(
  connection: PlatformConnection,
  key: string,
  value: unknown,
  expectedVersion: number,
): Promise<WriteResult> {
  return sendConditionalWrite(connection, 'PUT', key, expectedVersion, JSON.stringify(value));
}

/**
 * Deletes an object if it still has the expected version.
 *
 * @param connection - The connection to the object API.
 * @param key - The object's key.
 * @param expectedVersion - The version last read.
 * @returns Whether it was deleted. Errors are returned, not thrown.
 */
export function deleteObject(
  connection: PlatformConnection,
  key: string,
  expectedVersion: number,
): Promise<WriteResult> {
  return sendConditionalWrite(connection, 'DELETE', key, expectedVersion);
}
