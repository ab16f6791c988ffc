import assert from 'node:assert/strict';
import { test } from 'node:test';
import { wouldUncoverLayers, type LayerHolder } from './coverage-guard.js';

const CONDITIONS = { layerCount: 8, canSpanDataCentres: true };

function hold(id: string, from: number, to: number): LayerHolder {
  return { id, dataCentre: id.charAt(0), layers: { from, to } };
}

test('coverage guard: a data centre that holds the model goes on holding it', () => {
  const holders = [hold('a1', 0, 4), hold('a2', 4, 8), hold('b1', 0, 8)];
  const moves = (to: number): boolean =>
    wouldUncoverLayers({ id: 'a1', layers: { from: 1, to } }, holders, CONDITIONS);
  assert.equal(moves(5), true);
  assert.equal(
    wouldUncoverLayers({ id: 'a1', layers: { from: 0, to: 5 } }, holders, CONDITIONS),
    false,
  );
});

// Where each data centre lacked some layer, each move was held back for a layer that another one holds.
test('coverage guard: in a data centre that lacks layers anyway, those of the others count', () => {
  const holders = [hold('a1', 0, 4), hold('b1', 0, 3), hold('b2', 5, 8)];
  const change = { id: 'b1', layers: { from: 3, to: 6 } };
  assert.equal(wouldUncoverLayers(change, holders, CONDITIONS), false);
  const apart = { ...CONDITIONS, canSpanDataCentres: false };
  assert.equal(wouldUncoverLayers(change, holders, apart), true);
  const last = { id: 'b2', layers: { from: 3, to: 6 } };
  assert.equal(wouldUncoverLayers(last, holders, CONDITIONS), true);
});
