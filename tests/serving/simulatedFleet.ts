import { isDeepStrictEqual } from 'node:util';
import {
  createRandom,
  groupId,
  type GroupMembership,
  FormationPlanner,
  InstanceStateOverlay,
  type InstanceOrder,
  MAX_REPORT_LAG_MS,
  MemberProbes,
  observeGroups,
  type Random,
  type TargetInstance,
  UnlistedHeads,
} from '@monsoonreach/core';
import { createInstance, LARGE_MODEL, SERVICE, SMALL_MODEL } from './fixtures.js';

/** A model that one instance serves alone. */
const SINGLE_MODEL = { ...SMALL_MODEL, name: 'single', groupSize: 1, loadMs: 3_000 };
const MODELS = [{ ...LARGE_MODEL, loadMs: 4_000 }, SINGLE_MODEL];
const ENGINES = { ...SERVICE, engine: SERVICE.engine && { ...SERVICE.engine, models: MODELS } };

/** Time of a disruption's end after which no order or message is lost or late, in milliseconds. */
const CALM_AFTER_MS = 12_000;
const REJOIN_MS = 200;
const OPEN_MS = 300;
const CLOSE_MS = 500;
/** Time for which a group makes no progress before its head is broken, in milliseconds. */
const STALL_MS = 4_000;
const ENTRY_INTERVAL_MS = 1_000;
const ENTRY_EXPIRY_MS = 3_600;
const REPORT_LAG_MS = 200;
const CYCLE_MS = 100;
/** Delay of the cycle that follows an acknowledged order, in milliseconds. */
const FOLLOW_UP_DELAY_MS = 10;
const ORDER_TIMEOUT_MS = 400;
const REPORT_TIMEOUT_MS = 300;
const ORDER_EFFECT_MS = 1_500;
const REFRESH_INTERVAL_MS = 300;

/** Something that goes wrong for a while. */
export interface Disruption {
  readonly kind:
    /** The instance reaches nothing, and nothing reaches it. */
    | 'silence'
    /** The instance cannot write to the list. */
    | 'cut'
    /** The instance starts again under its id. */
    | 'restart'
    /** The instance leaves, and ends after a while. */
    | 'leave'
    /** A node reads entries of the instance late, one after the other. */
    | 'lag'
    /** A node reads an older entry of the instance once more. */
    | 'rollback'
    /** A node cannot read the list. */
    | 'outage'
    /** Nodes report the group of the instance as stalled though it is not. */
    | 'suspicion';
  readonly instance: number;
  readonly node: number;
  readonly atMs: number;
  readonly durationMs: number;
}

/** Course of a simulation. */
export interface Course {
  readonly seed: number;
  readonly disruptions: readonly Disruption[];
  /** When the second planner takes over. */
  readonly takeoverAtMs: number;
  /** How long the first one goes on. */
  readonly overlapMs: number;
  /** How long the first one stands still before the takeover, and for half of the overlap. */
  readonly frozenMs: number;
  /** When the first one takes over again, after the second one has. */
  readonly returnAfterMs: number | undefined;
}

interface Group {
  readonly name: string;
  readonly epoch: number;
  readonly members: readonly string[];
  state: GroupMembership['state'];
}

/** Runs what is due, in order of time. */
class Schedule {
  private readonly _due = new Map<number, (() => void)[]>();
  nowMs = 0;

  after(delayMs: number, action: () => void): void {
    const atMs = this.nowMs + Math.max(1, Math.round(delayMs));
    const actions = this._due.get(atMs);
    if (actions) actions.push(action);
    else this._due.set(atMs, [action]);
  }

  runUntil(endMs: number): void {
    while (this.nowMs < endMs) {
      this.nowMs++;
      for (const action of this._due.get(this.nowMs) ?? []) action();
      this._due.delete(this.nowMs);
    }
  }
}

type Report = Pick<TargetInstance, 'startedAtMs' | 'stagedModels' | 'models' | 'membership'> & {
  readonly orderCount: number;
};

