/**
 * Distinguishes a lost engine from a full one. After some engines are lost, the remaining ones are
 * short of KV cache and refuse most requests. If they were considered lost, their layers would be
 * moved to the others, which would then be short of KV cache too.
 */

/** Observations from which an engine is considered lost. */
export interface EngineSymptoms {
  /** How long it has refused every request; 0 if it accepts requests. */
  readonly refusingMilliseconds: number;
  /** How long it has been ejected; 0 if it is not. */
  readonly ejectedMilliseconds: number;
  /** Requests of all instances that run on it. */
  readonly runningRequests: number;
}

/**
 * An engine that refuses every request for longer while no request runs on it is considered lost.
 */
const REFUSING_LIMIT_MILLISECONDS = 1200;
/** An engine that is ejected for longer is considered lost. */
const EJECTED_LIMIT_MILLISECONDS = 700;

/**
 * Decides whether an engine is lost, so that its layers must be placed on other engines.
 *
 * @param symptoms - The current observations of the engine.
 */
export function isEngineLost(symptoms: EngineSymptoms): boolean {
  const { refusingMilliseconds, ejectedMilliseconds, runningRequests } = symptoms;
  if (ejectedMilliseconds > EJECTED_LIMIT_MILLISECONDS) return true;
  return refusingMilliseconds > REFUSING_LIMIT_MILLISECONDS && runningRequests === 0;
}
