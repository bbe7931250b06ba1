import {
  type Clock,
  chooseTarget,
  Counters,
  createRandom,
  getIncarnationKey,
  LoadTracker,
  ManualClock,
  RecentTargets,
  type ShardOwner,
  systemClock,
  type TargetCandidate,
  type TargetChoice,
  TargetHealth,
  TargetLimits,
} from '@monsoonreach/core';
import {
  DecisionLog,
  decodePeerMessage,
  encodePeerMessage,
  type PeerMessage,
  Placement,
  type WithoutVersion,
} from '@monsoonreach/node';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, SMALL_MODEL } from '../serving/fixtures.js';
import { sleep } from '../standins/http.js';

const SIZE = { promptTokens: 700, answerTokens: 180 };
const GROUPS = 12;
const OWNER = 'node-0';
/** For tests that need an owner's answer, which may take long on a busy machine. */
const ANSWER_TIMEOUT_MS = 10_000;

interface PlacementNode {
  readonly placement: Placement;
  readonly loads: LoadTracker;
  readonly limits: TargetLimits;
}

/** Nodes that exchange placement messages within this process. */
class PlacementFleet {
  readonly nodes = new Map<string, PlacementNode>();
  /** Nodes to which no message is delivered. */
  readonly unreachable = new Set<string>();
  /** Owners; the groups are divided among them. */
  owners: readonly string[] = [OWNER];
  /** Nodes of an earlier version, which ignore the failure domains allowed. */
  readonly ignoringHomes = new Set<string>();
  /** Failure domain of a group; that of the nodes by default. */
  domainOf: (group: number) => string = () => 'zone-1';
  /** Failure domains in which requests may be run; any by default. */
  allowedDomains: ReadonlySet<string> | undefined;
  /** Objectives for the first event with which targets were chosen. */
  readonly objectives: (number | undefined)[] = [];
  /** Owners whose groups are all in evacuated failure domains. */
  avoidedOwners: readonly string[] = [];
  /** Number of messages by kind. */
  readonly messages = new Map<string, number>();

  constructor(
    size: number,
    private readonly _answerTimeoutMs: number | undefined,
    private readonly _clock: Clock = systemClock,
  ) {
    for (let index = 0; index < size; index++) this._add(`node-${index}`);
  }

  place(
    node: string,
    tried: ReadonlySet<string> = new Set(),
    firstEventObjectiveMs?: number,
  ): Promise<TargetChoice> {
    const { allowedDomains } = this;
    const need = {
      service: 'engines',
      model: SMALL_MODEL.name,
      size: SIZE,
      tried,
      isContinuing: false,
      allowedDomains,
      firstEventObjectiveMs,
    };
    return new Promise((resolve) => this.nodes.get(node)?.placement.place(need, resolve));
  }

  private _findOwner(key: string): ShardOwner | undefined {
    const address = this.owners[Number(key.split('-')[1]) % this.owners.length];
    return address === undefined ? undefined : { id: address, address, term: 1 };
  }

