/** Creates configurations for tests that look only at versions. */
import type { ServingConfiguration } from '../src/entry/serving-configuration.js';

/** Returns a configuration without routes. */
export function createServingConfiguration(version: number): ServingConfiguration {
  return {
    version,
    routes: [],
    services: new Map(),
    accounts: new Map(),
    hasAccounts: false,
    limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
  };
}
