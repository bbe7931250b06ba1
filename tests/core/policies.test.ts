import {
  Admission,
  CrashSuspects,
  createRandom,
  decideRepairs,
  DEFAULT_RETRY_SHARE,
  FairQueue,
  checkFreshness,
  Loads,
  ManualClock,
  Membership,
  MAX_STRIKES,
  STRIKE_PROPAGATION_MS,
  RecentLosses,
  type RepairDecision,
  type RepairSituation,
  RetryBudgets,
  Router,
  Stragglers,
  SUSPICION_TIMEOUT_MS,
  toFleetShare,
  WHOLE_LEASE_MS,
  WholeLeases,
} from '@monsoonreach/core';
import t from 'tap';

void t.test('a fair queue gives each workspace its share by weight', (t) => {
  const cases = [
    { name: 'equal weights', weights: { a: 1, b: 1 }, expected: { a: 10, b: 10 } },
    { name: 'three to one', weights: { a: 3, b: 1 }, expected: { a: 15, b: 5 } },
  ];
  for (const { name, weights, expected } of cases) {
    const queue = new FairQueue<string>();
    for (let index = 0; index < 40; index++) {
      for (const [workspace, weight] of Object.entries(weights)) {
        queue.enqueue({ workspace, weight, priority: 0, item: workspace });
      }
    }
    const served: Record<string, number> = { a: 0, b: 0 };
    for (let index = 0; index < 20; index++) {
      const item = queue.dequeue() ?? '';
      served[item] = (served[item] ?? 0) + 1;
    }
    t.same(served, expected, name);
  }
  t.end();
});

void t.test('a retry budget bounds the retries of a workspace', (t) => {
  const budgets = new RetryBudgets({ share: () => DEFAULT_RETRY_SHARE });
  let retries = 0;
  for (let request = 0; request < 1_000; request++) {
    budgets.earn('w');
    if (budgets.spend('w')) retries++;
  }
  t.ok(retries <= 1_000 * DEFAULT_RETRY_SHARE + 10, `${retries} retries`);
  t.end();
});

void t.test('a whole lease counts from the moment the query was sent', (t) => {
  const cases = [
    { name: 'answered at once', answerAfterMs: 0, askAtMs: WHOLE_LEASE_MS - 1, expected: true },
    { name: 'ended', answerAfterMs: 0, askAtMs: WHOLE_LEASE_MS, expected: false },
    { name: 'answered late', answerAfterMs: 2_000, askAtMs: WHOLE_LEASE_MS, expected: false },
  ];
  for (const { name, answerAfterMs, askAtMs, expected } of cases) {
    const clock = new ManualClock();
    const leases = new WholeLeases(clock);
    clock.advance(answerAfterMs);
    leases.renew(0, [{ group: 'g', epoch: 1, remainingMs: WHOLE_LEASE_MS }]);
    clock.advance(askAtMs - answerAfterMs);
    t.equal(leases.find('g', 1) !== undefined, expected, name);
    t.equal(leases.find('g', 2), undefined, 'another epoch has no lease');
  }
  t.end();
});

// A steward's answer that was older than the loss of a group gave the group work again.
void t.test('a group that was lost serves again only by an observation made after the loss', (t) => {
  const whole = (remainingMs: number) => ({ group: 'g', epoch: 1, remainingMs });
  const LOST_AT_MS = 1_000;
  const cases: readonly {
    readonly name: string;
    readonly querySentAtMs: number;
    readonly remainingMs: number;
    readonly isServing: boolean;
  }[] = [
    {
      name: 'query sent before the loss',
      querySentAtMs: LOST_AT_MS - 500,
      remainingMs: WHOLE_LEASE_MS,
      isServing: false,
    },
    {
      name: 'query sent after the loss, members seen before it',
      querySentAtMs: LOST_AT_MS + 100,
      remainingMs: WHOLE_LEASE_MS - 300,
      isServing: false,
    },
    {
      name: 'members seen after the loss',
      querySentAtMs: LOST_AT_MS + 500,
      remainingMs: WHOLE_LEASE_MS - 300,
      isServing: true,
    },
  ];
  const losses = [
    {
      name: 'found by a request',
      lose: (leases: WholeLeases) => {
        leases.revoke('g');
      },
    },
    {
      name: 'reported by a steward',
      lose: (leases: WholeLeases) => {
        leases.renew(LOST_AT_MS, [whole(0)]);
      },
    },
  ];
  for (const loss of losses) {
    for (const { name, querySentAtMs, remainingMs, isServing } of cases) {
      const clock = new ManualClock();
      const leases = new WholeLeases(clock);
      leases.renew(0, [whole(WHOLE_LEASE_MS)]);
      clock.advance(LOST_AT_MS);
      t.ok(leases.find('g', 1), 'whole at first');
      loss.lose(leases);
      t.notOk(leases.find('g', 1), `${loss.name}: ends the lease`);
      clock.advance(600);
      leases.renew(querySentAtMs, [whole(remainingMs)]);
      t.equal(leases.find('g', 1) !== undefined, isServing, `${loss.name}; ${name}`);
    }
  }
  t.end();
});