  private _add(name: string): void {
    const random = createRandom(this.nodes.size + 1);
    const counters = new Counters();
    const loads: LoadTracker = new LoadTracker((target) => {
      placement.scheduleReport(target);
    });
    const candidates = (isOwner: boolean): readonly TargetCandidate[] =>
      Array.from({ length: GROUPS }, (_, index) => ({ key: `group-${index}`, index }))
        .filter(({ key }) => !isOwner || this._findOwner(key)?.address === name)
        .map(({ key, index }) => ({
          key,
          instance: createInstance(key, { failureDomain: this.domainOf(index) }),
          slots: ENGINE_PROFILE.slots,
          engine: { profile: ENGINE_PROFILE, model: SMALL_MODEL },
          load: loads.getLoad(key),
        }));
    const health = new TargetHealth();
    const limits = new TargetLimits(this._clock, () => this.nodes.size);
    const placement: Placement = new Placement({
      id: `${name}#1`,
      address: name,
      failureDomain: 'zone-1',
      clock: this._clock,
      random,
      counters,
      log: new DecisionLog(name, 'hidden', this._clock, counters),
      loads,
      limits,
      misdirections: new RecentTargets(this._clock, 2_000),
      isOwnedBy: (incarnation, address) =>
        this._findOwner(incarnation.split('#')[0] ?? '')?.address === address,
      ...(this._answerTimeoutMs === undefined ? {} : { answerTimeoutMs: this._answerTimeoutMs }),
      findOwners: () =>
        this.owners.map((address) => ({
          address,
          capacity: (GROUPS / this.owners.length) * ENGINE_PROFILE.slots,
          isAvoided: this.avoidedOwners.includes(address),
        })),
      findOwner: (key) => this._findOwner(key),
      owners: () => new Set(this.owners),
      send: (address, message) => {
        this._deliver(address, message);
      },
      chooseLocally: (criteria) => {
        this.objectives.push(criteria.firstEventObjectiveMs);
        const choice = chooseTarget(candidates(criteria.isOwner), {
          ...criteria,
          isExact: criteria.isOwner,
          nowMs: this._clock.monotonic(),
          random,
          health,
          unavailable: limits.listExhausted(criteria.isOwner ? 'fleet' : 'node'),
        });
        if (choice.kind === 'chosen') {
          if (criteria.isOwner) limits.recordGrant(getIncarnationKey(choice.candidate.instance));
          limits.recordRequest(getIncarnationKey(choice.candidate.instance));
        }
        return choice;
      },
      countFree: () =>
        candidates(true).reduce((sum, { slots, load }) => sum + Math.max(0, slots - load.requests), 0),
      findCandidate: (_need, key) => candidates(false).find((candidate) => candidate.key === key),
      avoidedTargets: () => [],
      connectedTargets: () => [],
      describe: () => ({ demand: {}, silent: [], served: {}, heads: {} }),
      onReport: () => undefined,
      onSuspectedOwner: () => undefined,
    });
    this.nodes.set(name, { placement, loads, limits });
  }

  private _deliver(address: string, message: WithoutVersion<PeerMessage>): void {
    this.messages.set(message.kind, (this.messages.get(message.kind) ?? 0) + 1);
    if (this.unreachable.has(address)) return;
    if (message.kind !== 'report' && message.kind !== 'ask' && message.kind !== 'grant') return;
    const isIgnoring = this.ignoringHomes.has(address) && message.kind === 'ask';
    const copy = { version: 2 as const, ...message, ...(isIgnoring ? { allowedDomains: undefined } : {}) };
    setImmediate(() => this.nodes.get(address)?.placement.receive(copy));
  }
}

function getKeyOrReason(choice: TargetChoice): string {
  return choice.kind === 'chosen' ? choice.candidate.key : choice.reason;
}

void t.test(
  'load pattern: an owner spreads one request of each of many nodes evenly; nodes that choose alone do not',
  async (t) => {
    const countFullestGroup = async (owners: readonly string[]) => {
      const fleet = new PlacementFleet(GROUPS * 6, ANSWER_TIMEOUT_MS);
      fleet.owners = owners;
      const placed = await Promise.all([...fleet.nodes.keys()].map((node) => fleet.place(node)));
      const byGroup = new Map<string, number>();
      for (const choice of placed)
        byGroup.set(getKeyOrReason(choice), (byGroup.get(getKeyOrReason(choice)) ?? 0) + 1);
      return Math.max(...byGroup.values());
    };
    const share = 6;
    const [coordinatedMax, uncoordinatedMax] = [
      await countFullestGroup([OWNER]),
      await countFullestGroup([]),
    ];
    t.ok(
      coordinatedMax <= share + 1,
      `the fullest group got ${coordinatedMax} requests, an even share is ${share}`,
    );
    t.ok(
      uncoordinatedMax > share + 1,
      `nodes that choose alone gave the fullest group ${uncoordinatedMax} requests`,
    );
  },
);

void t.test('a granted placement counts as load until the node reports the request itself', async (t) => {
  const fleet = new PlacementFleet(2, ANSWER_TIMEOUT_MS);
  const first = await fleet.place('node-1');
  const owner = fleet.nodes.get(OWNER);
  const countRequests = () =>
    Array.from({ length: GROUPS }, (_, index) => owner?.loads.getLoad(`group-${index}`).requests ?? 0).reduce(
      (sum, requests) => sum + requests,
      0,
    );
  t.equal(countRequests(), 1, 'the granted placement');
  const load = fleet.nodes.get('node-1')?.loads.startRequest(getKeyOrReason(first), SIZE);
  await sleep(100);
  t.equal(countRequests(), 1, 'the reported request, counted once');
  load?.endRequest();
  await sleep(100);
  t.equal(countRequests(), 0);
});

