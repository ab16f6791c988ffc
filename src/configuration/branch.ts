/**
 * The schema of a team's branch of the configuration: its settings, a revision that only grows, and
 * for each edited field the revision that set it, so that changes to different fields can be
 * merged.
 */
import { z } from 'zod';
import { keepWritableFields } from '../store/writable-fields.js';

const Name = z
  .string()
  .min(1)
  .max(100)
  .regex(/^[A-Za-z0-9][A-Za-z0-9._:-]*$/);

/** The limits and the priority class of one client account. */
export const ClientAccount = z.strictObject({
  /** The number of requests admitted per second, over all instances together. */
  requestsPerSecond: z.number().positive().max(1_000_000).default(1000),
  /** The account's share relative to other accounts when backend servers are fully loaded. */
  weight: z.number().positive().max(1000).default(1),
  /** The queueing class of requests that do not choose one. */
  class: z.enum(['interactive', 'batch']).default('interactive'),
  /** SHA-256 of the account's API key, in hexadecimal. Without it, no key is required. */
  keyHash: z
    .string()
    .regex(/^[0-9a-f]{64}$/)
    .optional(),
});
export type ClientAccount = z.infer<typeof ClientAccount>;

/** A model that a team serves, under a name that the team chooses. */
export const ServedModel = z.strictObject({
  model: Name,
  version: Name,
  adapter: z.string().max(100).default(''),
  /** The kinds of accelerator that it may run on; empty means any. */
  fleets: z.array(Name).default([]),
  /** The weight of this version and adapter when the engines of the model are divided up. */
  share: z.number().int().min(1).max(1000).default(1),
});
export type ServedModel = z.infer<typeof ServedModel>;

/** How calls to a plain service are made. */
export const PlainService = z.strictObject({
  /** The HTTP methods whose calls may be retried. */
  idempotentMethods: z
    .array(z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'POST', 'PATCH', 'OPTIONS']))
    .default(['GET', 'HEAD', 'OPTIONS']),
  timeoutMilliseconds: z.number().int().min(10).max(600_000).default(10_000),
});
export type PlainService = z.infer<typeof PlainService>;

/** The settings of a team. */
export const TeamSettings = z.strictObject({
  /** The priority from 0, served last, to 9, served first. */
  priority: z.number().int().min(0).max(9).default(5),
  accounts: z.record(Name, ClientAccount).default({}),
  models: z.record(Name, ServedModel).default({}),
  services: z.record(Name, PlainService).default({}),
});
export type TeamSettings = z.infer<typeof TeamSettings>;

/** One accepted change, as it is kept in the history of the branch, also with fields of a newer build. */
export const AcceptedChange = z
  .looseObject({
    id: z.string(),
    revision: z.number().int(),
    author: z.string(),
    acceptedAt: z.number(),
    paths: z.array(z.string()),
  })
  .transform(keepWritableFields);
export type AcceptedChange = z.infer<typeof AcceptedChange>;

/**
 * A branch as it is stored in the object API and sent to peers. A change keeps the fields of a newer
 * build beside the settings.
 */
export const Branch = z
  .looseObject({
    team: Name,
    revision: z.number().int().min(0),
    /** The revision that last set each field. The key is the field's path, joined with slashes. */
    fieldRevisions: z.record(z.string(), z.number().int()),
    /** Changes based on a revision older than this can no longer be merged. */
    mergeFloor: z.number().int().min(0),
    recentChanges: z.array(AcceptedChange),
    settings: TeamSettings,
  })
  .transform(keepWritableFields);
export type Branch = z.infer<typeof Branch>;

/** The key prefix of branches in the object API. */
export const BRANCH_PREFIX = 'configuration/';

/** Creates the branch of a team that has no settings yet, at revision 0. */
export function createEmptyBranch(team: string): Branch {
  return {
    team,
    revision: 0,
    fieldRevisions: {},
    mergeFloor: 0,
    recentChanges: [],
    settings: TeamSettings.parse({}),
  };
}
