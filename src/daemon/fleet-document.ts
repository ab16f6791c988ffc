/** The list of backend servers as peers fetch it from each other; reads that of another build. */
import { z } from 'zod';
import { FirstLayer, LayerEnd, Port, Slots } from '../fleet/entry-bounds.js';
import type { ServerEntry } from '../fleet/server-entry.js';
import { parseTolerantly } from '../gossip/tolerant-parse.js';

const Layers = z
  .looseObject({ from: FirstLayer, to: LayerEnd })
  .refine(({ from, to }) => from < to);

/** The fields of a {@link ServerEntry} as JSON, and others, which are kept. */
const FleetEntry = z.looseObject({
  id: z.string(),
  incarnation: z.string().optional(),
  service: z.string(),
  address: z.looseObject({ host: z.union([z.ipv4(), z.ipv6()]), port: Port }),
  dataCentre: z.string(),
  slots: Slots,
  isLeaving: z.boolean(),
  kind: z.string().optional(),
  layers: Layers.optional(),
  revision: z.number().int().min(0).optional().catch(undefined),
});

const EntryLayers = z.object({ layers: z.unknown() }).catch({ layers: undefined });

/** Whether an entry has layers that can't be read; it names no engine to use, not one without layers. */
function hasOddLayers(entry: unknown): boolean {
  const { layers } = EntryLayers.parse(entry);
  return layers !== undefined && !Layers.safeParse(layers).success;
}

const FleetDocument = z.object({
  revision: z.number().int().min(0),
  /** Era of the store to which the revision belongs. Absent in lists of older builds. */
  era: z.number().int().min(0).optional(),
  entries: z.array(z.unknown()),
  /** By id of a server whose entry is missing after a store outage: how long the store has been back. */
  missingMilliseconds: z.record(z.string(), z.number().min(0)).optional(),
});

/** A peer's list, as far as it can be read. */
export interface DecodedFleet {
  readonly revision: number;
  readonly era: number | undefined;
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
  const results = document.entries.map((entry) => {
    const result = parseTolerantly(FleetEntry, entry);
    return hasOddLayers(entry) ? { ...result, value: undefined } : result;
  });
  return {
    revision: document.revision,
    era: document.era,
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
