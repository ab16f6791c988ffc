/** HTTP health check of a backend server. */
import type { Address } from '../common/address.js';
import { fetchResponse } from '../common/http-client.js';

const TIMEOUT_MILLISECONDS = 300;

/**
 * Sends a health check to a backend server.
 *
 * @param address - Address of the server.
 * @param path - Path of its health check.
 * @returns Whether it answered with status 200 within 300 ms; failures never throw.
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
    // A server that cannot be reached or does not answer in time is unhealthy.
    return false;
  }
}