/** An instance as its protocol describes it. */
class SimulatedInstance {
  private _stagedModel: string;
  private readonly _reports: { readonly atMs: number; readonly report: Report }[] = [];
  private _startedAtMs = 1;
  private _orderCount = 0;
  private _fencingToken = 0;
  private _highestEpoch = -1;
  private _engineModel: string | undefined;
  /** Group that it was ordered to open and does not serve yet. */
  private _opening: Group | undefined;
  private _stalledSinceMs: number | undefined;
  group: Group | undefined;
  state: TargetInstance['state'] = 'ready';
  hasEnded = false;
  silentUntilMs = 0;
  cutUntilMs = 0;

  constructor(
    private readonly _fleet: SimulatedFleet,
    readonly id: string,
    model: string,
  ) {
    this._stagedModel = model;
  }

  get isSilent(): boolean {
    return this.hasEnded || this._fleet.schedule.nowMs < this.silentUntilMs;
  }

  get isCut(): boolean {
    return this.isSilent || this._fleet.schedule.nowMs < this.cutUntilMs;
  }

  restart(): void {
    this._startedAtMs++;
    this._orderCount = 0;
    this._fencingToken = 0;
    this._highestEpoch = -1;
    this._engineModel = undefined;
    this.group = undefined;
    this.recordChange();
  }

  get startCount(): number {
    return this._startedAtMs;
  }

  /** Carries out an order and returns the status. */
  execute(order: InstanceOrder, fencingToken: number, expected: number): number {
    if (fencingToken < this._fencingToken && this._fleet.isFencing) return 412;
    this._fencingToken = Math.max(this._fencingToken, fencingToken);
    if (expected !== this._orderCount) return 409;
    // An order that is in progress is acknowledged like one that begins, and not counted.
    if (order.kind === 'open' && this._opening !== undefined && this._opening === this.group) return 202;
    const status = this._begin(order);
    if (status === 202) {
      this._orderCount++;
      this.recordChange();
    }
    return status;
  }

  /** The report, which is as of a short time ago. */
  report(lagMs: number): Report {
    const atMs = this._fleet.schedule.nowMs - lagMs;
    return this._reports.findLast((entry) => entry.atMs <= atMs)?.report ?? this._describe();
  }

  describeEntry(): TargetInstance {
    const { startedAtMs, stagedModels, models, membership } = this._describe();
    return createInstance(this.id, { startedAtMs, stagedModels, models, membership, state: this.state });
  }

  recordChange(): void {
    this._reports.push({ atMs: this._fleet.schedule.nowMs, report: this._describe() });
    this._fleet.writeEntry(this);
  }

  /** Whether its group makes no progress, as a member is missing. */
  get isStalled(): boolean {
    return this._stalledSinceMs !== undefined;
  }

  get isHead(): boolean {
    return this.group?.members[0] === this.id;
  }

  checkGroup(): void {
    const { group } = this;
    const { nowMs } = this._fleet.schedule;
    const isWhole = group?.members.every((id) => {
      const member = this._fleet.instances.get(id);
      return member && !member.isSilent && member.group?.name === group.name;
    });
    if (!group || !this.isHead || group.state !== 'open' || isWhole) {
      this._stalledSinceMs = undefined;
      return;
    }
    this._stalledSinceMs ??= nowMs;
    if (nowMs - this._stalledSinceMs < STALL_MS) return;
    group.state = 'broken';
    this.recordChange();
  }

  private _describe(): Report {
    const { group } = this;
    return {
      startedAtMs: this._startedAtMs,
      orderCount: this._orderCount,
      stagedModels: [this._stagedModel],
      models: this._engineModel === undefined ? [] : [this._engineModel],
      membership: group && {
        group: group.name,
        epoch: group.epoch,
        rank: group.members.indexOf(this.id),
        state: group.state,
      },
    };
  }

  private _begin(order: InstanceOrder): number {
    const { group } = this;
    switch (order.kind) {
      case 'join':
        return this._join(order);
      case 'open':
        if (!isGroupOf(order, group) || group?.state !== 'ready') return 409;
        this._opening = group;
        this._changeLater(group, 'ready', 'open', OPEN_MS);
        return 202;
      case 'close':
        if (!isGroupOf(order, group) || group?.state !== 'open') return 409;
        group.state = 'closing';
        this._changeLater(group, 'closing', 'ready', CLOSE_MS);
        return 202;
      case 'leave':
        if (!isGroupOf(order, group)) return 409;
        this.group = undefined;
        return 202;
      case 'stage':
        return 400;
    }
  }

