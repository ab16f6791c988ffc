/**
 * Bounds on what is told of a backend server, by its entry, by itself or by a peer. Handles odd values of other
 * writers, which would otherwise be counted through, or take the place of all other servers.
 */
import { z } from 'zod';

/** Several times what the deepest models have; plans take more steps than layers. */
export const MAXIMUM_LAYERS = 1000;
/** Each request at a server holds a connection, and an address has no more ports. */
export const MAXIMUM_SLOTS = 65_535;
const HIGHEST_PORT = 65_535;

export const Slots = z.number().int().min(0).max(MAXIMUM_SLOTS);
export const Port = z.number().int().min(1).max(HIGHEST_PORT);
export const FirstLayer = z.number().int().min(0).max(MAXIMUM_LAYERS);
/** The layer behind the last one. */
export const LayerEnd = z.number().int().min(1).max(MAXIMUM_LAYERS);
