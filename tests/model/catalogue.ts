import { claimsModel, ONE_KEY, TWO_KEYS, TWO_WORKSPACES } from './claimsModel.js';
import { configurationModel } from './configurationModel.js';
import type { Model } from './explore.js';
import { type GroupsBounds, groupsModel } from './groupsModel.js';
import { leaseModel } from './leaseModel.js';

type AnyModel = Model<unknown, { readonly type: string }>;

/** A model to explore, with all guards or as a mutant with one guard removed. */
export interface Exploration {
  readonly name: string;
  /** `short` explorations run in CI, `long` ones only with `npm run model`. */
  readonly length: 'short' | 'long';
  /** The removed guard, and the invariant that must fail without it. */
  readonly mutant?: { readonly guard: string; readonly breaks: string };
  readonly model: () => AnyModel;
}

const SMALL_BOUNDS: GroupsBounds = {
  engines: 'checks',
  instances: 2,
  isPrepared: true,
  assigns: 1,
  leases: 1,
  restarts: 0,
  records: 1,
  disconnections: 0,
  orders: 3,
};

const IGNORING = { engines: 'ignores', probes: true } as const;

function eraseTypes<State, Event extends { readonly type: string }>(model: Model<State, Event>): AnyModel {
  return model as unknown as AnyModel;
}

const ONE_EACH = { publications: 1, cuts: 1 };

const RELEASED_HOLDS_NO_GROUP = 'an instance released in the log holds no group';

