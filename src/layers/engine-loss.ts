/**
 * Tells an engine that is lost from one that is full. Load pattern: after losses the engines left
 * are short of KV cache and refuse most requests. Taking them for lost would lay their layers on
 * the others, which are then short as well.
 */

/** What is known of an engine. */
export interface EngineSigns {
  /** For how long it has refused every request, in milliseconds. */
  readonly refusingMilliseconds: number;
  /** For how long it has been suspected, in milliseconds. */
  readonly suspectMilliseconds: number;
  /** Requests under way there, of all instances. */
  readonly running: number;
}

/** An engine that refuses requests for this long while nothing runs there is taken for lost. */
const REFUSING_MILLISECONDS = 1200;
/** A suspect engine's layers are placed again after this long. */
const SUSPECT_KEPT_MILLISECONDS = 700;

/**
 * Tells whether an engine's layers are to be placed elsewhere.
 *
 * @param signs - What is known of it.
 * @returns Whether it is taken for lost.
 */
export function isEngineLost(signs: EngineSigns): boolean {
  const { refusingMilliseconds, suspectMilliseconds, running } = signs;
  if (suspectMilliseconds > SUSPECT_KEPT_MILLISECONDS) return true;
  return refusingMilliseconds > REFUSING_MILLISECONDS && running === 0;
}
