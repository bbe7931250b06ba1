import { sha256 } from '../hashing.js';
import { intersectHomes } from './homes.js';
import type { ServingConfiguration, ServingRoute, ServingWorkspace } from './servingConfiguration.js';

/** Digits of the hash by which a key is shown: enough to tell keys apart, useless to a reader of a log. */
const KEY_HASH_DIGITS = 8;

/** Something wrong with a serving configuration: `error` if part of it cannot work, otherwise `warning`. */
export interface ConfigurationFinding {
  readonly severity: 'error' | 'warning';
  /** Stable name of the rule, for scripts. */
  readonly rule: string;
  /** What it concerns, such as `route status`. */
  readonly subject: string;
  readonly message: string;
}

/**
 * Checks what a schema cannot: references, entries that can never match, and limits that contradict each other.
 * @param inForce configuration in force, which nodes replace only by one of a higher version.
 */
export function checkServingConfiguration(
  configuration: ServingConfiguration,
  inForce?: Pick<ServingConfiguration, 'version'>,
): readonly ConfigurationFinding[] {
  const { routes, workspaces } = configuration;
  return [
    ...checkVersion(configuration, inForce),
    ...findRepeatedNames('route', routes),
    ...findRepeatedNames('workspace', workspaces ?? []),
    ...routes.flatMap((route) => [
      ...checkMatch(route),
      ...checkServices(route, configuration),
      ...checkLimits(route),
      ...checkHomes(route, workspaces),
    ]),
    ...findHiddenRoutes(routes),
    ...findUnusedServices(configuration),
    ...findSharedKeys(workspaces ?? []),
  ];
}

/** Returns the configuration as a document that can be compared by name: keys of callers are shown as hashes. */
export function describeServingConfiguration({
  routes,
  services,
  workspaces,
  ...rest
}: ServingConfiguration): Readonly<Record<string, unknown>> {
  return {
    ...rest,
    route: toRecord(routes, ({ services: shares, homes, ...route }) => ({
      ...route,
      services: Object.fromEntries(shares.map(({ service, weight }) => [service, weight])),
      homes: toSortedText(homes),
    })),
    service: toRecord([...services.values()], ({ engine, ...service }) => ({
      ...service,
      engine: engine && { ...engine, models: toRecord(engine.models, (model) => model) },
    })),
    workspace: toRecord(workspaces ?? [], ({ keys, homes, ...workspace }) => ({
      ...workspace,
      keys: toSortedText(keys.map((key) => sha256(key).slice(0, KEY_HASH_DIGITS))),
      homes: toSortedText(homes),
    })),
  };
}

function checkVersion(
  { version }: ServingConfiguration,
  inForce: Pick<ServingConfiguration, 'version'> | undefined,
): readonly ConfigurationFinding[] {
  if (!inForce || version > inForce.version) return [];
  const message = `version ${version} is ignored by nodes: version ${inForce.version} is in force`;
  return [error('version-not-higher', 'configuration', message)];
}

function findRepeatedNames(
  kind: string,
  entries: readonly { readonly name: string }[],
): readonly ConfigurationFinding[] {
  const names = entries.map(({ name }) => name);
  const repeated = new Set(names.filter((name, index) => names.indexOf(name) !== index));
  return [...repeated].map((name) =>
    warning(
      'repeated-name',
      `${kind} ${name}`,
      'several entries have this name, so that logs cannot tell them apart',
    ),
  );
}

/** Finds hosts and prefixes that no request has. */
function checkMatch({ name, host, pathPrefix }: ServingRoute): readonly ConfigurationFinding[] {
  const subject = `route ${name}`;
  const findings: ConfigurationFinding[] = [];
  if (!pathPrefix.startsWith('/'))
    findings.push(warning('never-matches', subject, `no path begins with "${pathPrefix}": "/" is missing`));
  if (/:\d+$/.test(host))
    findings.push(warning('never-matches', subject, `hosts are compared without their port: "${host}"`));
  return findings;
}