/** Every exploration: first those with all guards, then the mutants. */
export const EXPLORATIONS: readonly Exploration[] = [
  {
    name: 'claims: two keys',
    length: 'short',
    model: () => eraseTypes(claimsModel({ ...TWO_KEYS, kills: 0, windows: 0 })),
  },
  {
    name: 'claims: two keys, a kill',
    length: 'short',
    model: () => eraseTypes(claimsModel({ ...TWO_KEYS, windows: 0 })),
  },
  { name: 'claims: two workspaces', length: 'short', model: () => eraseTypes(claimsModel(TWO_WORKSPACES)) },
  {
    name: 'claims: two keys, a kill, an ended window',
    length: 'long',
    model: () => eraseTypes(claimsModel(TWO_KEYS)),
  },
  {
    name: 'groups: engines that check',
    length: 'short',
    model: () => eraseTypes(groupsModel({ ...SMALL_BOUNDS, disconnections: 1, orders: 2 })),
  },
  {
    name: 'groups: engines that ignore',
    length: 'short',
    model: () =>
      eraseTypes(groupsModel({ ...SMALL_BOUNDS, engines: 'ignores', disconnections: 1, orders: 2 })),
  },
  {
    name: 'groups: restarts and late records, engines that check',
    length: 'long',
    model: () =>
      eraseTypes(groupsModel({ ...SMALL_BOUNDS, records: 2, restarts: 1, disconnections: 1, orders: 2 })),
  },
  {
    name: 'groups: four instances, two groups, engines that check',
    length: 'long',
    model: () => eraseTypes(groupsModel({ ...SMALL_BOUNDS, instances: 4, assigns: 2, leases: 1, orders: 2 })),
  },
  {
    name: 'groups: four instances, two groups, engines that ignore',
    length: 'long',
    model: () =>
      eraseTypes(
        groupsModel({ ...SMALL_BOUNDS, engines: 'ignores', instances: 4, assigns: 2, leases: 1, orders: 1 }),
      ),
  },
  {
    name: 'groups: releases by earlier probes, engines that check',
    length: 'long',
    model: () => eraseTypes(groupsModel({ ...SMALL_BOUNDS, probes: true, disconnections: 1, orders: 2 })),
  },
  {
    name: 'groups: releases by earlier probes, engines that ignore, one order',
    length: 'short',
    model: () => eraseTypes(groupsModel({ ...SMALL_BOUNDS, ...IGNORING, orders: 1 })),
  },
  {
    name: 'groups: releases by earlier probes, engines that ignore',
    length: 'long',
    model: () => eraseTypes(groupsModel({ ...SMALL_BOUNDS, ...IGNORING, orders: 2 })),
  },
  { name: 'configuration', length: 'short', model: () => eraseTypes(configurationModel(ONE_EACH)) },
  {
    name: 'configuration: two publications each',
    length: 'long',
    model: () => eraseTypes(configurationModel({ publications: 2, cuts: 0 })),
  },
  { name: 'whole lease', length: 'short', model: () => eraseTypes(leaseModel()) },
  {
    name: 'claims: every claim accepted',
    length: 'short',
    mutant: { guard: 'firstClaimWins', breaks: 'a key runs at most once' },
    model: () =>
      eraseTypes(claimsModel({ ...TWO_KEYS, kills: 0, windows: 0 }, { claims: { firstClaimWins: false } })),
  },
  {
    name: 'claims: acting on the append',
    length: 'short',
    mutant: { guard: 'act on the record read back', breaks: 'a key runs at most once' },
    model: () => eraseTypes(claimsModel({ ...TWO_KEYS, kills: 0, windows: 0 }, { actsOnAppend: true })),
  },
  {
    name: 'claims: anybody withdraws',
    length: 'long',
    mutant: { guard: 'abandonNeedsClaimant', breaks: 'a key runs at most once' },
    model: () =>
      eraseTypes(claimsModel({ ...ONE_KEY, starts: 3 }, { claims: { abandonNeedsClaimant: false } })),
  },
  {
    name: 'claims: no window',
    length: 'short',
    mutant: { guard: 'windowIsChecked', breaks: 'a key runs at most once' },
    model: () => eraseTypes(claimsModel({ ...ONE_KEY, windows: 1 }, { claims: { windowIsChecked: false } })),
  },
  {
    name: 'claims: repeated appends taken for new',
    length: 'short',
    mutant: { guard: 'dropsDuplicates', breaks: 'a withdrawn claim does not hold its key' },
    model: () =>
      eraseTypes(claimsModel({ ...TWO_KEYS, kills: 0, windows: 0 }, { reducer: { dropsDuplicates: false } })),
  },
  {
    name: 'claims: keys shared between workspaces',
    length: 'short',
    mutant: { guard: 'workspacesAreSeparate', breaks: 'a claim is refused only for its own workspace' },
    model: () => eraseTypes(claimsModel(TWO_WORKSPACES, { claims: { workspacesAreSeparate: false } })),
  },
  {
    name: 'groups: assigning what is not released',
    length: 'short',
    mutant: { guard: 'assignNeedsReleased', breaks: 'no instance in two groups' },
    model: () =>
      eraseTypes(
        groupsModel(
          { ...SMALL_BOUNDS, records: 2, assigns: 2, leases: 0, orders: 1 },
          { groups: { assignNeedsReleased: false } },
        ),
      ),
  },
  {
    name: 'groups: a paused planner goes on',
    length: 'short',
    mutant: { guard: 'planNeedsLease', breaks: 'a superseded planner changes nothing' },
    model: () =>
      eraseTypes(
        groupsModel({ ...SMALL_BOUNDS, records: 2, orders: 0 }, { groups: { planNeedsLease: false } }),
      ),
  },
  {
    name: 'groups: a lease taken without its basis',
    length: 'short',
    mutant: { guard: 'leaseNeedsBasis', breaks: 'a lease is taken over from the last one' },
    model: () =>
      eraseTypes(
        groupsModel(
          { ...SMALL_BOUNDS, isPrepared: false, records: 2, assigns: 0, leases: 2, orders: 0 },
          { groups: { leaseNeedsBasis: false } },
        ),
      ),
  },
  {
    name: 'groups: a late release',
    length: 'short',
    mutant: { guard: 'releaseNeedsBasis', breaks: RELEASED_HOLDS_NO_GROUP },
    model: () =>
      eraseTypes(
        groupsModel(
          { ...SMALL_BOUNDS, isPrepared: false, records: 2, orders: 1 },
          { groups: { releaseNeedsBasis: false } },
        ),
      ),
  },
  {
    name: 'groups: release before the fencing number is raised',
    length: 'short',
    mutant: { guard: 'raise the fencing token', breaks: RELEASED_HOLDS_NO_GROUP },
    model: () => eraseTypes(groupsModel({ ...SMALL_BOUNDS, orders: 2 }, { skipsFencing: true })),
  },
  {
    name: 'groups: release with open intents',
    length: 'short',
    mutant: { guard: 'releaseNeedsSettled', breaks: RELEASED_HOLDS_NO_GROUP },
    model: () =>
      eraseTypes(
        groupsModel(
          { ...SMALL_BOUNDS, engines: 'ignores', orders: 1 },
          { groups: { releaseNeedsSettled: false } },
        ),
      ),
  },
  {
    name: 'groups: orders without intent',
    length: 'short',
    mutant: { guard: 'announce the order', breaks: RELEASED_HOLDS_NO_GROUP },
    model: () =>
      eraseTypes(groupsModel({ ...SMALL_BOUNDS, engines: 'ignores', orders: 1 }, { skipsIntent: true })),
  },
  {
    name: 'groups: release by a probe from before an outcome',
    length: 'short',
    mutant: { guard: 'the probe is newer than every outcome', breaks: RELEASED_HOLDS_NO_GROUP },
    model: () =>
      eraseTypes(groupsModel({ ...SMALL_BOUNDS, ...IGNORING, orders: 1 }, { ignoresOutcomes: true })),
  },
  {
    name: 'groups: intents settled by the clock alone',
    length: 'short',
    mutant: { guard: 'the probe ends the wait', breaks: RELEASED_HOLDS_NO_GROUP },
    model: () =>
      eraseTypes(groupsModel({ ...SMALL_BOUNDS, ...IGNORING, orders: 1 }, { settlesByClock: true })),
  },
  {
    name: 'configuration: publishing without basis',
    length: 'short',
    mutant: { guard: 'publishNeedsBasis', breaks: 'a publication is based on the one before' },
    model: () => eraseTypes(configurationModel(ONE_EACH, { history: { publishNeedsBasis: false } })),
  },
  {
    name: 'configuration: any order',
    length: 'short',
    mutant: { guard: 'offset order', breaks: 'a node never goes back' },
    model: () => eraseTypes(configurationModel(ONE_EACH, { appliesOutOfOrder: true })),
  },
  {
    name: 'configuration: serving without judging freshness',
    length: 'short',
    mutant: { guard: 'checkFreshness', breaks: 'a node without configuration, or alone, does not serve' },
    model: () => eraseTypes(configurationModel(ONE_EACH, { skipsFreshness: true })),
  },
  {
    name: 'whole lease: counted from the answer',
    length: 'short',
    mutant: {
      guard: 'countsFromQuery',
      breaks: 'no dispatch later than the lease after a member went missing',
    },
    model: () => eraseTypes(leaseModel({ leases: { countsFromQuery: false } })),
  },
  {
    name: 'whole lease: no expiry at dispatch',
    length: 'short',
    mutant: {
      guard: 'expiry checked at dispatch',
      breaks: 'no dispatch later than the lease after a member went missing',
    },
    model: () => eraseTypes(leaseModel({ skipsExpiry: true })),
  },
];
