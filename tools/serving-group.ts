/** Starts groups of instances that serve streams and calls, and sends them callers' requests. */
import assert from 'node:assert/strict';
import type { TestContext } from 'node:test';
import type { LayerRange } from '../src/fleet/server-entry.js';
import { findUncoveredRanges } from '../src/layers/layer-ranges.js';
import {
  PlatformGroup,
  sendRequest,
  waitUntil,
  type PlatformInstance,
  type ReceivedResponse,
} from './platform-group.js';

export const LAYER_COUNT = 8;
let requestCount = 0;

/** Returns a request id that has not been used in this process. */
export function createRequestId(): string {
  requestCount += 1;
  return `request-${requestCount}`;
}

/**
 * Starts a store, engines, servers of a plain service and instances, and waits until streams and calls
 * can be served. Everything is stopped when the test ends.
 *
 * @param context - The test.
 * @param options - How many instances and servers there are, and how fast streams are.
 * @returns The running group.
 */
export async function startGroup(
  context: TestContext,
  options: {
    readonly instances?: number;
    readonly engines?: number;
    readonly plainServers?: number;
    readonly pauseMilliseconds?: number;
    /** How many zones instances and servers are spread over. */
    readonly zones?: number;
  } = {},
): Promise<PlatformGroup> {
  const { instances = 1, engines = 4, plainServers = 2, pauseMilliseconds = 20 } = options;
  const getZone = (index: number): string => `zone-${'abc'.charAt(index % (options.zones ?? 1))}`;
  const group = new PlatformGroup();
  context.after(() => group.stop());
  await group.start();
  for (let index = 0; index < engines; index += 1) {
    const id = `engine-${index}`;
    const zone = getZone(index);
    await group.addServer({ id, service: 'drafter', kind: 'card', pauseMilliseconds, zone });
  }
  for (let index = 0; index < plainServers; index += 1)
    await group.addServer({ id: `case-${index}`, service: 'casebook', zone: getZone(index) });
  for (let index = 0; index < instances; index += 1)
    await group.addReadyInstance(`entry-${index}`, undefined, getZone(index));
  await waitUntil(() => {
    const held = group.servers.flatMap(({ layers }) => layers ?? []);
    return held.length === engines && findUncoveredRanges(held, LAYER_COUNT).length === 0;
  }, 'every layer is held');
  await Promise.all(group.instances.map((instance) => waitUntilLayersKnown(instance, engines)));
  return group;
}

/** Waits until an instance knows which engines hold the layers; before that it refuses streams. */
function waitUntilLayersKnown({ name, ports }: PlatformInstance, engines: number): Promise<void> {
  return waitUntil(async () => {
    const answer = await sendRequest({ port: ports.control, path: '/v1/pipelines' });
    if (answer.status !== 200) return false;
    const { stages } = JSON.parse(answer.body) as { stages: LayerRange[] };
    return stages.length === engines && findUncoveredRanges(stages, LAYER_COUNT).length === 0;
  }, `${name} knows the engines of every layer`);
}

/**
 * Sends a request to the address of an instance that serves callers, on a new connection.
 *
 * @returns The response; status 0 if no complete one arrived.
 */
export function sendCallerRequest(
  instance: PlatformInstance,
  path: string,
  options: {
    readonly method?: string;
    readonly key?: string;
    readonly headers?: object;
    readonly body?: string;
    readonly onPart?: (part: string) => void;
  } = {},
): Promise<ReceivedResponse> {
  const { method = 'POST', key = 'key-1', headers = {}, body = '', onPart } = options;
  return sendRequest({
    body,
    ...(onPart ? { onPart } : {}),
    port: instance.ports.front,
    method,
    path,
    headers: {
      host: 'site.example',
      'request-id': createRequestId(),
      'deadline-ms': '4000',
      'api-key': key,
      ...headers,
    },
  });
}

/** Returns the instance that was started first. */
export function getFirstInstance(group: PlatformGroup): PlatformInstance {
  const [instance] = group.instances;
  assert.ok(instance);
  return instance;
}

/**
 * Reads the ids of the events that a caller has received, in order.
 *
 * @param response - The response, of which only the body is looked at.
 */
export function readEventIds({ body }: Pick<ReceivedResponse, 'body'>): number[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
}
