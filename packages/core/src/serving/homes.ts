import type { TargetLocation } from './targetInstance.js';

/** Region of each failure domain; one that is not listed is a region of its own name. */
export type Regions = ReadonlyMap<string, string>;

/** Names of the home regions of a route or a workspace; undefined where there are none. */
export type Homes = readonly string[] | undefined;

/**
 * Returns the failure domains in which a request may be run: those in a home region of its route and of its workspace,
 * where they have any. Undefined if neither has homes; empty if both have, without a common region.
 */
export function findAllowedDomains(
  regions: Regions,
  routeHomes: Homes,
  workspaceHomes: Homes,
): ReadonlySet<string> | undefined {
  if (routeHomes === undefined && workspaceHomes === undefined) return undefined;
  const homes = intersectHomes(routeHomes, workspaceHomes);
  const domains = [...regions].flatMap(([domain, region]) => (homes.has(region) ? [domain] : []));
  const unlisted = [...homes].filter((home) => !regions.has(home));
  return new Set([...domains, ...unlisted]);
}

/** Returns the regions that both allow; one without homes allows all regions of the other. */
export function intersectHomes(first: Homes, second: Homes): ReadonlySet<string> {
  const other = new Set(second);
  return new Set((first ?? second ?? []).filter((home) => second === undefined || other.has(home)));
}

/** Whether a request may be run at the target, whose members work on it with its head. */
export function isAllowedTarget(
  { instance, failureDomains }: TargetLocation,
  allowedDomains: ReadonlySet<string> | undefined,
): boolean {
  if (allowedDomains === undefined) return true;
  if (!allowedDomains.has(instance.failureDomain)) return false;
  return failureDomains === undefined || failureDomains.every((domain) => allowedDomains.has(domain));
}
