import {
  chooseTarget,
  createRandom,
  findAllowedDomains,
  type Homes,
  isAllowedTarget,
  type TargetCandidate,
  TargetHealth,
} from '@monsoonreach/core';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, LARGE_MODEL } from './fixtures.js';

const REGIONS = new Map([
  ['zone-1', 'north'],
  ['zone-2', 'north'],
  ['zone-3', 'south'],
  ['west', 'south'],
]);

/** A home is also the failure domain of that name, unless that is listed in another region. */
const domainCases: readonly {
  readonly name: string;
  readonly route?: Homes;
  readonly workspace?: Homes;
  readonly allowed: readonly string[] | undefined;
}[] = [
  { name: 'neither has homes', allowed: undefined },
  { name: 'the route has one home', route: ['north'], allowed: ['north', 'zone-1', 'zone-2'] },
  { name: 'the workspace has one home', workspace: ['south'], allowed: ['south', 'west', 'zone-3'] },
  {
    name: 'both have the same home',
    route: ['north'],
    workspace: ['north'],
    allowed: ['north', 'zone-1', 'zone-2'],
  },
  {
    name: 'both have homes that overlap',
    route: ['north', 'south'],
    workspace: ['east', 'south'],
    allowed: ['south', 'west', 'zone-3'],
  },
  { name: 'both have homes without a common one', route: ['north'], workspace: ['south'], allowed: [] },
  { name: 'a home has no listed zone: it is the zone of that name', route: ['east'], allowed: ['east'] },
  { name: 'a zone is listed elsewhere than under its own name', route: ['west'], allowed: [] },
  { name: 'a home is named twice', route: ['north', 'north'], allowed: ['north', 'zone-1', 'zone-2'] },
];

// Guards against requests that leave their home regions, or that are refused though a target is in them.
for (const { name, route, workspace, allowed } of domainCases) {
  void t.test(`failure domains of a request: ${name}`, (t) => {
    const domains = findAllowedDomains(REGIONS, route, workspace);
    t.same(domains && [...domains].sort(), allowed);
    t.end();
  });
}

const targetCases: readonly {
  readonly name: string;
  readonly head: string;
  readonly members?: readonly string[];
  readonly allowed: readonly string[] | undefined;
  readonly isAllowed: boolean;
}[] = [
  { name: 'no homes', head: 'zone-3', members: ['zone-1'], allowed: undefined, isAllowed: true },
  { name: 'an instance inside', head: 'zone-1', allowed: ['zone-1'], isAllowed: true },
  { name: 'an instance outside', head: 'zone-3', allowed: ['zone-1'], isAllowed: false },
  { name: 'no allowed domain', head: 'zone-3', allowed: [], isAllowed: false },
  {
    name: 'a group inside',
    head: 'zone-1',
    members: ['zone-1', 'zone-2'],
    allowed: ['zone-1', 'zone-2'],
    isAllowed: true,
  },
  {
    name: 'a group with a member outside',
    head: 'zone-1',
    members: ['zone-1', 'zone-3'],
    allowed: ['zone-1', 'zone-2'],
    isAllowed: false,
  },
  {
    name: 'a group whose head is outside',
    head: 'zone-3',
    members: ['zone-1'],
    allowed: ['zone-1'],
    isAllowed: false,
  },
];

function createCandidate(key: string, head: string, members?: readonly string[]): TargetCandidate {
  return {
    key,
    instance: createInstance(key, { failureDomain: head }),
    slots: 8,
    engine: { profile: ENGINE_PROFILE, model: LARGE_MODEL },
    load: { requests: 0, contextTokens: 0, pendingPromptTokens: 0 },
    failureDomains: members,
  };
}

// Guards against a request whose head is at home while a member that works on it is not.
for (const { name, head, members, allowed, isAllowed } of targetCases) {
  void t.test(`target of a request: ${name}`, (t) => {
    t.equal(isAllowedTarget(createCandidate('a', head, members), allowed && new Set(allowed)), isAllowed);
    t.end();
  });
}

const HOME = new Set(['zone-1']);
const choiceCases: readonly {
  readonly name: string;
  readonly domains: Readonly<Record<string, string>>;
  readonly allowed?: ReadonlySet<string>;
  readonly tried?: readonly string[];
  readonly silent?: readonly string[];
  readonly full?: readonly string[];
  readonly isContinuing?: boolean;
  readonly chosen: string;
}[] = [
  { name: 'no homes: the nearest target', domains: { a: 'zone-1', b: 'zone-3' }, chosen: 'b' },
  { name: 'the target at home', domains: { a: 'zone-1', b: 'zone-3' }, allowed: HOME, chosen: 'a' },
  { name: 'none at home', domains: { b: 'zone-3' }, allowed: HOME, chosen: 'no-target-in-homes' },
  { name: 'no common home', domains: { a: 'zone-1' }, allowed: new Set(), chosen: 'no-target-in-homes' },
  { name: 'no target at all', domains: {}, allowed: HOME, chosen: 'no-target-in-homes' },
  {
    name: 'the one at home was tried',
    domains: { a: 'zone-1', b: 'zone-3' },
    allowed: HOME,
    tried: ['a'],
    chosen: 'no-target',
  },
  {
    name: 'the one at home is silent',
    domains: { a: 'zone-1', b: 'zone-3' },
    allowed: HOME,
    silent: ['a'],
    chosen: 'all-silent',
  },
  {
    name: 'the one at home is full',
    domains: { a: 'zone-1', b: 'zone-3' },
    allowed: HOME,
    full: ['a'],
    chosen: 'all-full',
  },
  {
    name: 'a resumed answer queues at home',
    domains: { a: 'zone-1', b: 'zone-3' },
    allowed: HOME,
    full: ['a'],
    isContinuing: true,
    chosen: 'a',
  },
];

// Guards against a choice that leaves the homes because no target in them can take the request now.
for (const {
  name,
  domains,
  allowed,
  tried = [],
  silent = [],
  full = [],
  isContinuing,
  chosen,
} of choiceCases) {
  void t.test(`choice of a target: ${name}`, (t) => {
    const health = new TargetHealth();
    for (const key of silent) health.recordSilence(key, 1_000);
    const candidates = Object.entries(domains).map(([key, domain]) => ({
      ...createCandidate(key, domain),
      load: { requests: full.includes(key) ? 10 : 0, contextTokens: 0, pendingPromptTokens: 0 },
    }));
    const choice = chooseTarget(candidates, {
      nowMs: 1_000,
      random: createRandom(1),
      health,
      failureDomain: 'zone-3',
      size: { promptTokens: 10, answerTokens: 10 },
      tried: new Set(tried),
      isContinuing: isContinuing ?? false,
      allowedDomains: allowed,
    });
    t.equal(choice.kind === 'chosen' ? choice.candidate.key : choice.reason, chosen);
    t.end();
  });
}
