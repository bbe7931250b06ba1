import {
  checkServingConfiguration,
  describeServingConfiguration,
  type ServingConfiguration,
  type ServingRoute,
  type ServingService,
  type ServingWorkspace,
} from '@monsoonreach/core';
import t from 'tap';

const ROUTE: ServingRoute = {
  name: 'status',
  host: 'a.example',
  pathPrefix: '/status/',
  kind: 'idempotent',
  services: [{ service: 'plain', weight: 1 }],
  timeoutMs: 1_500,
  latencyObjectiveMs: 400,
  pauseObjectiveMs: undefined,
  maxAttempts: 2,
  priority: 1,
  isKeyRequired: true,
  isResumable: false,
};
const STREAM: ServingRoute = { ...ROUTE, name: 'stream', pathPrefix: '/stream/', pauseObjectiveMs: 250 };
const SERVICE: ServingService = {
  name: 'plain',
  maxConnections: 50,
  healthPath: undefined,
  engine: undefined,
  coldStartMs: 0,
  coldRequestsPerS: 0,
};
const WORKSPACE: ServingWorkspace = { name: 'workspace-1', keys: ['key-1'], priority: undefined };

interface RuleCase {
  readonly name: string;
  /** Replaces the fields of the first route. */
  readonly route?: Partial<ServingRoute>;
  readonly routes?: readonly ServingRoute[];
  readonly services?: readonly ServingService[];
  readonly workspaces?: readonly ServingWorkspace[] | 'none';
  readonly limits?: Partial<ServingConfiguration['limits']>;
  /** Version in force; version 2 is checked. */
  readonly inForce?: number;
  readonly findings: readonly string[];
}

const homes = (name: string, ...regions: readonly string[]): ServingWorkspace => ({
  name,
  keys: [`key-of-${name}`],
  priority: undefined,
  ...(regions.length === 0 ? {} : { homes: regions }),
});

const cases: readonly RuleCase[] = [
  { name: 'a sound configuration', findings: [] },
  { name: 'callers need no key', workspaces: 'none', findings: [] },
  {
    name: 'a header limit above the body limit is fine',
    limits: { maxHeaderBytes: 2, maxBodyBytes: 1 },
    findings: [],
  },
  { name: 'a higher version', inForce: 1, findings: [] },
  { name: 'the same version', inForce: 2, findings: ['error version-not-higher configuration'] },
  { name: 'a lower version', inForce: 3, findings: ['error version-not-higher configuration'] },
  {
    name: 'a service that does not exist',
    route: {
      services: [
        { service: 'plain', weight: 1 },
        { service: 'x', weight: 1 },
      ],
    },
    findings: ['error unknown-service route status'],
  },
  { name: 'no service', route: { services: [] }, findings: ['error no-service route status'] },
  {
    name: 'a split of weight 0',
    route: { services: [{ service: 'plain', weight: 0 }] },
    findings: ['warning zero-weight route status'],
  },
  {
    name: 'a negative weight',
    route: { services: [{ service: 'plain', weight: -1 }] },
    findings: ['error negative-weight route status'],
  },
  {
    name: 'a service that no route names',
    services: [SERVICE, { ...SERVICE, name: 'spare' }],
    findings: ['warning unused-service service spare'],
  },
  {
    name: 'a route with the host and prefix of an earlier one, in other letters',
    routes: [ROUTE, STREAM, { ...ROUTE, name: 'late', host: 'A.example' }],
    findings: ['warning hidden-route route late'],
  },
  {
    name: 'routes with the same prefix of other hosts, and a longer prefix',
    routes: [
      ROUTE,
      { ...ROUTE, name: 'b', host: 'b.example' },
      { ...ROUTE, name: 'c', pathPrefix: '/status/x/' },
    ],
    findings: [],
  },
  {
    name: 'two routes of one name',
    routes: [ROUTE, { ...STREAM, name: 'status' }],
    findings: ['warning repeated-name route status'],
  },
  {
    name: 'a prefix without a slash',
    route: { pathPrefix: 'status/' },
    findings: ['warning never-matches route status'],
  },
  {
    name: 'a host with a port',
    route: { host: 'a.example:80' },
    findings: ['warning never-matches route status'],
  },
  {
    name: 'a timeout below the latency objective',
    route: { timeoutMs: 399 },
    findings: ['warning timeout-below-objective route status'],
  },
  { name: 'a timeout equal to the latency objective', route: { timeoutMs: 400 }, findings: [] },
  {
    name: 'a pause objective above the timeout',
    route: { pauseObjectiveMs: 1_501 },
    findings: ['warning pause-above-timeout route status'],
  },
  { name: 'no attempt', route: { maxAttempts: 0 }, findings: ['error no-attempt route status'] },
  {
    name: 'no time',
    route: { timeoutMs: 0, latencyObjectiveMs: 0 },
    findings: ['error no-time route status'],
  },
  {
    name: 'a key of two workspaces',
    workspaces: [WORKSPACE, { ...WORKSPACE, name: 'workspace-2' }],
    findings: ['error shared-key workspace workspace-1'],
  },
  {
    name: 'a key that one workspace names twice',
    workspaces: [{ ...WORKSPACE, keys: ['key-1', 'key-1'] }],
    findings: [],
  },
  {
    name: 'homes without a common one with any workspace',
    route: { homes: ['north'] },
    workspaces: [homes('a', 'south'), homes('b', 'east')],
    findings: ['error homes-without-workspace route status'],
  },
  {
    name: 'homes with a common one with one workspace',
    route: { homes: ['north'] },
    workspaces: [homes('a', 'south'), homes('b', 'east', 'north')],
    findings: [],
  },
  {
    name: 'homes and a workspace without any',
    route: { homes: ['north'] },
    workspaces: [homes('a', 'south'), homes('b')],
    findings: [],
  },
  {
    name: 'homes of a route without keys, to which those of workspaces do not apply',
    route: { homes: ['north'], isKeyRequired: false },
    workspaces: [homes('a', 'south')],
    findings: [],
  },
];

function createConfiguration(options: Omit<RuleCase, 'name' | 'findings'>): ServingConfiguration {
  const { route, routes, services = [SERVICE], workspaces = [WORKSPACE], limits } = options;
  return {
    version: 2,
    routes: routes ?? [{ ...ROUTE, ...route }, STREAM],
    services: new Map(services.map((service) => [service.name, service])),
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 500,
      idleTimeoutMs: 500,
      ...limits,
    },
    workspaces: workspaces === 'none' ? undefined : workspaces,
  };
}

// Guards against a configuration that is sent although a part of it cannot work, and against findings about sound ones.
for (const { name, findings, ...options } of cases) {
  void t.test(`rules of a serving configuration: ${name}`, (t) => {
    const inForce = options.inForce === undefined ? undefined : { version: options.inForce };
    const found = checkServingConfiguration(createConfiguration(options), inForce);
    t.same(
      found.map(({ severity, rule, subject }) => `${severity} ${rule} ${subject}`),
      findings,
    );
    t.notMatch(JSON.stringify(found), /key-/, 'no key of a caller is shown');
    t.end();
  });
}

// Guards against keys of callers in the output of a comparison, which ends up in logs.
void t.test('the description of a configuration shows no keys', (t) => {
  const text = JSON.stringify(describeServingConfiguration(createConfiguration({})));
  t.notMatch(text, /key-1/);
  t.match(text, /"keys":"[\da-f]{8}"/);
  t.end();
});
