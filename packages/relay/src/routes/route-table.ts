/** Finds the route of a request and the service that serves it. */
import type {
  Route,
  RouteConfiguration,
  Service,
} from './route-configuration.js';

/** The part of a URL before its query. */
const pathOf = (url: string): string => {
  const query = url.indexOf('?');
  return query === -1 ? url : url.slice(0, query);
};

const byLongestPrefix = (a: Route, b: Route) =>
  b.prefix.length - a.prefix.length;

/** Index of one configuration. */
export class RouteTable {
  readonly version: number;
  readonly #byHost = new Map<string, Route[]>();
  readonly #services: ReadonlyMap<string, Service>;

  constructor(readonly configuration: RouteConfiguration) {
    this.version = configuration.version;
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.host) ?? [];
      routes.push(route);
      this.#byHost.set(route.host, routes);
    }
    for (const routes of this.#byHost.values()) routes.sort(byLongestPrefix);
    this.#services = new Map(
      configuration.services.map(service => [service.name, service]),
    );
  }

  /** The route with the longest matching prefix of the host. */
  find(host: string, url: string): Route | undefined {
    const path = pathOf(url);
    return this.#byHost
      .get(host)
      ?.find(({ prefix }) => path.startsWith(prefix));
  }

  service(name: string): Service | undefined {
    return this.#services.get(name);
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
