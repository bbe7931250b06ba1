import {
  type BatchLoad,
  type Clock,
  Counters,
  createRandom,
  LoadTracker,
  systemClock,
  TargetHealth,
  type TargetCandidate,
  type TargetChoice,
  chooseTarget,
} from '@monsoonreach/core';
import { DecisionLog, Placement, type PlacementMessage } from '@monsoonreach/node';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, SMALL_MODEL } from '../serving/fixtures.js';
import { sleep } from '../standins/http.js';

const SIZE = { promptTokens: 700, answerTokens: 180 };
const GROUPS = 12;
const NO_LOAD: BatchLoad = { requests: 0, contextTokens: 0, pendingPromptTokens: 0 };
const COORDINATOR = 'node-0';
/** For tests that need the coordinator's answer, which may take long on a busy machine. */
const ANSWER_TIMEOUT_MS = 10_000;

/** Nodes that exchange placement messages within this process. */
class PlacementFleet {
  readonly nodes = new Map<string, { readonly placement: Placement; readonly loads: LoadTracker }>();
  /** Nodes to which no message is delivered. */
  readonly unreachable = new Set<string>();
  coordinator: string | undefined = COORDINATOR;

  constructor(
    size: number,
    private readonly _answerTimeoutMs: number | undefined,
    private readonly _clock: Clock = systemClock,
  ) {
    for (let index = 0; index < size; index++) this._add(`node-${index}`);
  }

  place(node: string, tried: ReadonlySet<string> = new Set()): Promise<TargetChoice> {
    const need = { service: 'engines', model: SMALL_MODEL.name, size: SIZE, tried, isContinuing: false };
    return new Promise((resolve) => this.nodes.get(node)?.placement.place(need, resolve));
  }

  private _add(name: string): void {
    const random = createRandom(this.nodes.size + 1);
    const counters = new Counters();
    const loads: LoadTracker = new LoadTracker(() => {
      placement.scheduleReport();
    });
    const candidates = (): readonly TargetCandidate[] => {
      const totals = loads.computeTotals(this._clock.monotonic());
      return Array.from({ length: GROUPS }, (_, index) => ({
        key: `group-${index}`,
        instance: createInstance(`head-${index}`),
        slots: ENGINE_PROFILE.slots,
        engine: { profile: ENGINE_PROFILE, model: SMALL_MODEL },
        load: totals.get(`group-${index}`) ?? NO_LOAD,
      }));
    };
    const health = new TargetHealth();
    const placement: Placement = new Placement({
      node: name,
      address: name,
      incarnation: `${name}-1`,
      failureDomain: 'zone-1',
      clock: this._clock,
      counters,
      log: new DecisionLog(name, 'hidden', this._clock, counters),
      loads,
      ...(this._answerTimeoutMs === undefined ? {} : { answerTimeoutMs: this._answerTimeoutMs }),
      coordinator: () => (this.coordinator === name ? 'self' : this.coordinator),
      send: (address, message) => {
        this._deliver(address, message);
      },
      chooseLocally: (choice) =>
        chooseTarget(candidates(), { ...choice, nowMs: this._clock.monotonic(), random, health }),
      findCandidate: (_need, key) => candidates().find((candidate) => candidate.key === key),
      silentTargets: () => [],
    });
    this.nodes.set(name, { placement, loads });
  }

  private _deliver(address: string, message: PlacementMessage): void {
    if (this.unreachable.has(address)) return;
    setImmediate(() => this.nodes.get(address)?.placement.receive(message));
  }
}

function getKeyOrReason(choice: TargetChoice): string {
  return choice.kind === 'chosen' ? choice.candidate.key : choice.reason;
}

void t.test(
  'load pattern: a coordinator spreads one request of each of many nodes evenly; nodes that choose alone, by outdated loads, do not',
  async (t) => {
    const countFullestGroup = async (coordinator: string | undefined) => {
      const fleet = new PlacementFleet(GROUPS * 6, ANSWER_TIMEOUT_MS);
      fleet.coordinator = coordinator;
      const placed = await Promise.all([...fleet.nodes.keys()].map((node) => fleet.place(node)));
      const byGroup = new Map<string, number>();
      for (const choice of placed)
        byGroup.set(getKeyOrReason(choice), (byGroup.get(getKeyOrReason(choice)) ?? 0) + 1);
      return Math.max(...byGroup.values());
    };
    const share = 6;
    const [coordinatedMax, uncoordinatedMax] = [
      await countFullestGroup(COORDINATOR),
      await countFullestGroup(undefined),
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
  const coordinator = fleet.nodes.get(COORDINATOR);
  const countRequests = () =>
    [...(coordinator?.loads.computeTotals(systemClock.monotonic()).values() ?? [])].reduce(
      (sum, { requests }) => sum + requests,
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

const failures = [
  { name: 'the coordinator does not answer', dead: [COORDINATOR], coordinator: COORDINATOR },
  { name: 'there is no coordinator', dead: [], coordinator: undefined },
];

for (const { name, dead, coordinator } of failures) {
  void t.test(`a node chooses a target itself: ${name}`, async (t) => {
    const fleet = new PlacementFleet(3, undefined);
    for (const node of dead) fleet.unreachable.add(node);
    fleet.coordinator = coordinator;
    const startedAtMs = systemClock.monotonic();
    t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
    t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
    t.match(getKeyOrReason(await fleet.place('node-1')), /^group-/);
    t.ok(systemClock.monotonic() - startedAtMs < 3_000, 'waiting for the coordinator is bounded');
  });
}

void t.test('a target that a request has tried is not granted to it again', async (t) => {
  const fleet = new PlacementFleet(2, ANSWER_TIMEOUT_MS);
  const tried = new Set(Array.from({ length: GROUPS - 1 }, (_, index) => `group-${index}`));
  t.equal(getKeyOrReason(await fleet.place('node-1', tried)), `group-${GROUPS - 1}`);
});

void t.test('load pattern: the coordinator tells every node when all groups are full', async (t) => {
  const fleet = new PlacementFleet(3, ANSWER_TIMEOUT_MS);
  const capacity = GROUPS * Math.ceil(ENGINE_PROFILE.slots * 1.25);
  for (let index = 0; index < capacity; index++) {
    const choice = await fleet.place('node-1');
    if (choice.kind === 'chosen') fleet.nodes.get('node-1')?.loads.startRequest(choice.candidate.key, SIZE);
  }
  t.equal(getKeyOrReason(await fleet.place('node-2')), 'all-full');
});
