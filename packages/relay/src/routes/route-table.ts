/** Finds the route and picks the service of a request. */
import type {
  Customer,
  Route,
  RouteConfiguration,
  Service,
} from './route-configuration.js';

/** Returns the part of a URL before its query. */
const getPath = (url: string): string => {
  const queryStart = url.indexOf('?');
  return queryStart === -1 ? url : url.slice(0, queryStart);
};

const compareByPrefixLength = (a: Route, b: Route) =>
  b.prefix.length - a.prefix.length;

/** Lookup tables for the routes and services of one configuration. */
export class RouteTable {
  readonly version: number;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #servicesByName: ReadonlyMap<string, Service>;
  readonly #customersByKey: ReadonlyMap<string, Customer>;
  readonly #customersByName: ReadonlyMap<string, Customer>;

  constructor(readonly configuration: RouteConfiguration) {
    this.version = configuration.version;
    for (const route of configuration.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values())
      routes.sort(compareByPrefixLength);
    this.#servicesByName = new Map(
      configuration.services.map(service => [service.name, service]),
    );
    const customers = configuration.customers ?? [];
    this.#customersByKey = new Map(
      customers.flatMap(customer =>
        customer.keyHashes.map(hash => [hash, customer]),
      ),
    );
    this.#customersByName = new Map(
      customers.map(customer => [customer.name, customer]),
    );
  }

  /** True if requests carry a customer's key, except those of anonymous routes. */
  get requiresKeys(): boolean {
    return this.configuration.customers !== undefined;
  }

  findCustomerByKey(keyHash: string): Customer | undefined {
    return this.#customersByKey.get(keyHash);
  }

  findCustomer(name: string): Customer | undefined {
    return this.#customersByName.get(name);
  }

  /** Returns the host's route with the longest prefix of the URL's path. */
  findRoute(host: string, url: string): Route | undefined {
    const path = getPath(url);
    return this.#routesByHost
      .get(host)
      ?.find(({ prefix }) => path.startsWith(prefix));
  }

  findService(name: string): Service | undefined {
    return this.#servicesByName.get(name);
  }

  /** Longest latency target of the routes to the service; undefined without any. */
  getLongestLatencyTargetMs(service: string): number | undefined {
    return this.#findLongest(service, ({ latencyTargetMs }) => latencyTargetMs);
  }

  /** Longest timeout of the routes to the service; undefined without any. */
  getLongestTimeoutMs(service: string): number | undefined {
    return this.#findLongest(service, ({ timeoutMs }) => timeoutMs);
  }

  get services(): readonly Service[] {
    return this.configuration.services;
  }

  #findLongest(
    service: string,
    getMs: (route: Route) => number,
  ): number | undefined {
    const timesMs = this.configuration.routes
      .filter(({ services }) => services.some(({ name }) => name === service))
      .map(getMs);
    return timesMs.length > 0 ? Math.max(...timesMs) : undefined;
  }
}

/** Picks a service of the route by weight; `random` is uniform in [0, 1). */
export const pickService = (route: Route, random: number): string => {
  const totalWeight = route.services.reduce(
    (sum, { weight }) => sum + weight,
    0,
  );
  let remainingWeight = random * totalWeight;
  for (const { name, weight } of route.services) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return name;
  }
  return route.services[0]?.name ?? '';
};
