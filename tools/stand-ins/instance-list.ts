/** Stand-in for the platform's instance list. Readers see each change after a configurable lag. */
import { sendJson, startStandIn, type StandInServer } from './http-server.js';

/** One entry of the instance list, as the platform publishes it. */
export interface ListedInstance {
  readonly id: string;
  readonly kind: 'entry' | 'engine' | 'service';
  readonly service?: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly region: string;
  readonly state: 'live' | 'leaving';
}

export interface InstanceListStandIn extends StandInServer {
  /** Adds or replaces an entry; readers see it after the lag. */
  readonly set: (instance: ListedInstance) => void;
  readonly remove: (id: string) => void;
}

/**
 * Starts a stand-in instance list.
 *
 * @param lagMilliseconds - The time until a change becomes visible to readers.
 * @param port - The port to listen on; 0 selects a free one.
 * @returns The running stand-in.
 */
export async function startInstanceList(
  lagMilliseconds = 0,
  port = 0,
): Promise<InstanceListStandIn> {
  const changes: { at: number; id: string; instance: ListedInstance | undefined }[] = [];
  const listVisibleInstances = (): ListedInstance[] => {
    const rows = new Map<string, ListedInstance>();
    changes
      .filter((change) => change.at + lagMilliseconds <= Date.now())
      .forEach((change) => {
        if (change.instance) rows.set(change.id, change.instance);
        else rows.delete(change.id);
      });
    return [...rows.values()];
  };
  const set = (instance: ListedInstance): void => {
    changes.push({ at: Date.now(), id: instance.id, instance });
  };
  const remove = (id: string): void => {
    changes.push({ at: Date.now(), id, instance: undefined });
  };
  const server = await startStandIn(port, (request) => {
    if (request.method === 'POST') {
      set(JSON.parse(request.body) as ListedInstance);
    }
    if (request.method === 'DELETE') remove(request.path.slice('/instances/'.length));
    sendJson(request.response, 200, { instances: listVisibleInstances() });
  });
  return { ...server, set, remove };
}
