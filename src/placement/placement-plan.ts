/**
 * Plans which version and adapter of a model each engine holds, from the models that the teams
 * declare in their configuration. Engines that hold a desired version keep it where possible.
 */
import type { BackendServer } from '../backend/backend-server.js';
import type { Branch } from '../configuration/branch.js';

/** A version and adapter of a model that teams declare. */
export interface DesiredVersion {
  readonly model: string;
  readonly version: string;
  readonly adapter: string;
  /** The accelerator kinds that may hold it; all when empty. */
  readonly fleets: readonly string[];
  /** Its share of the engines, relative to the shares of the model's other versions. */
  readonly share: number;
}

/** An order to one engine to load another version or adapter. */
export interface PlannedOrder {
  readonly server: BackendServer;
  readonly desired: DesiredVersion;
}

/** Formats what distinguishes the desired versions of one model. */
function formatKey(desired: Omit<DesiredVersion, 'share' | 'model'>): string {
  return JSON.stringify([desired.version, desired.adapter, [...desired.fleets].sort()]);
}

/**
 * Collects the versions of a model that teams declare. Teams that declare the same version, adapter
 * and fleets use the same engines; the largest share that one of them declares applies.
 *
 * @param branches - The branches of the active configuration.
 * @returns Each distinct version once, in the same order on every instance.
 */
export function collectDesiredVersions(
  branches: readonly Branch[],
  model: string,
): DesiredVersion[] {
  const versions = new Map<string, DesiredVersion>();
  branches
    .flatMap((branch) => Object.values(branch.settings.models))
    .filter((served) => served.model === model)
    .forEach((served) => {
      const existing = versions.get(formatKey(served));
      const share = Math.max(existing?.share ?? 0, served.share);
      versions.set(formatKey(served), { ...served, share });
    });
  return [...versions.values()].sort((one, other) => (formatKey(one) < formatKey(other) ? -1 : 1));
}

/**
 * Lists the models that teams declare.
 *
 * @param branches - The branches of the active configuration.
 * @returns Each model's name once, sorted.
 */
export function listDeclaredModels(branches: readonly Branch[]): string[] {
  const models = branches.flatMap((branch) => Object.values(branch.settings.models));
  return [...new Set(models.map((served) => served.model))].sort();
}

function isHolding(server: BackendServer, desired: DesiredVersion): boolean {
  const { engine } = server;
  return engine?.version === desired.version && engine.adapter === desired.adapter;
}

function canHold(server: BackendServer, desired: DesiredVersion): boolean {
  const { fleets } = desired;
  return fleets.length === 0 || fleets.includes(server.engine?.accelerator ?? '');
}

/** Divides the engines of one layer range; engines that hold a desired version keep it first. */
function planLayerRange(
  servers: readonly BackendServer[],
  desiredVersions: readonly DesiredVersion[],
): PlannedOrder[] {
  const totalShare = desiredVersions.reduce((sum, desired) => sum + desired.share, 0);
  const unassigned = new Set(servers);
  const orders: PlannedOrder[] = [];
  const shortfalls: { desired: DesiredVersion; count: number }[] = [];
  desiredVersions.forEach((desired) => {
    const targetCount = Math.max(1, Math.floor((servers.length * desired.share) / totalShare));
    const kept = [...unassigned]
      .filter((server) => isHolding(server, desired) && canHold(server, desired))
      .slice(0, targetCount);
    kept.forEach((server) => unassigned.delete(server));
    shortfalls.push({ desired, count: targetCount - kept.length });
  });
  shortfalls.forEach(({ desired, count }) => {
    const assigned = [...unassigned].filter((server) => canHold(server, desired)).slice(0, count);
    assigned.forEach((server) => unassigned.delete(server));
    assigned.forEach((server) => orders.push({ server, desired }));
  });
  // Engines left over by rounding get the first version that they can hold, unless they hold a
  // desired version already.
  unassigned.forEach((server) => {
    const allowed = desiredVersions.filter((desired) => canHold(server, desired));
    const [first] = allowed;
    if (first && !allowed.some((desired) => isHolding(server, desired)))
      orders.push({ server, desired: first });
  });
  return orders;
}

/**
 * Plans the orders that make a model's engines hold the desired versions. Each layer range is
 * planned on its own, so that each version gets engines in every range while there are enough.
 *
 * @param engines - The engines of the model that are in service.
 * @param desiredVersions - The desired versions of this model.
 * @returns The orders; none when every engine already holds what it should.
 */
export function planOrders(
  engines: readonly BackendServer[],
  desiredVersions: readonly DesiredVersion[],
): PlannedOrder[] {
  if (desiredVersions.length === 0) return [];
  const groups = new Map<string, BackendServer[]>();
  [...engines]
    .sort((one, other) => (one.id < other.id ? -1 : 1))
    .forEach((server) => {
      const range = `${server.engine?.from}-${server.engine?.to}`;
      groups.set(range, [...(groups.get(range) ?? []), server]);
    });
  return [...groups.values()].flatMap((servers) => planLayerRange(servers, desiredVersions));
}
