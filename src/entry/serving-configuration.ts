/**
 * The decoded configuration that requests are served by, and how a request's route is found in it.
 */

/**
 * Whether a request of the route may be repeated: `safe` ones may, `unsafe` ones may not, and
 * `streaming` ones, whose response is a stream of events, may if the route is resumable.
 */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Requests of one host below one path prefix, and how they are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly timeoutMilliseconds: number;
  /** The target time until the response, or until a stream's first event. */
  readonly targetMilliseconds: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly WeightedService[];
  /** The maximum number of backend servers that may run one request. */
  readonly maximumAttempts: number;
  /** Whether no API key is needed. */
  readonly isPublic: boolean;
  /** Whether a stream may continue on another backend server after its last event. */
  readonly isResumable: boolean;
  /** The target for the longest pause between two events of a stream. */
  readonly gapTargetMilliseconds: number;
}

/** How a kind of accelerator compares with the reference kind. */
export interface AcceleratorKind {
  readonly name: string;
  readonly memoryMegabytes: number;
  /** Multiplies the time of decode steps, which generate tokens. */
  readonly decodeFactor: number;
  /** Multiplies the time of prefill, which processes the prompt. */
  readonly prefillFactor: number;
}

/** The timing and memory of a service's model engines. */
export interface EngineProfile {
  readonly layerCount: number;
  readonly layerMegabytes: number;
  readonly modelName: string;
  /** The time to load all layers. */
  readonly loadMilliseconds: number;
  readonly concurrentLoads: number;
  /** The time of one decode step through all layers. */
  readonly stepMilliseconds: number;
  /** Added to a decode step for each request in the batch. */
  readonly stepMillisecondsPerRequest: number;
  /** Tokens that an engine generates for a stream in one pass, which it sends as one event. */
  readonly tokensPerEvent: number;
  readonly prefillTokensPerMillisecond: number;
  /** The size of the KV cache of one token in all layers. */
  readonly kvCacheBytesPerToken: number;
  readonly activationBytesPerToken: number;
  /** The bandwidth of the link between two data centres. */
  readonly dataCentreLinkMegabitsPerSecond: number;
  readonly typicalPromptTokens: number;
  readonly typicalOutputTokens: number;
  readonly acceleratorKinds: ReadonlyMap<string, AcceleratorKind>;
}

/** A group of backend servers that serve the same requests. */
export interface Service {
  readonly name: string;
  readonly healthPath: string;
  readonly maximumConnections: number;
  /** Undefined for plain services, whose backend servers are not model engines. */
  readonly engine: EngineProfile | undefined;
}

/** A client account, which requests name by an API key. */
export interface ClientAccount {
  readonly name: string;
  /** Takes precedence over the route's priority. */
  readonly priority: number | undefined;
}

/** Limits on the size and the timing of what callers send. */
export interface ClientLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerMilliseconds: number;
  readonly idleMilliseconds: number;
}

/** One complete version of the configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, Service>;
  /** Client accounts by API key. */
  readonly accounts: ReadonlyMap<string, ClientAccount>;
  /** Whether requests need an API key. */
  readonly hasAccounts: boolean;
  readonly limits: ClientLimits;
}

/** Finds routes by host and the longest matching path prefix. */
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
   * @param host - The requested host without its port, in lower case.
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
 * @param random - A random number from 0 up to, but not including, 1.
 * @returns The service's name, or an empty string when the route has none.
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
