/** Command: order an engine to hold a version and an adapter of a model. */
import { fetchResponse } from '../../common/http-client.js';
import type { Address } from '../../common/address.js';
import type { EngineOrder } from '../engine-protocol.js';

/** The result of an order; `fenced` means that the engine has seen a higher fencing number. */
export type OrderResult = 'accepted' | 'fenced' | 'failed';

/**
 * Sends an order to an engine.
 *
 * @param address - The engine's address.
 * @param order - The version and adapter to hold, with the fencing number of the sender's lease.
 * @param timeoutMilliseconds - How long to wait for the answer.
 * @returns Whether the engine accepted the order, refused its fencing number, or failed. A failed
 *   order may still have been carried out.
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
