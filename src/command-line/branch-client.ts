/** Reads and changes a team's branch of the configuration through an instance's operator interface. */
import { randomUUID } from 'node:crypto';
import { isDeepStrictEqual } from 'node:util';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { Branch, TeamSettings } from '../configuration/branch.js';
import type { Edit } from '../configuration/change.js';
import { fetchJson } from './operator-client.js';

type JsonValue = Edit['value'];
type JsonObject = Readonly<Record<string, JsonValue>>;

const IN_FORCE_POLL_INTERVAL_MILLISECONDS = 100;

/** The instances on which a revision is in force, and those on which it is not yet. */
export interface InForceReport {
  readonly inForce: string[];
  readonly missing: string[];
}

/**
 * Reads a team's branch.
 *
 * @param address - Operator address of the instance to ask.
 * @param team - Name of the team.
 * @returns The branch in force on that instance.
 */
export async function readBranch(address: Address, team: string): Promise<Branch> {
  return Branch.parse(
    await fetchJson(address, 'GET', `/v1/configuration/${encodeURIComponent(team)}`),
  );
}

function isObject(value: JsonValue | undefined): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Compares recursively; an absent field becomes an edit that sets it to null, which removes it. */
function computeEdits(before: JsonObject, after: JsonObject, path: readonly string[]): Edit[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name): Edit[] => {
    const currentValue = before[name];
    const wantedValue = after[name];
    const fieldPath = [...path, name];
    if (isDeepStrictEqual(currentValue, wantedValue)) return [];
    if (isObject(currentValue) && isObject(wantedValue))
      return computeEdits(currentValue, wantedValue, fieldPath);
    return [{ path: fieldPath, value: wantedValue ?? null }];
  });
}

/**
 * Computes the edits that turn one state of a team's settings into another.
 *
 * @param before - The current settings.
 * @param after - The wanted settings.
 * @returns One edit for each field that differs; a value of null removes the field.
 */
export function diffSettings(before: TeamSettings, after: TeamSettings): Edit[] {
  return computeEdits(before, after, []);
}

/**
 * Sends a change of a team's settings.
 *
 * @param address - Operator address of any instance.
 * @param team - Name of the team.
 * @param change - The revision that the edits are based on, their author and the edits.
 * @returns The new revision.
 * @throws CommandError when the change is refused or the instance cannot be reached.
 */
export async function sendChange(
  address: Address,
  team: string,
  change: {
    readonly baseRevision: number;
    readonly author: string;
    readonly edits: readonly Edit[];
  },
): Promise<number> {
  const path = `/v1/configuration/${encodeURIComponent(team)}/changes`;
  const response = await fetchJson(address, 'POST', path, { id: randomUUID(), ...change });
  return (response as { revision: number }).revision;
}

/**
 * Waits until a revision, or a later one, is in force on every live instance.
 *
 * @param address - Operator address of any instance.
 * @param team - Name of the team.
 * @param revision - The revision to wait for.
 * @param timeoutMilliseconds - The longest wait.
 * @returns The instances on which it is in force, and those on which it is not at the end of the wait.
 */
export async function waitUntilInForce(
  address: Address,
  team: string,
  revision: number,
  timeoutMilliseconds: number,
): Promise<InForceReport> {
  const deadline = Date.now() + timeoutMilliseconds;
  const response = await fetchJson(address, 'GET', '/v1/members');
  const { members } = response as {
    members: { instance: string; state: string; operatorAddress: Address }[];
  };
  const missing = new Map(
    members
      .filter((member) => !['leaving', 'gone'].includes(member.state))
      .map((member) => [member.instance, member.operatorAddress]),
  );
  const inForce: string[] = [];
  while (missing.size > 0 && Date.now() < deadline) {
    await Promise.all(
      [...missing].map(async ([instance, operatorAddress]) => {
        const branch = await readBranch(operatorAddress, team).catch(() => undefined);
        if (!branch || branch.revision < revision) return;
        missing.delete(instance);
        inForce.push(instance);
      }),
    );
    if (missing.size > 0) await sleep(IN_FORCE_POLL_INTERVAL_MILLISECONDS);
  }
  return { inForce: inForce.sort(), missing: [...missing.keys()].sort() };
}
