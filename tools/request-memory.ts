/** Creates what counts the bytes of one request, in tests that look at other things. */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { MemoryBudget } from '../src/memory/memory-budget.js';
import { RequestMemory } from '../src/memory/request-memory.js';
import { createSilentLogger } from '../src/telemetry/log.js';

/** Returns the memory of a request that is the only one. */
export function createRequestMemory(limitBytes = Number.POSITIVE_INFINITY): RequestMemory {
  return new RequestMemory({
    budget: new MemoryBudget({ limitBytes, log: createSilentLogger() }),
    requestId: 'request',
    response: new EventEmitter() as ServerResponse,
  });
}
