/** Queries of the platform's object API. */
import { fetchResponse, getErrorMessage, type HttpResponse } from '../../common/http-client.js';
import type { PlatformConnection } from '../connection.js';
import { PlatformObject, PlatformObjects, type ListResult, type ReadResult } from '../object.js';

const WATCH_TIMEOUT_MARGIN_MILLISECONDS = 2000;

function sendGet(
  connection: PlatformConnection,
  path: string,
  timeoutMilliseconds: number,
  signal?: AbortSignal,
): Promise<HttpResponse> {
  const { address, agent } = connection;
  return fetchResponse({ address, agent, method: 'GET', path, timeoutMilliseconds, signal });
}

function parseObjectList(answer: HttpResponse): ListResult {
  if (answer.status !== 200) return { kind: 'unavailable', message: `Status ${answer.status}.` };
  const { version, objects } = PlatformObjects.parse(JSON.parse(answer.body.toString()));
  return { kind: 'listed', version, objects };
}

/**
 * Reads one object.
 *
 * @param connection - The connection to the object API.
 * @param key - The object's key.
 * @returns The object, its absence, or that the API can't be reached.
 */
export async function readObject(connection: PlatformConnection, key: string): Promise<ReadResult> {
  connection.counts.reads += 1;
  try {
    const path = `/objects/${encodeURIComponent(key)}`;
    const answer = await sendGet(connection, path, connection.timeoutMilliseconds);
    if (answer.status === 404) return { kind: 'absent' };
    if (answer.status !== 200) return { kind: 'unavailable', message: `Status ${answer.status}.` };
    return { kind: 'found', object: PlatformObject.parse(JSON.parse(answer.body.toString())) };
  } catch (error) {
    return { kind: 'unavailable', message: getErrorMessage(error) };
  }
}

/**
 * Reads every object under a prefix.
 *
 * @param connection - The connection to the object API.
 * @param prefix - The prefix of the keys.
 * @returns The objects and the store's version, or that the API can't be reached.
 */
export async function listObjects(
  connection: PlatformConnection,
  prefix: string,
): Promise<ListResult> {
  connection.counts.reads += 1;
  try {
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    return parseObjectList(await sendGet(connection, path, connection.timeoutMilliseconds));
  } catch (error) {
    return { kind: 'unavailable', message: getErrorMessage(error) };
  }
}

/** What {@link watchObjects} waits for. */
export interface WatchOptions {
  readonly prefix: string;
  /** Only changes after this version of the store. */
  readonly since: number;
  /** How long the API may hold the call, in milliseconds. */
  readonly waitMilliseconds: number;
  readonly signal?: AbortSignal;
}

/**
 * Waits for changes under a prefix; a deleted object comes with the value null.
 *
 * @param connection - The connection to the object API.
 * @param options - What to wait for and how long.
 * @returns The changes since, possibly none, or that the API can't be reached.
 */
export async function watchObjects(
  connection: PlatformConnection,
  options: WatchOptions,
): Promise<ListResult> {
  connection.counts.watches += 1;
  const { prefix, since, waitMilliseconds, signal } = options;
  try {
    const query = `prefix=${encodeURIComponent(prefix)}&since=${since}&timeoutMilliseconds=${waitMilliseconds}`;
    const timeout = waitMilliseconds + WATCH_TIMEOUT_MARGIN_MILLISECONDS;
    return parseObjectList(await sendGet(connection, `/watch?${query}`, timeout, signal));
  } catch (error) {
    return { kind: 'unavailable', message: getErrorMessage(error) };
  }
}