const objectiveCases = [
  { name: 'its owner', owners: [OWNER], node: 'node-1', objectiveMs: 400 },
  { name: 'its owner, for itself', owners: [OWNER], node: OWNER, objectiveMs: 400 },
  { name: 'a node without an owner', owners: [], node: 'node-1', objectiveMs: 400 },
  {
    name: 'an owner that a node of an earlier version asks',
    owners: [OWNER],
    node: 'node-1',
    objectiveMs: undefined,
  },
];

// Guards against an owner that lets a prompt wait behind others beyond the prompt's own objective.
for (const { name, owners, node, objectiveMs } of objectiveCases) {
  void t.test(`the objective of a request is known where its target is chosen: ${name}`, async (t) => {
    const fleet = new PlacementFleet(2, ANSWER_TIMEOUT_MS);
    fleet.owners = owners;
    const choice = await fleet.place(node, new Set(), objectiveMs);
    t.equal(choice.kind, 'chosen');
    t.same(fleet.objectives, [objectiveMs]);
  });
}

const LIMIT_PER_S = 2;
const limitCases = [
  { name: 'its owner assigns all requests', owners: [OWNER] },
  { name: 'owners share the groups', owners: ['node-0', 'node-1'] },
  { name: 'there is no owner', owners: [] },
] as const;

// Guards against groups that get far more requests than the limit that they named, from nodes that each obey it alone.
for (const { name, owners } of limitCases) {
  void t.test(`load pattern: groups that named a limit get no more from all nodes: ${name}`, async (t) => {
    const clock = new ManualClock();
    const fleet = new PlacementFleet(4, ANSWER_TIMEOUT_MS, clock);
    fleet.owners = owners;
    for (const { limits } of fleet.nodes.values()) {
      for (let group = 0; group < GROUPS; group++) {
        limits.record(getIncarnationKey(createInstance(`group-${group}`)), {
          requestsPerS: LIMIT_PER_S,
          namedAtMs: clock.monotonic(),
        });
      }
    }
    const durationS = 8;
    const byGroup = new Map<string, number>();
    for (let step = 0; step < durationS * 20; step++) {
      clock.advance(50);
      for (const node of fleet.nodes.keys()) {
        const key = getKeyOrReason(await fleet.place(node));
        byGroup.set(key, (byGroup.get(key) ?? 0) + 1);
      }
    }
    byGroup.delete('all-full');
    const allowed = LIMIT_PER_S * durationS + 1;
    for (const [key, count] of byGroup) t.ok(count <= allowed, `${key}: ${count}, allowed ${allowed}`);
    const sum = [...byGroup.values()].reduce((a, b) => a + b, 0);
    t.ok(sum >= 0.7 * GROUPS * LIMIT_PER_S * durationS, `the limits are used: ${sum} requests`);
  });
}

// Guards against an owner that was started lately and does not know the limits that other nodes were told.
void t.test('an ask tells the owner the limits that the asking node knows', async (t) => {
  const clock = new ManualClock();
  const fleet = new PlacementFleet(2, ANSWER_TIMEOUT_MS, clock);
  const node = fleet.nodes.get('node-1');
  for (let group = 0; group < GROUPS; group++) {
    node?.limits.record(getIncarnationKey(createInstance(`group-${group}`)), {
      requestsPerS: 1,
      namedAtMs: clock.monotonic(),
    });
  }
  t.equal(getKeyOrReason(await fleet.place('node-1')), 'all-full');
  clock.advance(1_000);
  t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
});

const failures = [
  { name: 'the owner does not answer', dead: [OWNER], owners: [OWNER] },
  { name: 'there is no owner', dead: [], owners: [] },
];

for (const { name, dead, owners } of failures) {
  void t.test(`a node chooses a target itself: ${name}`, async (t) => {
    const fleet = new PlacementFleet(3, undefined);
    for (const node of dead) fleet.unreachable.add(node);
    fleet.owners = owners;
    const startedAtMs = systemClock.monotonic();
    t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
    t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
    t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
    t.ok(systemClock.monotonic() - startedAtMs < 3_000, 'waiting for the owner is bounded');
  });
}

const ALL_GROUPS = Array.from({ length: GROUPS }, (_, index) => `group-${index}`);

const suspicions = [
  { name: 'of the only owner', owners: ['node-0'], dead: ['node-0'], node: 'node-1' },
  { name: 'of all owners', owners: ['node-0', 'node-2'], dead: ['node-0', 'node-2'], node: 'node-1' },
  { name: 'of the other owner', owners: ['node-0', 'node-1'], dead: ['node-0'], node: 'node-1' },
  {
    name: 'of one owner while the other is full',
    owners: ['node-0', 'node-2'],
    dead: ['node-0'],
    node: 'node-1',
  },
];

