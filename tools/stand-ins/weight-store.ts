/** Stand-in for the weight store: it serves a bounded number of weight units a second. */
import { sendJson, startStandIn, type StandInServer } from './http-server.js';

export interface WeightStoreStandIn extends StandInServer {
  readonly counters: { served: number; refused: number };
}

/**
 * Starts the stand-in.
 *
 * @param unitsPerSecond - Fetches it serves in a second; more are answered 429.
 * @param port - The port, or 0 for any.
 * @returns The running stand-in.
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
