/** Queries that read and watch objects through the platform's object API. */
import { fetchResponse, getErrorMessage, type HttpResponse } from '../../common/http-client.js';
import type { PlatformConnection } from '../connection.js';
import { PlatformObject, PlatformObjects, type ListResult, type ReadResult } from '../object.js';

/** How much longer than the requested wait a watch call may take until it is given up. */
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
 * @returns The object, its absence, or the reason why it can't be read. Nothing is thrown.
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
 * Reads every object whose key begins with a prefix.
 *
 * @param connection - The connection to the object API.
 * @param prefix - The prefix of the keys.
 * @returns The objects and the store's version, or the reason why they can't be read. Nothing is
 *   thrown.
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
  /** The version of the store after which changes are returned. */
  readonly since: number;
  /** How long the API may hold the call while there is no change. */
  readonly waitMilliseconds: number;
  readonly signal?: AbortSignal;
}

/**
 * Waits for changes of the objects under a prefix. A deleted object is returned with the value
 * null.
 *
 * @param connection - The connection to the object API.
 * @param options - The prefix, the version to start from and how long to wait.
 * @returns The changes, possibly none, or the reason why they can't be read. Nothing is thrown.
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
