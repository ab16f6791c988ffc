import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ENGINE_PROFILE as PROFILE } from '../../tools/engine-profile.js';
import { maximumLayerCount } from './engine-estimates.js';
import { countModelCopies, hasSpareMemory, type EngineMemory } from './spare-memory.js';

const LARGE_LAYERS = maximumLayerCount(PROFILE, 'large');

function listEngines(count: number, dataCentre = 'here'): EngineMemory[] {
  return Array.from({ length: count }, () => ({ dataCentre, kind: 'large' }));
}

// Guards against counting memory that chains of a data centre can't use without crossing.
test('spare memory: only engines of the data centre count', () => {
  const engines = [...listEngines(4), ...listEngines(40, 'there')];
  assert.equal(countModelCopies(engines, 'here', PROFILE), (4 * LARGE_LAYERS) / PROFILE.layerCount);
});

test('spare memory: memory is spare from three copies on', () => {
  const needed = Math.ceil((3 * PROFILE.layerCount) / LARGE_LAYERS);
  assert.equal(hasSpareMemory(listEngines(needed), 'here', PROFILE), true);
  assert.equal(hasSpareMemory(listEngines(needed - 1), 'here', PROFILE), false);
});

// Guards against engines of an unknown accelerator kind, on which nothing can be placed.
test('spare memory: engines of an undeclared kind have none', () => {
  const engines = [{ dataCentre: 'here', kind: 'undeclared' }];
  assert.equal(countModelCopies(engines, 'here', PROFILE), 0);
});
