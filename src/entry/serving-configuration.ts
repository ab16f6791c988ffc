/** The configuration that requests are served by: routes, services, client accounts, limits. */

/** What may be repeated. `streaming` answers come as events and may be resumable. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMilliseconds: number;
  /** Until the answer, or a stream's first event. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** The most backend servers that may run one request. */
  readonly maximumAttempts: number;
  /** Served without an API key. */
  readonly isPublic: boolean;
  readonly isResumable: boolean;
  /** The longest pause between events of a stream that is in time. */
  readonly gapTargetMilliseconds: number;
}

/** How a kind of accelerator compares with the reference one. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Multiplies the time of token steps. */
  readonly decodeFactor: number;
  /** Multiplies the time of reading prompts. */
  readonly prefillFactor: number;
}

/** The timing and memory of a service's model engines. */
export interface EngineProfile {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  readonly modelName: string;
  /** To load all layers. */
  readonly loadMilliseconds: number;
  readonly concurrentLoads: number;
  readonly stepMilliseconds: number;
  /** Added to a step for each request in the batch. */
  readonly stepMillisecondsPerRequest: number;
  readonly prefillTokensPerMillisecond: number;
  /** Of the KV cache, for one token in all layers. */
  readonly kvCacheBytesPerToken: number;
  readonly activationBytesPerToken: number;
  /** Of the link between two data centres. */
  readonly dataCentreLinkMegabitsPerSecond: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly acceleratorKinds: ReadonlyMap<string, AcceleratorKind>;
}

export interface Service {
  readonly name: string;
  readonly healthPath: string;
  readonly maximumConnections: number;
  /** Present where the service's backend servers are model engines. */
  readonly engine: EngineProfile | undefined;
}

export interface ClientAccount {
  readonly name: string;
  /** Goes before a route's priority. */
  readonly priority: number | undefined;
}

/** What a client may send, and how slowly. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One version of the configuration, whole. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** By API key. */
  readonly accounts: ReadonlyMap<string, ClientAccount>;
  /** Whether requests need an API key. */
  readonly hasAccounts: boolean;
  readonly limits: ClientLimits;
}

/** Routes by host and prefix, for the longest prefix of a path. */
export class RouteTable {
  readonly #routes = new Map<string, Route>();

  constructor(routes: readonly Route[]) {
    routes.forEach((route) => {
      this.#routes.set(`${route.host}${route.pathPrefix}`, route);
    });
  }

  /**
   * Finds the route of a request.
   *
   * @param host - The host without a port, in lower case.
   * @param target - The path, with or without a query.
   * @returns The route with the longest prefix, or undefined.
   */
  find(host: string, target: string): Route | undefined {
    const query = target.indexOf('?');
    const path = query < 0 ? target : target.slice(0, query);
    let slash = path.lastIndexOf('/');
    while (slash >= 0) {
      const route = this.#routes.get(`${host}${path.slice(0, slash + 1)}`);
      if (route) return route;
      slash = slash === 0 ? -1 : path.lastIndexOf('/', slash - 1);
    }
    return undefined;
  }
}

/**
 * Picks one of a route's services by weight.
 *
 * @param route - The route.
 * @param random - A number from 0 up to 1.
 * @returns The service's name.
 */
export function pickService(route: Route, random: number): string {
  const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remainder = random * totalWeight;
  const picked = route.services.find(({ weight }) => {
    remainder -= weight;
    return remainder < 0;
  });
  return (picked ?? route.services[0])?.service ?? '';
}