void t.test('a paused process drops its leases', (t) => {
  const clock = new ManualClock();
  const leases = new WholeLeases(clock);
  leases.renew(0, [{ group: 'g', epoch: 1, remainingMs: WHOLE_LEASE_MS }]);
  clock.advance(1_500);
  t.equal(leases.tick(), true);
  t.equal(leases.find('g', 1), undefined);
  t.end();
});

void t.test('a crashing request is quarantined, and requests that finish are cleared', (t) => {
  const clock = new ManualClock();
  const suspects = new CrashSuspects(clock);
  suspects.begin('bad', 'g1');
  suspects.begin('good', 'g1');
  t.same(suspects.recordGroupLoss('g1'), []);
  t.equal(suspects.statusOf('good'), 'suspect');
  suspects.begin('good', 'g2');
  suspects.finish('good', 'g2');
  t.equal(suspects.statusOf('good'), 'clear');
  suspects.begin('bad', 'g3');
  suspects.begin('good', 'g3');
  t.same(suspects.recordGroupLoss('g3'), ['bad'], `quarantined after ${MAX_STRIKES} strikes`);
  t.equal(suspects.statusOf('good'), 'clear', 'only the suspect gets a strike');
  t.end();
});

// Two nodes gave each other back the strike of a request that one of them had cleared, and renewed it for ever.
void t.test('the strikes of a request are gone from all nodes after it was cleared, or in time', (t) => {
  const EXCHANGE_MS = 1_000;
  const RETENTION_MS = 120_000;
  const cases: readonly {
    readonly name: string;
    readonly isCleared: boolean;
    /** Whether the other node gives a strike of its own. */
    readonly isStruckTwice?: boolean;
    readonly waitMs: number;
    /** Status at the node that gave the strike, and at the other one. */
    readonly statuses: readonly string[];
  }[] = [
    { name: 'just struck', isCleared: false, waitMs: EXCHANGE_MS, statuses: ['suspect', 'suspect'] },
    { name: 'cleared', isCleared: true, waitMs: 2 * EXCHANGE_MS, statuses: ['clear', 'suspect'] },
    { name: 'cleared long ago', isCleared: true, waitMs: 2 * RETENTION_MS, statuses: ['clear', 'clear'] },
    { name: 'struck long ago', isCleared: false, waitMs: 3 * RETENTION_MS, statuses: ['clear', 'clear'] },
    {
      name: 'struck by both long ago',
      isCleared: false,
      isStruckTwice: true,
      waitMs: 3 * RETENTION_MS,
      statuses: ['clear', 'clear'],
    },
  ];
  for (const { name, isCleared, isStruckTwice = false, waitMs, statuses } of cases) {
    const clock = new ManualClock();
    const nodes = [new CrashSuspects(clock), new CrashSuspects(clock)] as const;
    const exchange = () => {
      const reports = nodes.map((node) => node.reportableStrikes());
      for (const [index, report] of reports.entries()) {
        for (const [fingerprint, strikes] of report) nodes[1 - index]?.mergeStrikes(fingerprint, strikes);
      }
    };
    for (const node of isStruckTwice ? nodes : [nodes[0]]) {
      node.begin('a', 'g');
      node.recordRequestLoss('a', 'g');
    }
    exchange();
    if (isCleared) nodes[0].finish('a', 'g');
    for (let passedMs = 0; passedMs < waitMs; passedMs += EXCHANGE_MS) {
      clock.advance(EXCHANGE_MS);
      exchange();
    }
    t.same(
      nodes.map((node) => node.statusOf('a')),
      statuses,
      name,
    );
  }
  t.end();
});