// Guards against endless recursion, which ended the process, when no owner could be asked and no group was left.
for (const { name, owners, dead, node } of suspicions) {
  void t.test(`a request without a free group is refused under suspicion ${name}`, async (t) => {
    const fleet = new PlacementFleet(3, undefined);
    fleet.owners = owners;
    for (const address of dead) fleet.unreachable.add(address);
    // More requests than it takes until each dead owner has missed three answers and is suspected.
    await Promise.all(Array.from({ length: 30 }, () => fleet.place(node)));
    t.equal(getKeyOrReason(await fleet.place(node, new Set(ALL_GROUPS))), 'no-target');
  });
}

void t.test('a target that a request has tried is not granted to it again', async (t) => {
  const fleet = new PlacementFleet(2, ANSWER_TIMEOUT_MS);
  const tried = new Set(Array.from({ length: GROUPS - 1 }, (_, index) => `group-${index}`));
  t.equal(getKeyOrReason(await fleet.place('node-1', tried)), `group-${GROUPS - 1}`);
});

// Guards against heads that no longer serve, while the list still shows them, taking requests and retries of every node.
void t.test(
  'load pattern, groups end at once: what one node was answered holds for the requests of all',
  async (t) => {
    const fleet = new PlacementFleet(3, ANSWER_TIMEOUT_MS);
    const ended = new Set(Array.from({ length: GROUPS - 1 }, (_, index) => `group-${index}`));
    for (const key of ended) fleet.nodes.get('node-1')?.placement.recordMisdirection(key);
    await sleep(50);
    for (const node of ['node-0', 'node-1', 'node-2'])
      t.equal(getKeyOrReason(await fleet.place(node)), `group-${GROUPS - 1}`, node);
  },
);

void t.test('a target that was left alone after a wrong answer is used again', (t) => {
  const clock = new ManualClock();
  const misdirections = new RecentTargets(clock, 2_000);
  t.equal(misdirections.record('group-1'), true);
  t.equal(misdirections.record('group-1'), false);
  clock.advance(1_999);
  t.same([...misdirections.list()], ['group-1']);
  clock.advance(1);
  t.equal(misdirections.list().size, 0);
  t.equal(misdirections.record('group-1', 2_000), true, 'an answer that was given long ago says nothing');
  t.equal(misdirections.list().size, 0);
  t.end();
});

void t.test('load pattern: the owner tells every node when all groups are full', async (t) => {
  const fleet = new PlacementFleet(3, ANSWER_TIMEOUT_MS);
  const capacity = GROUPS * Math.ceil(ENGINE_PROFILE.slots * 1.25);
  for (let index = 0; index < capacity; index++) {
    const choice = await fleet.place('node-1');
    if (choice.kind === 'chosen') fleet.nodes.get('node-1')?.loads.startRequest(choice.candidate.key, SIZE);
  }
  t.equal(getKeyOrReason(await fleet.place('node-2')), 'all-full');
});

void t.test(
  'load pattern, several owners: a request is placed at another owner when the groups of one are full',
  async (t) => {
    const fleet = new PlacementFleet(4, ANSWER_TIMEOUT_MS);
    fleet.owners = ['node-0', 'node-1'];
    const capacity = GROUPS * Math.ceil(ENGINE_PROFILE.slots * 1.25);
    const byOwner = new Map<string, number>();
    for (let index = 0; index < capacity; index++) {
      const choice = await fleet.place('node-3');
      if (choice.kind !== 'chosen') t.fail(`request ${index} was refused: ${choice.reason}`);
      const key = getKeyOrReason(choice);
      fleet.nodes.get('node-3')?.loads.startRequest(key, SIZE);
      const owner = Number(key.split('-')[1]) % 2 === 0 ? 'node-0' : 'node-1';
      byOwner.set(owner, (byOwner.get(owner) ?? 0) + 1);
    }
    t.equal(byOwner.get('node-0'), capacity / 2);
    t.equal(getKeyOrReason(await fleet.place('node-3')), 'all-full');
  },
);

