/** Asks a server whether it is healthy. */
import type { Address } from '../common/address.js';
import { fetchResponse } from '../common/http-client.js';

const TIMEOUT_MILLISECONDS = 300;

/**
 * Asks a server whether it is healthy.
 *
 * @param address - The server.
 * @param path - Its health path.
 * @returns Whether it said so in time.
 */
export async function isHealthy(address: Address, path: string): Promise<boolean> {
  try {
    const answer = await fetchResponse({
      address,
      method: 'GET',
      path,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    });
    return answer.status === 200;
  } catch {
    // No answer is an answer here.
    return false;
  }
}