// A connection reset of one request gave a strike to each request that its group was running.
void t.test('a request that a group broke off gets a strike, and the others only for their own', (t) => {
  const cases: readonly {
    readonly name: string;
    /** Requests that are suspects before they run. */
    readonly suspects?: readonly string[];
    readonly running: readonly string[];
    readonly brokenOff: readonly string[];
    readonly quarantined: readonly string[];
    readonly strikes: Readonly<Record<string, number>>;
  }[] = [
    { name: 'one of two', running: ['a', 'b'], brokenOff: ['a'], quarantined: [], strikes: { a: 1 } },
    { name: 'all', running: ['a', 'b'], brokenOff: ['a', 'b'], quarantined: [], strikes: { a: 1, b: 1 } },
    {
      name: 'two of the same',
      running: ['a', 'a'],
      brokenOff: ['a', 'a'],
      quarantined: [],
      strikes: { a: 1 },
    },
    { name: 'none of its own', running: ['a'], brokenOff: ['b'], quarantined: [], strikes: {} },
    {
      name: 'a suspect first',
      suspects: ['s'],
      running: ['a', 's'],
      brokenOff: ['s', 'a'],
      quarantined: ['s'],
      strikes: { s: 2 },
    },
    {
      name: 'a suspect last',
      suspects: ['s'],
      running: ['a', 's'],
      brokenOff: ['a', 's'],
      quarantined: ['s'],
      strikes: { s: 2 },
    },
    {
      name: 'another than the suspect',
      suspects: ['s'],
      running: ['a', 's'],
      brokenOff: ['a'],
      quarantined: [],
      strikes: { s: 1 },
    },
  ];
  for (const { name, suspects: known = [], running, brokenOff, quarantined, strikes } of cases) {
    const suspects = new CrashSuspects(new ManualClock());
    for (const fingerprint of known) suspects.mergeStrikes(fingerprint, 1);
    for (const fingerprint of running) suspects.begin(fingerprint, 'g');
    t.same(
      brokenOff.flatMap((fingerprint) => suspects.recordRequestLoss(fingerprint, 'g')),
      quarantined,
      name,
    );
    t.same(Object.fromEntries(suspects.strikes()), strikes, `${name}: strikes`);
  }
  t.end();
});

// A request was refused for 10 minutes, as one that broke two groups, after two connections to the same group broke.
void t.test('connections that break at one group count as one group', (t) => {
  const cases: readonly {
    readonly name: string;
    readonly groups: readonly string[];
    readonly quarantined: readonly string[];
    readonly strikes: number;
  }[] = [
    { name: 'the same group', groups: ['g', 'g', 'g'], quarantined: [], strikes: 1 },
    { name: 'two groups', groups: ['g', 'h'], quarantined: ['a'], strikes: 2 },
    { name: 'two groups, one of them twice', groups: ['g', 'g', 'h'], quarantined: ['a'], strikes: 2 },
  ];
  for (const { name, groups, quarantined, strikes } of cases) {
    const suspects = new CrashSuspects(new ManualClock());
    const ended = groups.flatMap((group) => {
      suspects.begin('a', group);
      return suspects.recordRequestLoss('a', group);
    });
    t.same(ended, quarantined, name);
    t.same(suspects.strikes(), [['a', strikes]], `${name}: strikes`);
  }
  t.end();
});

// A request kept its strike for a connection that broke at a group that was seen whole right after.
void t.test('a group that is seen whole after it broke off a request was not broken by it', (t) => {
  const BROKEN_OFF_AT_MS = 1_000;
  const breakOff = (suspects: CrashSuspects, group: string) => {
    suspects.begin('a', group);
    suspects.recordRequestLoss('a', group);
  };
  const cases: readonly {
    readonly name: string;
    readonly steps: (suspects: CrashSuspects) => void;
    readonly strikes: number;
  }[] = [
    {
      name: 'seen after it',
      steps: (suspects) => {
        breakOff(suspects, 'g');
        suspects.recordWholeGroup('g', BROKEN_OFF_AT_MS + 1);
      },
      strikes: 0,
    },
    {
      name: 'seen before it',
      steps: (suspects) => {
        breakOff(suspects, 'g');
        suspects.recordWholeGroup('g', BROKEN_OFF_AT_MS);
      },
      strikes: 1,
    },
    {
      name: 'another group seen',
      steps: (suspects) => {
        breakOff(suspects, 'g');
        suspects.recordWholeGroup('h', BROKEN_OFF_AT_MS + 1);
      },
      strikes: 1,
    },
    {
      name: 'beside a strike that another node gave',
      steps: (suspects) => {
        suspects.mergeStrikes('a', 1);
        breakOff(suspects, 'g');
        suspects.recordWholeGroup('g', BROKEN_OFF_AT_MS + 1);
      },
      strikes: 1,
    },
    {
      name: 'a group that a steward reported as broken',
      steps: (suspects) => {
        suspects.begin('a', 'g');
        suspects.recordGroupLoss('g');
        suspects.recordWholeGroup('g', BROKEN_OFF_AT_MS + 1);
      },
      strikes: 1,
    },
  ];
  for (const { name, steps, strikes } of cases) {
    const clock = new ManualClock();
    clock.advance(BROKEN_OFF_AT_MS);
    const suspects = new CrashSuspects(clock);
    steps(suspects);
    t.equal(new Map(suspects.strikes()).get('a') ?? 0, strikes, name);
  }
  t.end();
});