// Guards against requests in a domain that is being evacuated while other owners have capacity, and against requests that
// are refused while only that domain has capacity.
for (const owners of [
  ['node-0', 'node-1'],
  ['node-0', 'node-1', 'node-2'],
]) {
  void t.test(
    `one of ${owners.length} owners, whose groups are all avoided, is asked when the others are full`,
    async (t) => {
      const fleet = new PlacementFleet(4, ANSWER_TIMEOUT_MS);
      fleet.owners = owners;
      fleet.avoidedOwners = ['node-1'];
      const capacity = GROUPS * Math.ceil(ENGINE_PROFILE.slots * 1.25);
      const placed: string[] = [];
      for (let index = 0; index < capacity; index++) {
        const key = getKeyOrReason(await fleet.place('node-3'));
        fleet.nodes.get('node-3')?.loads.startRequest(key, SIZE);
        placed.push(owners[Number(key.split('-')[1]) % owners.length] ?? key);
      }
      const elsewhere = capacity - capacity / owners.length;
      t.equal(placed.indexOf('node-1'), elsewhere);
      t.ok(
        placed.slice(elsewhere).every((owner) => owner === 'node-1'),
        'all others are placed there',
      );
      t.equal(getKeyOrReason(await fleet.place('node-3')), 'all-full');
    },
  );
}

void t.test('a node reports its requests at a target to the owner of that target only', async (t) => {
  const fleet = new PlacementFleet(3, ANSWER_TIMEOUT_MS);
  fleet.owners = ['node-0', 'node-1'];
  fleet.nodes.get('node-2')?.loads.startRequest('group-1', SIZE);
  await sleep(150);
  t.equal(fleet.nodes.get('node-1')?.loads.getLoad('group-1').requests, 1);
  t.equal(fleet.nodes.get('node-0')?.loads.getLoad('group-1').requests, 0);
  t.equal(fleet.messages.get('report'), 1);
});

const HOME_GROUPS = 3;
const homeCases: readonly {
  readonly name: string;
  readonly owners: readonly string[];
  readonly ignoring?: readonly string[];
  readonly allowed: readonly string[];
  readonly chosen: 'home' | 'no-target-in-homes';
}[] = [
  { name: 'an owner knows them', owners: [OWNER], allowed: ['home'], chosen: 'home' },
  { name: 'an owner ignores them', owners: [OWNER], ignoring: [OWNER], allowed: ['home'], chosen: 'home' },
  {
    name: 'one of two owners ignores them',
    owners: [OWNER, 'node-1'],
    ignoring: [OWNER],
    allowed: ['home'],
    chosen: 'home',
  },
  { name: 'there is no owner', owners: [], allowed: ['home'], chosen: 'home' },
  { name: 'no group is in them', owners: [OWNER], allowed: ['east'], chosen: 'no-target-in-homes' },
  {
    name: 'no group is in them and the owner ignores them',
    owners: [OWNER],
    ignoring: [OWNER],
    allowed: ['east'],
    chosen: 'no-target-in-homes',
  },
];

// Guards against a group outside of the homes of a request, whoever chooses it.
for (const { name, owners, ignoring = [], allowed, chosen } of homeCases) {
  void t.test(`home regions: ${name}`, async (t) => {
    const fleet = new PlacementFleet(3, ANSWER_TIMEOUT_MS);
    fleet.owners = owners;
    for (const owner of ignoring) fleet.ignoringHomes.add(owner);
    fleet.domainOf = (group) => (group < HOME_GROUPS ? 'home' : 'zone-1');
    fleet.allowedDomains = new Set(allowed);
    for (let round = 0; round < 5; round++) {
      for (const node of fleet.nodes.keys()) {
        const key = getKeyOrReason(await fleet.place(node));
        const isHome = key.startsWith('group-') && Number(key.split('-')[1]) < HOME_GROUPS;
        t.equal(isHome ? 'home' : key, chosen);
      }
    }
  });
}

// Guards against owners that cannot read an ask with a field of a later version, which would leave it unanswered.
void t.test('asks with unknown fields are read', (t) => {
  const ask = {
    kind: 'ask' as const,
    sender: 'a',
    address: '127.0.0.1:1',
    sequence: 1,
    lastAsk: 1,
    openAsks: [],
    loads: {},
    limits: {},
    misdirected: {},
    failureDomain: 'zone-1',
    service: 's',
    model: 'm',
    promptTokens: 1,
    answerTokens: 1,
    isContinuing: false,
    avoided: [],
    connected: [],
  };
  t.same(decodePeerMessage(encodePeerMessage({ ...ask, later: ['x'] } as typeof ask)), {
    ...ask,
    version: 2,
  });
  t.notOk(
    'allowedDomains' in decodePeerMessage(encodePeerMessage(ask)),
    'requests without homes send no field',
  );
  t.end();
});
