/** Command: order an engine to hold a version and adapter. */
import { fetchResponse } from '../../common/http-client.js';
import type { Address } from '../../common/address.js';
import type { EngineOrder } from '../engine-protocol.js';

/** What became of an order. */
export type OrderResult = 'accepted' | 'fenced' | 'failed';

/**
 * Sends an order.
 *
 * @param address - Where the engine is.
 * @param order - The end wanted, with the fencing number of the sender's lease.
 * @param timeoutMilliseconds - The longest the order may take.
 * @returns Whether the engine accepted it, refused its fencing number, or did not answer.
 */
export async function sendOrder(
  address: Address,
  order: EngineOrder,
  timeoutMilliseconds: number,
): Promise<OrderResult> {
  try {
    const answer = await fetchResponse({
      address,
      method: 'POST',
      path: '/orders',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(order),
      timeoutMilliseconds,
    });
    if (answer.status === 409) return 'fenced';
    return answer.status < 300 ? 'accepted' : 'failed';
  } catch {
    return 'failed';
  }
}