void t.test('a request whose first-choice group was just lost is held back for a while', (t) => {
  const clock = new ManualClock();
  const losses = new RecentLosses(clock);
  losses.recordLoss('only');
  t.equal(losses.isPreferredGroupLost('key', []), true);
  clock.advance(STRIKE_PROPAGATION_MS);
  t.equal(losses.isPreferredGroupLost('key', []), false);
  t.end();
});

void t.test(
  'stragglers are put on probation, at most a fifth of all targets, and none when most are slow',
  (t) => {
    const cases = [
      { name: 'one of ten', slow: 1, expected: 1 },
      { name: 'four of ten', slow: 4, expected: 2 },
      { name: 'nine of ten', slow: 9, expected: 0 },
    ];
    for (const { name, slow, expected } of cases) {
      const stragglers = new Stragglers(new ManualClock());
      for (let round = 0; round < 20; round++) {
        for (let target = 0; target < 10; target++)
          stragglers.record(`t${target}`, target < slow ? 5_000 : 100);
      }
      const onProbation = Array.from({ length: 10 }, (_, target) => stragglers.isOnProbation(`t${target}`));
      t.equal(onProbation.filter((isOnProbation) => isOnProbation).length, expected, name);
    }
    t.end();
  },
);

void t.test('shares of the fleet add up to one, and are even without reports from peers', (t) => {
  const demands = [
    { inUse: 10, waiting: 5 },
    { inUse: 0, waiting: 0 },
    { inUse: 3, waiting: 0 },
  ];
  const shares = demands.map((own, index) =>
    toFleetShare(
      own,
      demands.filter((_, other) => other !== index),
    ),
  );
  t.ok(Math.abs(shares.reduce((sum, share) => sum + share, 0) - 1) < 1e-9);
  t.equal(toFleetShare({ inUse: 10, waiting: 0 }, [undefined, undefined, undefined]), 1 / 4);
  t.end();
});

const createSituation = (
  spares: number,
  missingForMs: number,
  overrides: Partial<RepairSituation> = {},
): RepairSituation => ({
  broken: [
    {
      id: 'g',
      missingForMs: [missingForMs],
      hasRestartedMember: false,
      survivors: 3,
      acceleratorsPerInstance: 8,
    },
  ],
  spares,
  instancesPerGroup: 4,
  loadMs: 20_000,
  graceMs: 1_000,
  weights: { downtime: 1, stranded: 1 },
  ...overrides,
});

void t.test('a broken group waits for its member or gets a substitute', (t) => {
  const cases: readonly {
    readonly name: string;
    readonly situation: RepairSituation;
    readonly expected: RepairDecision['kind'];
  }[] = [
    { name: 'missing within the grace period', situation: createSituation(1, 500), expected: 'wait' },
    { name: 'likely to return', situation: createSituation(1, 1_500), expected: 'wait' },
    { name: 'missing for long, with a spare', situation: createSituation(1, 60_000), expected: 'substitute' },
    { name: 'missing for long, without a spare', situation: createSituation(0, 60_000), expected: 'wait' },
  ];
  for (const { name, situation, expected } of cases)
    t.equal(decideRepairs(situation)[0]?.kind, expected, name);
  t.end();
});

void t.test('survivors of several broken groups are regrouped when there is no spare', (t) => {
  const broken = ['a', 'b', 'c', 'd'].map((id) => ({
    id,
    missingForMs: [600_000],
    hasRestartedMember: false,
    survivors: 3,
    acceleratorsPerInstance: 8,
  }));
  const kinds = decideRepairs({ ...createSituation(0, 0), broken }).map(({ kind }) => kind);
  t.same(kinds, ['regroup', 'regroup', 'regroup', 'regroup']);
  t.end();
});

void t.test('an outage of a whole fabric domain triggers no mass repair', (t) => {
  const broken = Array.from({ length: 20 }, (_, index) => ({
    id: `g${index}`,
    missingForMs: [60_000, 60_000, 60_000, 60_000],
    hasRestartedMember: false,
    survivors: 0,
    acceleratorsPerInstance: 8,
  }));
  const decisions = decideRepairs({ ...createSituation(0, 0), broken });
  t.ok(decisions.every(({ kind }) => kind === 'wait'));
  t.end();
});

