/** Finds the route of a request and the service that serves it. */
import type {
  Route,
  RouteConfiguration,
  Service,
} from './route-configuration.js';

/** The part of a URL before its query. */
const getPath = (url: string): string => {
  const query = url.indexOf('?');
  return query === -1 ? url : url.slice(0, query);
};

const compareByPrefixLength = (a: Route, b: Route) =>
  b.prefix.length - a.prefix.length;

/** Index of one configuration. */
export class RouteTable {
  readonly version: number;
  readonly #routesByHost = new Map<string, Route[]>();
  readonly #servicesByName: ReadonlyMap<string, Service>;

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
  }

  /** The route with the longest matching prefix of the host. */
  findRoute(host: string, url: string): Route | undefined {
    const path = getPath(url);
    return this.#routesByHost
      .get(host)
      ?.find(({ prefix }) => path.startsWith(prefix));
  }

  findService(name: string): Service | undefined {
    return this.#servicesByName.get(name);
  }

  get services(): readonly Service[] {
    return this.configuration.services;
  }
}

/** Picks a service of the route by weight; `random` is in [0, 1). */
export const pickService = (route: Route, random: number): string => {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = random * total;
  for (const { name, weight } of route.services) {
    left -= weight;
    if (left < 0) return name;
  }
  return route.services[0]?.name ?? '';
};
