import assert from 'node:assert/strict';
import { test } from 'node:test';
import { createServingConfiguration } from '../../tools/serving-configuration.js';
import type { ClientAccount, Route, ServingConfiguration } from '../entry/serving-configuration.js';
import { listPriorities, PriorityClasses } from './priority-classes.js';

function createRoute(priority: number, overrides: Partial<Route> = {}): Route {
  return {
    name: `route-${priority}`,
    host: 'host',
    pathPrefix: '/',
    kind: 'streaming',
    timeoutMilliseconds: 20_000,
    targetMilliseconds: 500,
    priority,
    services: [{ service: 'model', weight: 1 }],
    maximumAttempts: 3,
    isPublic: false,
    isResumable: true,
    gapTargetMilliseconds: 250,
    ...overrides,
  };
}

function createConfiguration(
  routes: readonly Route[],
  accounts: readonly ClientAccount[] = [],
): ServingConfiguration {
  return {
    ...createServingConfiguration(1),
    routes,
    accounts: new Map(accounts.map((account) => [account.name, account])),
    hasAccounts: accounts.length > 0,
  };
}

const PLAIN: ClientAccount = { name: 'plain', priority: undefined };
const URGENT: ClientAccount = { name: 'urgent', priority: 0 };

test('priority classes: the routes of a service tell its classes, the most urgent first', () => {
  const other = createRoute(7, { services: [{ service: 'other', weight: 1 }] });
  const configuration = createConfiguration([createRoute(2), createRoute(0), other]);
  assert.deepEqual(listPriorities(configuration).get('model'), [0, 2]);
  assert.deepEqual(listPriorities(configuration).get('other'), [7]);
});

test('priority classes: the priority of an account counts instead of that of the route', () => {
  const routes = [createRoute(3), createRoute(5)];
  assert.deepEqual(listPriorities(createConfiguration(routes, [PLAIN])).get('model'), [3, 5]);
  const several = createConfiguration(routes, [PLAIN, URGENT]);
  assert.deepEqual(listPriorities(several).get('model'), [0, 3, 5]);
});

// Room was reserved for a few accounts, and most requests of the others were refused while engines could run them.
test('priority classes: accounts with a priority of their own make no classes on routes of one priority', () => {
  const configuration = createConfiguration([createRoute(5)], [PLAIN, URGENT]);
  assert.deepEqual(listPriorities(configuration).get('model'), [5]);
});

// Requests to public routes have no account, so the accounts made no second class there.
test('priority classes: a public route has the class of the route only', () => {
  const routes = [createRoute(5, { isPublic: true }), createRoute(7, { isPublic: true })];
  const configuration = createConfiguration(routes, [PLAIN, URGENT]);
  assert.deepEqual(listPriorities(configuration).get('model'), [5, 7]);
});

// Servers know ten degrees, so priorities below the last one are one class.
test('priority classes: priorities that servers do not tell apart are one class', () => {
  const configuration = createConfiguration([createRoute(9), createRoute(12)]);
  assert.deepEqual(listPriorities(configuration).get('model'), [9]);
});

test('priority classes: a request of an earlier configuration belongs to an existing class', () => {
  let current = createConfiguration([createRoute(0), createRoute(2)]);
  const classes = new PriorityClasses(() => current);
  const service = { name: 'model' } as never;
  const find = (priority: number) =>
    classes.find({ route: createRoute(priority), account: undefined, service });
  assert.deepEqual(find(2), { index: 1, count: 2 });
  assert.deepEqual(find(8), { index: 1, count: 2 });
  current = createConfiguration([createRoute(4)]);
  assert.deepEqual(find(2), { index: 0, count: 1 });
  assert.deepEqual(find(8), { index: 0, count: 1 });
});
