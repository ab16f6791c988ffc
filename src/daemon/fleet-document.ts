/** The list of backend servers as peers fetch it from each other; reads that of another build. */
import { z } from 'zod';
import type { ServerEntry } from '../fleet/server-entry.js';
import { parseTolerantly } from '../gossip/tolerant-parse.js';

const Layers = z.looseObject({ from: z.number(), to: z.number() });

/** The fields of a {@link ServerEntry} as JSON, and others, which are kept. */
const FleetEntry = z.looseObject({
  id: z.string(),
  incarnation: z.string().optional(),
  service: z.string(),
  address: z.looseObject({ host: z.string(), port: z.number() }),
  dataCentre: z.string(),
  slots: z.number(),
  isLeaving: z.boolean(),
  kind: z.string().optional(),
  layers: Layers.optional(),
});

const FleetDocument = z.object({
  revision: z.number(),
  entries: z.array(z.unknown()),
  /** By id of a server whose entry is missing after a store outage: how long the store has been back. */
  missingMilliseconds: z.record(z.string(), z.number()).optional(),
});

/** A peer's list, as far as it can be read. */
export interface DecodedFleet {
  readonly revision: number;
  readonly entries: readonly ServerEntry[];
  readonly missingMilliseconds: Readonly<Record<string, number>>;
  /** What was left out. */
  readonly messages: readonly string[];
}

/**
 * Reads a peer's list of backend servers.
 *
 * @param value - The document that the peer sent.
 * @returns The entries that can be read; undefined if the document isn't a list with a revision.
 */
export function decodeFleetDocument(value: unknown): DecodedFleet | undefined {
  const { value: document, message } = parseTolerantly(FleetDocument, value);
  if (!document) return undefined;
  const results = document.entries.map((entry) => parseTolerantly(FleetEntry, entry));
  return {
    revision: document.revision,
    entries: results
      .map(({ value: entry }) => entry)
      .filter((entry) => entry !== undefined)
      .map((entry) => ({ kind: undefined, layers: undefined, ...entry })),
    missingMilliseconds: document.missingMilliseconds ?? {},
    messages: [message, ...results.map((result) => result.message)].filter(
      (text) => text !== undefined,
    ),
  };
}
