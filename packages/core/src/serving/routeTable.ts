import type { Random } from '../random.js';
import type { ServingConfiguration, ServingRoute, ServingWorkspace } from './servingConfiguration.js';

/** Finds the route of a request and the workspace of a key, for one version of the configuration. */
export class RouteTable {
  /** Routes of each host, the longest prefix first. */
  private readonly _routes = new Map<string, ServingRoute[]>();
  private readonly _workspaces = new Map<string, ServingWorkspace>();

  constructor(readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this._routes.get(host);
      if (routes) routes.push(route);
      else this._routes.set(host, [route]);
    }
    for (const routes of this._routes.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) this._workspaces.set(key, workspace);
    }
  }

  /** The route with the longest prefix of `target`, a path with or without a query. */
  findRoute(host: string, target: string): ServingRoute | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    const path = target.split('?', 1)[0] ?? target;
    return this._routes.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  findWorkspace(key: string): ServingWorkspace | undefined {
    return this._workspaces.get(key);
  }
}

/** Chooses one of the route's services by weight. */
export function chooseService(route: ServingRoute, random: Random): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let left = random.next() * total;
  for (const { service, weight } of route.services) {
    left -= weight;
    if (left < 0) return service;
  }
  return route.services.at(-1)?.service;
}
