/** Query that reads the platform's instance list, which lags behind the real state. */
import { z } from 'zod';
import { Address } from '../../common/address.js';
import { fetchResponse } from '../../common/http-client.js';

/** One row of the instance list: an entry instance or a backend server. */
export const ListedInstance = z.object({
  id: z.string(),
  kind: z.enum(['entry', 'engine', 'service']),
  service: z.string().optional(),
  host: Address.shape.host,
  port: Address.shape.port,
  dataCentre: z.string(),
  region: z.string(),
  state: z.enum(['live', 'leaving']),
});
export type ListedInstance = z.infer<typeof ListedInstance>;

const InstanceList = z.object({ instances: z.array(ListedInstance) });

/**
 * Reads the instance list.
 *
 * @param address - The address of the server that provides the list.
 * @param timeoutMilliseconds - How long to wait for the answer.
 * @returns The rows, or undefined when the list can't be read or is invalid.
 */
export async function readInstanceList(
  address: Address,
  timeoutMilliseconds: number,
): Promise<ListedInstance[] | undefined> {
  try {
    const answer = await fetchResponse({
      address,
      method: 'GET',
      path: '/instances',
      timeoutMilliseconds,
    });
    if (answer.status !== 200) return undefined;
    return InstanceList.parse(JSON.parse(answer.body.toString())).instances;
  } catch {
    return undefined;
  }
}