  private _join({ group: name, epoch, model, members }: Extract<InstanceOrder, { kind: 'join' }>): number {
    if (epoch < this._highestEpoch) return 412;
    this._fleet.checkJoin(this, name);
    this._highestEpoch = epoch;
    const group: Group = { name, epoch, members, state: 'joining' };
    this.group = group;
    const preparedMs = this._engineModel === model.name ? REJOIN_MS : model.warmupMs;
    const durationMs = this._stagedModel === model.name ? preparedMs : model.loadMs;
    this._changeLater(group, 'joining', 'ready', durationMs, () => {
      this._stagedModel = model.name;
      this._engineModel = model.name;
      this._fleet.readyMembers.add(`${this.id} ${name}`);
    });
    return 202;
  }

  private _changeLater(
    group: Group,
    from: Group['state'],
    to: Group['state'],
    delayMs: number,
    onChange: () => void = () => undefined,
  ): void {
    this._fleet.schedule.after(delayMs, () => {
      if (this.hasEnded || this.group !== group || group.state !== from) return;
      group.state = to;
      if (to === 'open') this._opening = undefined;
      onChange();
      if (to === 'open') this._fleet.checkOpening(group);
      this.recordChange();
    });
  }
}

function isGroupOf(
  order: { readonly group: string; readonly epoch: number },
  group: Group | undefined,
): boolean {
  return group?.name === order.group && group.epoch === order.epoch;
}

interface Entry {
  readonly instance: TargetInstance;
  readonly readableAtMs: readonly number[];
}

/** A planner with what it knows, as `Planning`, `OrderSender` and `HeadMonitor` of a node use it. */
class SimulatedNode {
  private readonly _planner = new FormationPlanner();
  private readonly _overlay = new InstanceStateOverlay();
  private readonly _pendingOrders = new Map<string, number>();
  private readonly _changedAtMs = new Map<string, number>();
  private _refreshedAtMs = -Infinity;
  private _hasFollowUp = false;
  readonly checks = new MemberProbes();
  readonly heads = new UnlistedHeads();
  list: ReadonlyMap<string, TargetInstance> = new Map();
  listedAtMs = 0;
  frozen = { fromMs: Infinity, untilMs: Infinity };

  constructor(
    private readonly _fleet: SimulatedFleet,
    readonly index: number,
    private readonly _findTerm: () => number | undefined,
  ) {}

  get isOwner(): boolean {
    return this._findTerm() !== undefined;
  }

  /** Runs an action now, or once the node goes on. */
  run(action: () => void): void {
    const { schedule } = this._fleet;
    const { fromMs, untilMs } = this.frozen;
    if (schedule.nowMs >= fromMs && schedule.nowMs < untilMs)
      schedule.after(untilMs - schedule.nowMs, action);
    else action();
  }

  readList(instances: ReadonlyMap<string, TargetInstance>): void {
    const { nowMs } = this._fleet.schedule;
    for (const [id, instance] of instances)
      if (this.list.get(id) !== instance) this._changedAtMs.set(id, nowMs);
    this.list = instances;
    this.listedAtMs = nowMs;
    this.heads.update(observeGroups(ENGINES, instances.values()), nowMs);
  }

  askHeads(): void {
    for (const head of this.heads.getHeadsToProbe()) {
      this._fleet.readReport(this, head.id, REPORT_TIMEOUT_MS, (report) => {
        const isSame = report?.startedAtMs === head.startedAtMs;
        const answer = report ? (isSame ? report.membership : undefined) : 'silent';
        this.heads.recordAnswer(head, answer, this._fleet.schedule.nowMs);
      });
    }
  }

