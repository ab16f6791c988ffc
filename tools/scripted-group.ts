/** Starts groups of instances all of whose calls or streams reach servers that answer with given bytes. */
import type { TestContext } from 'node:test';
import { waitUntil, type PlatformGroup, type PlatformInstance } from './platform-group.js';
import { getFirstInstance, startGroup } from './serving-group.js';
import { startScriptedServers, type ScriptedServers } from './stand-ins/scripted-server.js';

/** A running group. */
export interface ScriptedGroup {
  readonly group: PlatformGroup;
  readonly instance: PlatformInstance;
  readonly scripted: ScriptedServers;
}

/** Options of {@link startScriptedGroup}. */
export interface ScriptedGroupOptions {
  /** Whether the scripted servers are engines, each of which holds every layer. */
  readonly isEngine: boolean;
  readonly instances?: number;
  /** The number of scripted servers; 2 by default. */
  readonly servers?: number;
}

/**
 * Starts a group in which scripted servers take the place of all engines, or of all plain servers.
 *
 * @param context - The test; everything is stopped when it ends.
 * @param options - Whose place they take, and the number of instances.
 * @returns The group, once every instance knows just these servers.
 */
export async function startScriptedGroup(
  context: TestContext,
  { isEngine, instances = 1, servers = 2 }: ScriptedGroupOptions,
): Promise<ScriptedGroup> {
  const group = await startGroup(context, { plainServers: 1, instances });
  const scripted = await startScriptedServers(context, servers);
  const replaced = group.servers.filter(({ kind }) => (kind !== undefined) === isEngine);
  replaced.forEach(({ id }) => group.store.remove('servers', id));
  scripted.servers.forEach(({ id, port }) => {
    group.store.put('servers', id, {
      service: isEngine ? 'drafter' : 'casebook',
      address: `127.0.0.1:${port}`,
      zone: 'zone-a',
      slots: 20,
      state: 'ready',
      ...(isEngine ? { kind: 'card', layers: { from: 0, to: 8, version: 1 } } : {}),
    });
  });
  await Promise.all(
    group.instances.map(({ name, log }) =>
      waitUntil(() => {
        const text = log.join('');
        return (
          scripted.servers.every(({ id }) => text.includes(`"${id}"`)) &&
          replaced.every(({ id }) => text.includes(`"id":"${id}","revision"`))
        );
      }, `${name} knows only the scripted servers`),
    ),
  );
  return { group, scripted, instance: getFirstInstance(group) };
}