function checkServices(
  { name, services }: ServingRoute,
  configuration: ServingConfiguration,
): readonly ConfigurationFinding[] {
  const subject = `route ${name}`;
  if (services.length === 0) return [error('no-service', subject, 'it names no service')];
  const unknown = services
    .filter(({ service }) => !configuration.services.has(service))
    .map(({ service }) => error('unknown-service', subject, `service ${service} does not exist`));
  const weights = services.flatMap(({ service, weight }) => {
    if (weight < 0) return [error('negative-weight', subject, `service ${service} has the weight ${weight}`)];
    return weight === 0 ? [warning('zero-weight', subject, `service ${service} gets no requests`)] : [];
  });
  return [...unknown, ...weights];
}

function checkLimits({
  name,
  timeoutMs,
  latencyObjectiveMs,
  pauseObjectiveMs,
  maxAttempts,
}: ServingRoute): readonly ConfigurationFinding[] {
  const subject = `route ${name}`;
  const findings: ConfigurationFinding[] = [];
  if (timeoutMs <= 0) findings.push(error('no-time', subject, `the timeout is ${timeoutMs} ms`));
  if (maxAttempts < 1)
    findings.push(error('no-attempt', subject, `${maxAttempts} attempts are allowed; at least 1 is needed`));
  if (timeoutMs < latencyObjectiveMs)
    findings.push(
      warning(
        'timeout-below-objective',
        subject,
        `requests end after ${timeoutMs} ms, before the latency objective of ${latencyObjectiveMs} ms`,
      ),
    );
  if (pauseObjectiveMs !== undefined && pauseObjectiveMs > timeoutMs)
    findings.push(
      warning(
        'pause-above-timeout',
        subject,
        `the objective for pauses is ${pauseObjectiveMs} ms, above the timeout of ${timeoutMs} ms`,
      ),
    );
  return findings;
}

/** Finds a route with homes whose requests are refused for every workspace. */
function checkHomes(
  { name, homes, isKeyRequired }: ServingRoute,
  workspaces: readonly ServingWorkspace[] | undefined,
): readonly ConfigurationFinding[] {
  if (homes === undefined || !isKeyRequired || !workspaces || workspaces.length === 0) return [];
  if (workspaces.some((workspace) => intersectHomes(homes, workspace.homes).size > 0)) return [];
  const message = `no workspace has a home region in common with it: ${homes.join(', ')}`;
  return [error('homes-without-workspace', `route ${name}`, message)];
}

function findHiddenRoutes(routes: readonly ServingRoute[]): readonly ConfigurationFinding[] {
  const first = new Map<string, ServingRoute>();
  return routes.flatMap((route) => {
    const key = JSON.stringify([route.host.toLowerCase(), route.pathPrefix]);
    const earlier = first.get(key);
    if (!earlier) first.set(key, route);
    const message = `route ${earlier?.name ?? ''} before it has the same host and prefix`;
    return earlier ? [warning('hidden-route', `route ${route.name}`, message)] : [];
  });
}

function findUnusedServices({ routes, services }: ServingConfiguration): readonly ConfigurationFinding[] {
  const used = new Set(routes.flatMap((route) => route.services.map(({ service }) => service)));
  return [...services.keys()]
    .filter((name) => !used.has(name))
    .map((name) => warning('unused-service', `service ${name}`, 'no route names it'));
}

/** Finds keys that only the last of several workspaces can use. */
function findSharedKeys(workspaces: readonly ServingWorkspace[]): readonly ConfigurationFinding[] {
  const holders = new Map<string, ServingWorkspace>();
  return workspaces.flatMap((workspace) =>
    [...new Set(workspace.keys)].flatMap((key) => {
      const other = holders.get(key);
      holders.set(key, workspace);
      if (!other) return [];
      const message = `workspace ${workspace.name} holds one of its keys as well, and gets all requests with it`;
      return [error('shared-key', `workspace ${other.name}`, message)];
    }),
  );
}

function toRecord<Entry extends { readonly name: string }>(
  entries: readonly Entry[],
  describe: (entry: Entry) => object,
): Readonly<Record<string, unknown>> {
  return Object.fromEntries(entries.map((entry) => [entry.name, { ...describe(entry), name: undefined }]));
}

function toSortedText(texts: readonly string[] | undefined): string | undefined {
  return texts && [...texts].sort().join(', ');
}

function error(rule: string, subject: string, message: string): ConfigurationFinding {
  return { severity: 'error', rule, subject, message };
}

function warning(rule: string, subject: string, message: string): ConfigurationFinding {
  return { severity: 'warning', rule, subject, message };
}