  runCycle(): void {
    if (!this.isOwner) return;
    const { nowMs } = this._fleet.schedule;
    this._checkMembers(nowMs);
    this._refreshInstances(nowMs);
    const orders = this._planner.plan({
      nowMs,
      services: [ENGINES],
      instances: this._overlay.merge(this._entries),
      findTerm: () => this._findTerm(),
      instancesWithPendingOrder: this._listPending(nowMs),
      silentInstances: this.checks.getLostMembers(),
      refusingInstances: this.checks.getRefusingMembers(),
      goneInstances: this.checks.getGoneMembers(nowMs),
      isHeadGone: (group) =>
        this.heads.isReleased(group, [this._fleet.findPeer(this).heads.getFindings()], 1, nowMs),
      plannerCount: 1,
      isGroupStalled: (group, silentHead) => this.checks.listReporters(group, nowMs, silentHead).size >= 2,
      isStallConfirmed: (group) => this.checks.isReportedByPeer(group, `node-${this.index}`, nowMs),
      unlistedOpenHeads: this.heads.getOpenHeads(),
      findUnlistedMembers: () => [],
      isListSettled: true,
      demand: new Map(MODELS.map(({ name }) => [name, 2])),
      hasTraffic: true,
    });
    for (const order of orders) this._send(order);
  }

  private get _entries() {
    return {
      instances: this.list,
      changedAtMs: (id: string) => this._changedAtMs.get(id) ?? -Infinity,
      currentAtMs: this.listedAtMs,
    };
  }

  private _listPending(nowMs: number): ReadonlySet<string> {
    for (const [id, untilMs] of this._pendingOrders) if (untilMs <= nowMs) this._pendingOrders.delete(id);
    return new Set(this._pendingOrders.keys());
  }

  private _checkMembers(nowMs: number): void {
    this.checks.retain(this.list, nowMs);
    const members = [...this.list.values()].map(({ id, membership }) => ({
      id,
      group: membership ? groupId(membership) : '',
    }));
    for (const id of this.checks.takeDueProbes(members, nowMs)) this._readState(id, REPORT_TIMEOUT_MS / 2);
  }

  private _refreshInstances(nowMs: number): void {
    if (nowMs - this._refreshedAtMs < REFRESH_INTERVAL_MS) return;
    this._refreshedAtMs = nowMs;
    const isOutdated = nowMs - this.listedAtMs >= ORDER_EFFECT_MS;
    const ids = isOutdated
      ? this._planner.listFormingInstances()
      : this._overlay.listContradicted(this._entries);
    const pending = this._listPending(nowMs);
    for (const id of ids) if (this.list.has(id) && !pending.has(id)) this._refresh(id);
  }

  private _refresh(id: string): void {
    this._readState(id, REPORT_TIMEOUT_MS, (isAnswered) => {
      if (isAnswered) this._pendingOrders.delete(id);
      else this._pendingOrders.set(id, this._fleet.schedule.nowMs + ORDER_TIMEOUT_MS);
    });
  }

  private _readState(
    id: string,
    timeoutMs: number,
    onResult: (isAnswered: boolean) => void = () => undefined,
  ): void {
    const known = this.list.get(id);
    this._fleet.readReport(this, id, timeoutMs, (report) => {
      const { nowMs } = this._fleet.schedule;
      this.checks.recordResult(id, report ? 'answered' : 'silent', nowMs, report ? 0 : timeoutMs);
      const listed = this.list.get(id) ?? known;
      if (report) {
        const { orderCount, ...state } = report;
        const instance = { ...(listed ?? createInstance(id)), ...state };
        this._overlay.recordReport(instance, orderCount, this._fleet.schedule.nowMs);
      }
      onResult(report !== undefined);
    });
  }

  private _send(order: InstanceOrder): void {
    const { instance } = order;
    const { id } = instance;
    const term = this._findTerm();
    if (term === undefined) return;
    this._pendingOrders.set(id, this._fleet.schedule.nowMs + ORDER_EFFECT_MS);
    const orderCount = this._findOrderCount(instance);
    if (orderCount === undefined) {
      this._refresh(id);
      return;
    }
    this._fleet.sendOrder(this, order, term, orderCount, (status) => {
      if (status === 409) this._overlay.recordRefusal(id);
      if (status === 202) this._recordBegun(order, orderCount + 1);
      else if (status === 409 || status === undefined)
        this._fleet.schedule.after(MAX_REPORT_LAG_MS, () => {
          this.run(() => {
            this._refresh(id);
          });
        });
    });
  }

  private _findOrderCount(instance: TargetInstance): number | undefined {
    const isUntouched = !instance.membership && instance.stagedModels.length === 0;
    return this._overlay.getOrderCount(instance) ?? (isUntouched ? 0 : undefined);
  }

