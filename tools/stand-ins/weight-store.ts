/** Stand-in for the weight store. It limits the number of fetches per second. */
import { sendJson, startStandIn, type StandInServer } from './http-server.js';

export interface WeightStoreStandIn extends StandInServer {
  readonly counters: { served: number; refused: number };
}

/**
 * Starts a stand-in weight store.
 *
 * @param unitsPerSecond - Fetches served per second; further ones are answered with status 429.
 * @param port - The port to listen on; 0 selects a free one.
 * @returns The running stand-in with its counters.
 */
export async function startWeightStore(unitsPerSecond = 10, port = 0): Promise<WeightStoreStandIn> {
  const counters = { served: 0, refused: 0 };
  let recentFetchTimes: number[] = [];
  const server = await startStandIn(port, (request) => {
    const now = Date.now();
    recentFetchTimes = recentFetchTimes.filter((at) => at > now - 1000);
    if (recentFetchTimes.length >= unitsPerSecond) {
      counters.refused += 1;
      request.response.setHeader('retry-after', '1');
      sendJson(request.response, 429, { error: 'too many fetches' });
      return;
    }
    recentFetchTimes.push(now);
    counters.served += 1;
    sendJson(request.response, 200, { weights: request.path });
  });
  return { ...server, counters };
}
