/** Query of the platform's instance list, which lags. */
import { z } from 'zod';
import { Address } from '../../common/address.js';
import { fetchResponse } from '../../common/http-client.js';

/** One row of the instance list. */
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
 * @param address - Where the list is served.
 * @param timeoutMilliseconds - The time allowed.
 * @returns The rows, or undefined when the list can't be read.
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
