import type { Random } from '../random.js';
import type { ServingConfiguration, ServingRoute, ServingWorkspace } from './servingConfiguration.js';

/** Looks up the route of a request and the workspace of a key in one version of the configuration. */
export class RouteTable {
  /** Routes by lower-case host, longest prefix first. */
  private readonly _routesByHost = new Map<string, ServingRoute[]>();
  private readonly _workspacesByKey = new Map<string, ServingWorkspace>();

  constructor(readonly configuration: ServingConfiguration) {
    for (const route of configuration.routes) {
      const host = route.host.toLowerCase();
      const routes = this._routesByHost.get(host);
      if (routes) routes.push(route);
      else this._routesByHost.set(host, [route]);
    }
    for (const routes of this._routesByHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    for (const workspace of configuration.workspaces ?? []) {
      for (const key of workspace.keys) this._workspacesByKey.set(key, workspace);
    }
  }

  /** Finds the route with the longest prefix of `target`, a path with or without a query. */
  findRoute(host: string, target: string): ServingRoute | undefined {
    const name = host.toLowerCase().replace(/:\d+$/, '');
    const path = target.split('?', 1)[0] ?? target;
    return this._routesByHost.get(name)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
  }

  findWorkspace(key: string): ServingWorkspace | undefined {
    return this._workspacesByKey.get(key);
  }
}

/** Chooses one of the route's services at random by weight. */
export function chooseService(route: ServingRoute, random: Random): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random.next() * total;
  for (const { service, weight } of route.services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.services.at(-1)?.service;
}
