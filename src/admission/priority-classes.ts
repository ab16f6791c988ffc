/**
 * Tells which priority classes a service has. Admission control by priority acts only on services with several,
 * since requests of one class have no order among them.
 */
import type { EntryRequest } from '../entry/entry-request.js';
import type { Route, ServingConfiguration } from '../entry/serving-configuration.js';

/** The class of a request among those of its service. */
export interface PriorityClass {
  /** 0 for the most urgent class. */
  readonly index: number;
  /** Number of classes of the service. */
  readonly count: number;
}

/** The least urgent of the ten priorities that backend servers know. */
const LEAST_URGENT = 9;

function clampPriority(priority: number): number {
  return Math.max(0, Math.min(LEAST_URGENT, priority));
}

/**
 * Returns the priority of a request, from 0 (most urgent) to 9.
 *
 * @param request - Its route, and its client account, whose own priority takes precedence.
 */
export function getPriority({ account, route }: Pick<EntryRequest, 'account' | 'route'>): number {
  return clampPriority(account?.priority ?? route.priority);
}

/**
 * Lists the services whose routes have several priorities. Client accounts with a priority of their own don't make
 * classes by themselves: room that is reserved for a few accounts would be lost to all others.
 */
function listServicesWithClasses({ routes }: ServingConfiguration): ReadonlySet<string> {
  const first = new Map<string, number>();
  const services = new Set<string>();
  routes.forEach((route) => {
    const priority = clampPriority(route.priority);
    route.services.forEach(({ service }) => {
      if ((first.get(service) ?? priority) !== priority) services.add(service);
      else first.set(service, priority);
    });
  });
  return services;
}

function listRoutePriorities(
  route: Route,
  { accounts, hasAccounts }: ServingConfiguration,
): readonly number[] {
  // Requests to public routes have no client account.
  if (route.isPublic || !hasAccounts) return [clampPriority(route.priority)];
  return [...accounts.values()].map((account) => getPriority({ account, route }));
}

/**
 * Lists the priorities that requests to each service may have.
 *
 * @param configuration - The configuration in force.
 * @returns By service name, the priorities in ascending order, the most urgent one first.
 */
export function listPriorities(
  configuration: ServingConfiguration,
): ReadonlyMap<string, readonly number[]> {
  const priorities = new Map<string, Set<number>>();
  const servicesWithClasses = listServicesWithClasses(configuration);
  configuration.routes.forEach((route) => {
    const withAccounts = listRoutePriorities(route, configuration);
    route.services.forEach(({ service }) => {
      const ofRoute = servicesWithClasses.has(service)
        ? withAccounts
        : [clampPriority(route.priority)];
      const known = priorities.get(service) ?? new Set();
      ofRoute.forEach((priority) => known.add(priority));
      priorities.set(service, known);
    });
  });
  return new Map(
    [...priorities].map(([service, known]) => [
      service,
      [...known].sort((one, other) => one - other),
    ]),
  );
}

/** The priority classes by the configuration in force, computed once for each configuration. */
export class PriorityClasses {
  readonly #current: () => ServingConfiguration | undefined;

  #configuration: ServingConfiguration | undefined;

  #priorities: ReadonlyMap<string, readonly number[]> = new Map();

  /** @param current - Returns the configuration in force. */
  constructor(current: () => ServingConfiguration | undefined) {
    this.#current = current;
  }

  /** Finds the class of a request. */
  find(request: Pick<EntryRequest, 'account' | 'route' | 'service'>): PriorityClass {
    const configuration = this.#current();
    if (configuration !== this.#configuration) {
      this.#configuration = configuration;
      this.#priorities = configuration ? listPriorities(configuration) : new Map();
    }
    const priorities = this.#priorities.get(request.service.name) ?? [];
    const own = getPriority(request);
    const index = priorities.filter((priority) => priority < own).length;
    const count = Math.max(1, priorities.length);
    // A request of an earlier configuration may have a priority that is no longer in use.
    return { index: Math.min(index, count - 1), count };
  }
}
