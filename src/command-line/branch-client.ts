/** Reads and changes branches through an instance's operator interface. */
import { randomUUID } from 'node:crypto';
import { isDeepStrictEqual } from 'node:util';
import type { Address } from '../common/address.js';
import { sleep } from '../common/clock.js';
import { Branch, TeamSettings } from '../configuration/branch.js';
import type { Edit } from '../configuration/change.js';
import { fetchJson } from './operator-client.js';

type JsonValue = Edit['value'];
type JsonObject = Readonly<Record<string, JsonValue>>;

const IN_FORCE_POLL_MILLISECONDS = 100;

/** The instances that have a revision in force and those that have not. */
export interface InForceReport {
  readonly inForce: string[];
  readonly missing: string[];
}

/**
 * Reads a team's branch.
 *
 * @param address - The instance's operator address.
 * @param team - The team.
 * @returns The branch in force there.
 */
export async function readBranch(address: Address, team: string): Promise<Branch> {
  return Branch.parse(
    await fetchJson(address, 'GET', `/v1/configuration/${encodeURIComponent(team)}`),
  );
}

function isObject(value: JsonValue | undefined): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function differences(before: JsonObject, after: JsonObject, path: readonly string[]): Edit[] {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name): Edit[] => {
    const old = before[name];
    const wanted = after[name];
    const here = [...path, name];
    if (isDeepStrictEqual(old, wanted)) return [];
    if (isObject(old) && isObject(wanted)) return differences(old, wanted, here);
    return [{ path: here, value: wanted ?? null }];
  });
}

/**
 * Finds the edits that lead from one state of a branch to another.
 *
 * @param before - The settings now.
 * @param after - The settings wanted.
 * @returns One edit for each field that differs.
 */
export function diffSettings(before: TeamSettings, after: TeamSettings): Edit[] {
  return differences(before, after, []);
}

/**
 * Sends a change.
 *
 * @param address - The instance's operator address.
 * @param team - The team.
 * @param change - The revision looked at, the author and the edits.
 * @returns The revision that the change made.
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
  const answer = await fetchJson(address, 'POST', path, { id: randomUUID(), ...change });
  return (answer as { revision: number }).revision;
}

/**
 * Waits until every live instance has a revision in force.
 *
 * @param address - The operator address of any instance.
 * @param team - The team.
 * @param revision - The revision.
 * @param timeoutMilliseconds - How long to wait.
 * @returns Which instances have it and which have not.
 */
export async function waitUntilInForce(
  address: Address,
  team: string,
  revision: number,
  timeoutMilliseconds: number,
): Promise<InForceReport> {
  const deadline = Date.now() + timeoutMilliseconds;
  const answer = await fetchJson(address, 'GET', '/v1/members');
  const { members } = answer as {
    members: { instance: string; state: string; operatorAddress: Address }[];
  };
  const waiting = new Map(
    members
      .filter((member) => !['leaving', 'gone'].includes(member.state))
      .map((member) => [member.instance, member.operatorAddress]),
  );
  const inForce: string[] = [];
  while (waiting.size > 0 && Date.now() < deadline) {
    await Promise.all(
      [...waiting].map(async ([instance, operatorAddress]) => {
        const branch = await readBranch(operatorAddress, team).catch(() => undefined);
        if (!branch || branch.revision < revision) return;
        waiting.delete(instance);
        inForce.push(instance);
      }),
    );
    if (waiting.size > 0) await sleep(IN_FORCE_POLL_MILLISECONDS);
  }
  return { inForce: inForce.sort(), missing: [...waiting.keys()].sort() };
}