  private _recordBegun(order: InstanceOrder, orderCount: number): void {
    const { id } = order.instance;
    this._overlay.recordOrderStart(order, orderCount, this._fleet.schedule.nowMs);
    if (order.kind !== 'open') this._pendingOrders.delete(id);
    if (order.kind === 'close') this._pollUntilClosed(id);
    if (this._hasFollowUp) return;
    this._hasFollowUp = true;
    this._fleet.schedule.after(FOLLOW_UP_DELAY_MS, () => {
      this.run(() => {
        this._hasFollowUp = false;
        this.runCycle();
      });
    });
  }

  private _pollUntilClosed(id: string): void {
    this._fleet.schedule.after(MAX_REPORT_LAG_MS, () => {
      this.run(() => {
        if (!this.isOwner) return;
        this._refresh(id);
        const state = this._overlay.getMemberState(id);
        if (state === 'open' || state === 'closing') this._pollUntilClosed(id);
      });
    });
  }
}

/** Instances, the list that they write, and two nodes that plan them one after the other. */
export class SimulatedFleet {
  private readonly _random: Random;
  private readonly _entries = new Map<string, Entry[]>();
  private readonly _writtenAtMs = new Map<string, number>();
  private readonly _nodes: readonly [SimulatedNode, SimulatedNode];
  private readonly _calmAtMs: number;
  readonly schedule = new Schedule();
  readonly instances = new Map<string, SimulatedInstance>();
  /** Members that have been ready in a group, with its name. */
  readonly readyMembers = new Set<string>();
  /** Rules that were broken. */
  readonly violations: string[] = [];
  readonly isFencing: boolean;
  orderCount = 0;
  private _lastOrderAtMs = 0;

  constructor(private readonly _course: Course) {
    const { seed, disruptions, takeoverAtMs, overlapMs, frozenMs, returnAfterMs } = _course;
    this._random = createRandom(seed);
    this.isFencing = seed % 2 === 0;
    const returnAtMs = returnAfterMs === undefined ? Infinity : takeoverAtMs + overlapMs + returnAfterMs;
    const now = () => this.schedule.nowMs;
    this._nodes = [
      new SimulatedNode(this, 0, () =>
        now() >= returnAtMs ? 7 : now() < takeoverAtMs + overlapMs ? 3 : undefined,
      ),
      new SimulatedNode(this, 1, () =>
        now() >= takeoverAtMs && now() < returnAtMs + overlapMs ? 5 : undefined,
      ),
    ];
    if (frozenMs > 0)
      this._nodes[0].frozen = { fromMs: takeoverAtMs - frozenMs, untilMs: takeoverAtMs + overlapMs / 2 };
    const ends = disruptions.map(({ atMs, durationMs }) => atMs + durationMs);
    this._calmAtMs = Math.max(takeoverAtMs, returnAtMs === Infinity ? 0 : returnAtMs, ...ends);
    for (const [index, model] of [
      'large',
      'large',
      'large',
      'large',
      'large',
      'large',
      'large',
      'single',
      'single',
    ].entries()) {
      // The order of the ids is not that in which they were added.
      const id = `i-${(index * 5) % 9}`;
      this.instances.set(id, new SimulatedInstance(this, id, model));
    }
    for (const instance of this.instances.values()) this._startWriting(instance);
    for (const disruption of disruptions)
      this.schedule.after(disruption.atMs, () => {
        this._disrupt(disruption);
      });
    for (const node of this._nodes) this._startNode(node);
  }

  /** Runs the course, and then a calm time. */
  run(): void {
    this.schedule.runUntil(this._calmAtMs + CALM_AFTER_MS + 25_000);
  }

  /** Time for which no order has been sent. */
  get quietMs(): number {
    return this.schedule.nowMs - this._lastOrderAtMs;
  }

  /** Instances that could be in open groups but are not. */
  listUnused(): readonly string[] {
    const idle = [...this.instances.values()].filter(
      (instance) => !instance.hasEnded && !this._isServing(instance),
    );
    return MODELS.flatMap(({ name, groupSize }) => {
      const unused = idle.filter((instance) => instance.describeEntry().stagedModels.includes(name));
      return unused.length < groupSize
        ? []
        : unused.map(({ id, group }) => `${id} ${group?.name} ${group?.state}`);
    });
  }