void t.test('a node serves only with a configuration that is known to be current', (t) => {
  const base = { ownConfiguration: 5, logContactAgeMs: 100, peerConfigurations: [5], fleetSize: 3 };
  const cases = [
    { name: 'log reachable', view: base, expected: 'fresh' },
    { name: 'no configuration', view: { ...base, ownConfiguration: 0 }, expected: 'no-configuration' },
    {
      name: 'log unreachable, majority agrees',
      view: { ...base, logContactAgeMs: 60_000 },
      expected: 'fresh',
    },
    {
      name: 'log unreachable, a peer has a newer one',
      view: { ...base, logContactAgeMs: 60_000, peerConfigurations: [6] },
      expected: 'behind-peers',
    },
    {
      name: 'alone',
      view: { ...base, logContactAgeMs: 60_000, peerConfigurations: [] },
      expected: 'isolated',
    },
  ];
  for (const { name, view, expected } of cases) {
    const freshness = checkFreshness(view);
    t.equal(freshness.kind === 'fresh' ? 'fresh' : freshness.reason, expected, name);
  }
  t.end();
});

void t.test('admission refuses a request that cannot finish before its deadline', async (t) => {
  const clock = new ManualClock();
  const admission = new Admission({ clock, capacity: () => 1 });
  const request = { workspace: 'w', weight: 1, priority: 0, workspaceLimit: 10, endsAtMs: 10_000 };
  const first = await admission.admit(request);
  clock.advance(4_000);
  if (first.kind === 'permit') first.release();
  const second = await admission.admit({ ...request, endsAtMs: 60_000 });
  const third = await admission.admit({ ...request, endsAtMs: clock.monotonic() + 5_000 });
  t.equal(second.kind, 'permit');
  t.same(third.kind === 'refused' && third.reason, 'deadline-unreachable');
});

void t.test('requests with the same prefix go to the same group until that group is loaded', (t) => {
  const clock = new ManualClock();
  const loads = new Loads(clock);
  const router = new Router({
    loads,
    stragglers: new Stragglers(clock),
    random: createRandom(1),
    region: 'r',
  });
  const candidates = ['a', 'b', 'c'].map((id) => ({ id, region: 'r', concurrency: 8 }));
  const choose = () => router.choose(candidates, { affinityKey: 'prompt', tried: new Set() })?.id ?? '';
  const firstChoice = choose();
  t.equal(choose(), firstChoice);
  for (let index = 0; index < 4; index++) loads.begin(firstChoice);
  t.not(choose(), firstChoice);
  t.end();
});

void t.test('digests reach all nodes, and a restarted node replaces its earlier incarnation', (t) => {
  const clock = new ManualClock();
  const nodes = ['n1', 'n2', 'n3'].map((node, index) => createMembership(node, 1, index, clock));
  for (let round = 0; round < 6; round++) for (const node of nodes) exchangeDigests(node, nodes);
  t.same(
    nodes.map((node) => node.members().length),
    [2, 2, 2],
  );
  const [first] = nodes;
  const restarted = createMembership('n2', 2, 9, clock);
  first?.merge([restarted.own]);
  first?.merge([createMembership('n2', 1, 9, clock).own]);
  t.equal(first?.members().find(({ node }) => node === 'n2')?.incarnation, 2);
  first?.markSilent('n3');
  t.equal(
    first?.members().length,
    2,
    'a node that did not answer is a member while it may refute the suspicion',
  );
  clock.advance(SUSPICION_TIMEOUT_MS);
  t.equal(first?.members().length, 1, 'a node that does not refute the suspicion is removed');
  nodes[2]?.merge(first?.takeUpdates() ?? []);
  first?.merge(nodes[2]?.takeUpdates() ?? []);
  t.equal(first?.members().length, 2, 'a node that refutes the suspicion is a member again');
  t.end();
});

function createMembership(node: string, incarnation: number, seed: number, clock: ManualClock): Membership {
  const self = { node, incarnation, role: 'entry' as const, failureDomain: 'a' };
  return new Membership({ clock, random: createRandom(seed), self, seeds: ['n1'] });
}

function exchangeDigests(from: Membership, nodes: readonly Membership[]): void {
  const to = nodes.find(({ own }) => own.node === from.choosePeer());
  if (!to) return;
  to.merge(from.takeUpdates());
  from.merge(to.takeUpdates());
}
