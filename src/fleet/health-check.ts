/** HTTP health check of a backend server. */
import type { Address } from '../common/address.js';
import { fetchResponse, isConnectionRefused, type HttpResponse } from '../common/http-client.js';

const TIMEOUT_MILLISECONDS = 300;
const MAXIMUM_BODY_BYTES = 65_536;

/** `refused` means that no process listens at the address. */
export type Health = 'healthy' | 'unhealthy' | 'refused';

/** What a health check finds. */
export interface HealthFinding {
  readonly health: Health;
  /** The server's answer, if one arrived. */
  readonly answer?: Pick<HttpResponse, 'status' | 'headers'>;
}

/**
 * Sends a health check to a backend server.
 *
 * @param address - Address of the server.
 * @param path - Path of its health check.
 * @returns Whether it answered with status 200 within 300 ms; failures never throw.
 */
export async function checkHealth(address: Address, path: string): Promise<HealthFinding> {
  try {
    const answer = await fetchResponse({
      address,
      method: 'GET',
      path,
      timeoutMilliseconds: TIMEOUT_MILLISECONDS,
      maximumBodyBytes: MAXIMUM_BODY_BYTES,
    });
    return { health: answer.status === 200 ? 'healthy' : 'unhealthy', answer };
  } catch (error) {
    // A server that cannot be reached or does not answer in time is unhealthy.
    return { health: isConnectionRefused(error) ? 'refused' : 'unhealthy' };
  }
}