  findPeer(node: SimulatedNode): SimulatedNode {
    return this._nodes[node.index === 0 ? 1 : 0];
  }

  checkJoin(instance: SimulatedInstance, name: string): void {
    const { group } = instance;
    if (!group || group.name === name) return;
    const head = this.instances.get(group.members[0] ?? '');
    const isServing = head?.group?.state === 'open' || head?.group?.state === 'closing';
    if (!isServing || head.group?.name !== group.name) return;
    this.violations.push(
      `${this.schedule.nowMs}: ${instance.id} joins ${name} while ${group.name} is ${head.group.state}`,
    );
  }

  checkOpening({ name, members }: Group): void {
    for (const id of members) {
      if (this.readyMembers.has(`${id} ${name}`)) continue;
      this.violations.push(`${this.schedule.nowMs}: ${name} opens though ${id} was never ready in it`);
    }
  }

  writeEntry(instance: SimulatedInstance): void {
    const { nowMs } = this.schedule;
    if (instance.isCut) return;
    this._writtenAtMs.set(instance.id, nowMs);
    const entries = this._entries.get(instance.id) ?? [];
    this._entries.set(instance.id, entries);
    const previous = entries.at(-1)?.readableAtMs ?? [0, 0];
    const readableAtMs = previous.map((atMs, node) =>
      Math.max(atMs, nowMs + this._between(20, 300) + this._findLagMs(instance.id, node)),
    );
    const described = instance.describeEntry();
    const last = entries.at(-1)?.instance;
    entries.push({ instance: last && isDeepStrictEqual(last, described) ? last : described, readableAtMs });
  }

  readReport(
    node: SimulatedNode,
    id: string,
    timeoutMs: number,
    onResult: (report: Report | undefined) => void,
  ): void {
    const isLost = this._isDisrupted && this._random.next() < 0.1;
    const delayMs = this._between(2, 20);
    this.schedule.after(delayMs, () => {
      const instance = this.instances.get(id);
      const report =
        !instance || instance.isSilent || isLost
          ? undefined
          : instance.report(this._between(0, REPORT_LAG_MS));
      this.schedule.after(report ? delayMs : timeoutMs, () => {
        node.run(() => {
          onResult(report);
        });
      });
    });
  }

  /** Sends an order, which may be lost, be carried out late, or get no answer: then the status is undefined. */
  sendOrder(
    node: SimulatedNode,
    order: InstanceOrder,
    term: number,
    expected: number,
    onStatus: (status: number | undefined) => void,
  ): void {
    this.orderCount++;
    this._lastOrderAtMs = this.schedule.nowMs;
    const instance = this.instances.get(order.instance.id);
    const fate = this._isDisrupted ? this._random.next() : 1;
    const { startCount } = instance ?? { startCount: 0 };
    const execute = () =>
      instance && !instance.isSilent ? instance.execute(order, term, expected) : undefined;
    const answer = (status: number | undefined, delayMs: number) => {
      this.schedule.after(delayMs, () => {
        node.run(() => {
          onStatus(status);
        });
      });
    };
    if (fate < 0.1) answer(undefined, ORDER_TIMEOUT_MS);
    else if (fate < 0.2) {
      answer(undefined, ORDER_TIMEOUT_MS);
      this.schedule.after(this._between(2_000, 12_000), () => {
        if (instance?.startCount === startCount) execute();
      });
    } else {
      this.schedule.after(this._between(2, 150), () => {
        const status = execute();
        if (fate < 0.3 || status === undefined) answer(undefined, ORDER_TIMEOUT_MS);
        else answer(status, this._between(2, 50));
      });
    }
  }

  private get _isDisrupted(): boolean {
    return this.schedule.nowMs < this._calmAtMs;
  }

  private _isServing({ group }: SimulatedInstance): boolean {
    const head = this.instances.get(group?.members[0] ?? '');
    return (
      group !== undefined &&
      head?.group?.name === group.name &&
      head.group.state === 'open' &&
      !head.isStalled
    );
  }

  private _between(min: number, max: number): number {
    return min + Math.floor(this._random.next() * (max - min + 1));
  }

  private _findLagMs(id: string, node: number): number {
    const { nowMs } = this.schedule;
    const lag = this._course.disruptions.find(
      ({ kind, instance, node: index, atMs, durationMs }) =>
        kind === 'lag' &&
        index === node &&
        `i-${instance}` === id &&
        nowMs >= atMs &&
        nowMs < atMs + durationMs,
    );
    return lag ? lag.durationMs : 0;
  }

  private _startWriting(instance: SimulatedInstance): void {
    instance.recordChange();
    const write = () => {
      this.writeEntry(instance);
      if (!instance.hasEnded) this.schedule.after(ENTRY_INTERVAL_MS, write);
    };
    this.schedule.after(this._between(1, ENTRY_INTERVAL_MS), write);
    const check = () => {
      instance.checkGroup();
      this._reportStall(instance);
      if (!instance.hasEnded) this.schedule.after(CYCLE_MS, check);
    };
    this.schedule.after(this._between(1, CYCLE_MS), check);
  }

  /** Lets both nodes know that a group makes no progress, as requests to it show. */
  private _reportStall(instance: SimulatedInstance): void {
    const { group } = instance;
    if (!group || !instance.isHead || group.state !== 'open') return;
    if (!instance.isStalled && !instance.isSilent) return;
    for (const node of this._nodes) {
      if (node.list.get(instance.id)?.membership?.state === 'open') this._suspect(node, group);
    }
  }

  private _suspect(node: SimulatedNode, { name, epoch }: Group): void {
    for (const reporter of ['node-3', 'node-4'])
      node.checks.suspectGroup(groupId({ group: name, epoch }), reporter, this.schedule.nowMs);
  }

  private _startNode(node: SimulatedNode): void {
    const cycle = () => {
      this._readList(node);
      node.runCycle();
      this.schedule.after(CYCLE_MS, () => {
        node.run(cycle);
      });
    };
    this.schedule.after(this._between(1, CYCLE_MS), cycle);
    const ask = () => {
      node.askHeads();
      this.schedule.after(REFRESH_INTERVAL_MS, () => {
        node.run(ask);
      });
    };
    this.schedule.after(this._between(1, REFRESH_INTERVAL_MS), ask);
  }

  private _readList(node: SimulatedNode): void {
    const { nowMs } = this.schedule;
    const active = this._course.disruptions.filter(
      ({ node: index, atMs, durationMs }) =>
        index === node.index && nowMs >= atMs && nowMs < atMs + durationMs,
    );
    if (active.some(({ kind }) => kind === 'outage')) return;
    const listed = new Map<string, TargetInstance>();
    for (const [id, entries] of this._entries) {
      if (nowMs - (this._writtenAtMs.get(id) ?? 0) > ENTRY_EXPIRY_MS) continue;
      const isBack = active.some(({ kind, instance }) => kind === 'rollback' && `i-${instance}` === id);
      const newest = entries.findLastIndex(
        ({ readableAtMs }) => (readableAtMs[node.index] ?? Infinity) <= nowMs,
      );
      const entry = entries[isBack ? Math.max(0, newest - 2) : newest];
      if (entry) listed.set(id, entry.instance);
    }
    node.readList(listed);
  }

  private _disrupt({ kind, instance: index, durationMs }: Disruption): void {
    const instance = this.instances.get(`i-${index}`);
    if (!instance || instance.hasEnded) return;
    const untilMs = this.schedule.nowMs + durationMs;
    switch (kind) {
      case 'silence':
        instance.silentUntilMs = Math.max(instance.silentUntilMs, untilMs);
        return;
      case 'cut':
        instance.cutUntilMs = Math.max(instance.cutUntilMs, untilMs);
        return;
      case 'restart':
        instance.restart();
        return;
      case 'leave':
        instance.state = 'leaving';
        instance.recordChange();
        this.schedule.after(durationMs, () => {
          instance.hasEnded = true;
          this._writtenAtMs.set(instance.id, -Infinity);
        });
        return;
      case 'suspicion':
        for (const node of this._nodes) if (instance.group) this._suspect(node, instance.group);
        return;
      case 'lag':
      case 'rollback':
      case 'outage':
        return;
    }
  }
}
