import {
  type ControlBody,
  controlDefinition,
  type GroupGuards,
  Groups,
  type InstanceAssignment,
  type ReductionSnapshot,
  StreamReducer,
} from '@monsoonreach/core';
import type { Model } from './explore.js';

/** Whether engines check or ignore fencing tokens. */
export type EngineKind = 'checks' | 'ignores';

/** Guards of the production code that a variant of the model removes. */
export interface GroupsVariant {
  readonly groups?: Partial<GroupGuards>;
  /** Releases without first raising the engine's fencing token above all older orders. */
  readonly skipsFencing?: boolean;
  /** Sends orders to engines that ignore fencing tokens without first writing an intent to the log. */
  readonly skipsIntent?: boolean;
  /** Releases by a probe that was sent before the outcome of an order was recorded. */
  readonly ignoresOutcomes?: boolean;
  /** Takes intents for settled once no order is under way, whenever the last probe was sent. */
  readonly settlesByClock?: boolean;
}

/** Bounds of the explored state space. */
export interface GroupsBounds {
  readonly engines: EngineKind;
  readonly instances: number;
  /** Whether the initial state has a planner and released instances. */
  readonly isPrepared: boolean;
  readonly assigns: number;
  readonly leases: number;
  readonly restarts: number;
  /** Records in flight at once; with two, one may land late. */
  readonly records: number;
  readonly disconnections: number;
  /** Maximum number of orders sent. */
  readonly orders: number;
  /** Whether releases rest on earlier probes, and answered orders are recorded; else on the present state. */
  readonly probes?: boolean;
}

const GROUP_SIZE = 2;
const MAX_ORDERS = 2;
const SHARD = 'fabric';
const STEWARDS = ['s1', 's2'] as const;

interface Engine {
  readonly boot: number;
  readonly group: string | null;
  readonly epoch: number;
  readonly fencing: number;
  readonly isDisconnected: boolean;
}

interface Order {
  readonly instance: number;
  readonly order: 'load' | 'stop';
  readonly group: string;
  readonly fencing: number;
  /** Position of its intent; absent if there is none. */
  readonly intent?: number;
}

/** The last probe of an instance, as the steward that releases it knows it. */
interface Probe {
  readonly boot: number;
  readonly isIdle: boolean;
  readonly fencing: number;
  readonly basis: number;
  readonly openIntents: readonly number[];
  /** Whether no order was under way to the instance, which the steward knows by waiting. */
  readonly isQuiet: boolean;
}

interface PendingRecord {
  readonly writer: string;
  readonly body: ControlBody;
}

/** State of the groups model. */
export interface GroupsState {
  readonly reduction: ReductionSnapshot | null;
  readonly position: number;
  readonly sequence: number;
  readonly records: readonly PendingRecord[];
  readonly orders: readonly Order[];
  readonly engines: readonly Engine[];
  readonly probes: readonly (Probe | null)[];
  readonly assigns: number;
  readonly leases: number;
  readonly restarts: number;
  readonly disconnections: number;
  readonly sent: number;
  /** Position and writer of the last accepted lease. */
  readonly lease: { readonly position: number; readonly writer: string };
  /** Violation that the last event caused. */
  readonly fault: string | null;
}

/** Events of the groups model. */
export type GroupsEvent =
  | { readonly type: 'propose'; readonly writer: string; readonly body: ControlBody }
  | { readonly type: 'land'; readonly record: number }
  | {
      readonly type: 'order';
      readonly instance: number;
      readonly order: 'load' | 'stop';
      readonly group: string;
      readonly fencing: number;
    }
  | { readonly type: 'arrive'; readonly order: number; readonly isAnswered: boolean }
  | { readonly type: 'probe'; readonly instance: number }
  | { readonly type: 'lose'; readonly order: number }
  | { readonly type: 'disconnect'; readonly instance: number }
  | { readonly type: 'reconnect'; readonly instance: number }
  | { readonly type: 'restart'; readonly instance: number };

type OrderEvent = Extract<GroupsEvent, { readonly type: 'order' }>;

/** Two concurrent stewards with late records, engines that disconnect, reconnect or restart, and late orders. */
export function groupsModel(
  bounds: GroupsBounds,
  variant: GroupsVariant = {},
): Model<GroupsState, GroupsEvent> {
  const guards: GroupGuards = {
    assignNeedsReleased: true,
    planNeedsLease: true,
    releaseNeedsBasis: true,
    releaseNeedsSettled: true,
    leaseNeedsBasis: true,
    ...variant.groups,
  };
  const definition = {
    ...controlDefinition,
    create: () => new Groups(undefined, guards),
    restore: (snapshot: unknown) => new Groups(snapshot as ConstructorParameters<typeof Groups>[0], guards),
  };
  const checksFencing = bounds.engines === 'checks';

  function createReducer(state: GroupsState) {
    return new StreamReducer(definition, state.reduction ?? undefined);
  }

  function apply(state: GroupsState, { writer, body }: PendingRecord): GroupsState {
    const reducer = createReducer(state);
    const position = state.position + 1;
    const sequence = state.sequence + 1;
    const verdict = reducer.apply(position, {
      format: 1,
      writer: { address: writer, incarnation: '1' },
      sequence,
      writtenAtMs: 0,
      body,
    });
    const isAccepted = verdict.kind === 'accepted';
    // A rejected record changes no state; not counting its sequence number keeps the state space finite.
    if (!isAccepted) return state;
    const lease = body.kind === 'lease' ? { position, writer } : state.lease;
    const next = { ...state, position, sequence, lease, reduction: reducer.snapshot() };
    const planFault = findPlanFault(state, writer, body);
    return { ...next, fault: planFault ?? findFault(next, reducer.state) };
  }

  /** Detects an accepted plan of a superseded planner, or an accepted lease that is not based on the last one. */
  function findPlanFault(state: GroupsState, writer: string, body: ControlBody): string | null {
    const isPlan = body.kind === 'assign' || body.kind === 'dissolve';
    if (isPlan && (state.lease.writer !== writer || state.lease.position !== body.lease))
      return 'superseded-plan';
    return body.kind === 'lease' && body.basis !== state.lease.position ? 'lost-lease' : null;
  }

  /** Detects an instance in two groups, and an instance that is released in the log while it still holds a group. */
  function findFault(state: GroupsState, groups: Groups): string | null {
    const activeGroups = groups.groups().filter(({ dissolvedAt }) => dissolvedAt === undefined);
    const members = activeGroups.flatMap((group) => group.members.map(({ address }) => address));
    if (new Set(members).size !== members.length) return 'instance-in-two-groups';
    for (const [index, engine] of state.engines.entries()) {
      const assignment = groups.findInstance(toAddress(index));
      if (assignment?.kind === 'released' && assignment.boot === String(engine.boot) && engine.group !== null)
        return 'released-but-busy';
    }
    return null;
  }

  /** An order arrives; the outcome of an answered one is recorded at once. */
  function arrive(state: GroupsState, index: number, isAnswered: boolean): GroupsState {
    const order = state.orders[index];
    const orders = state.orders.filter((_, at) => at !== index);
    const engine = order && state.engines[order.instance];
    if (!order || !engine || engine.isDisconnected) return { ...state, orders };
    if (checksFencing && order.fencing < engine.fencing) return { ...state, orders };
    const fencing = checksFencing ? Math.max(engine.fencing, order.fencing) : 0;
    const changed =
      order.order === 'load'
        ? { ...engine, fencing, group: order.group, epoch: order.fencing }
        : { ...engine, fencing, group: null, epoch: 0 };
    const next = {
      ...state,
      orders,
      engines: state.engines.map((other, at) => (at === order.instance ? changed : other)),
    };
    const arrived = { ...next, fault: findFault(next, createReducer(next).state) };
    if (!isAnswered || order.intent === undefined || arrived.fault !== null) return arrived;
    const body: ControlBody = {
      kind: 'outcome',
      address: toAddress(order.instance),
      intent: order.intent,
    };
    return apply(arrived, { writer: 's2', body });
  }

  function probe(state: GroupsState, instance: number): Probe | null {
    const engine = state.engines[instance];
    if (!engine || engine.isDisconnected) return null;
    const { state: groups } = createReducer(state);
    const address = toAddress(instance);
    return {
      boot: engine.boot,
      isIdle: engine.group === null,
      fencing: engine.fencing,
      basis: groups.findInstance(address)?.position ?? 0,
      openIntents: groups.intentsOf(address).map(({ position }) => position),
      isQuiet: isQuiet(state, instance),
    };
  }

  function isQuiet(state: GroupsState, instance: number): boolean {
    return !state.orders.some((order) => order.instance === instance);
  }

  function changeEngine(state: GroupsState, instance: number, change: Partial<Engine>): GroupsState {
    const engines = state.engines.map((engine, index) =>
      index === instance ? { ...engine, ...change } : engine,
    );
    return { ...state, engines };
  }

  function next(state: GroupsState, event: GroupsEvent): GroupsState {
    switch (event.type) {
      case 'propose': {
        const record = { writer: event.writer, body: event.body };
        const assigns = state.assigns + (event.body.kind === 'assign' ? 1 : 0);
        const leases = state.leases + (event.body.kind === 'lease' ? 1 : 0);
        return { ...state, assigns, leases, records: [...state.records, record] };
      }
      case 'land': {
        const record = state.records[event.record];
        const records = state.records.filter((_, index) => index !== event.record);
        return record ? apply({ ...state, records }, record) : state;
      }
      case 'order':
        return sendOrder(state, event);
      case 'arrive':
        return arrive(state, event.order, event.isAnswered);
      case 'probe': {
        const latest = probe(state, event.instance);
        const probes = state.probes.map((other, index) => (index === event.instance ? latest : other));
        return { ...state, probes };
      }
      case 'lose':
        return { ...state, orders: state.orders.filter((_, index) => index !== event.order) };
      case 'disconnect':
        return {
          ...changeEngine(state, event.instance, { isDisconnected: true }),
          disconnections: state.disconnections + 1,
        };
      case 'reconnect':
        return changeEngine(state, event.instance, { isDisconnected: false });
      case 'restart': {
        const boot = (state.engines[event.instance]?.boot ?? 0) + 1;
        const fresh = { boot, group: null, epoch: 0, fencing: 0 };
        return { ...changeEngine(state, event.instance, fresh), restarts: state.restarts + 1 };
      }
    }
  }

  /** Sends an order; for engines that ignore fencing tokens, its intent is written to the log first. */
  function sendOrder(state: GroupsState, event: Extract<GroupsEvent, { type: 'order' }>): GroupsState {
    const { instance, order, group, fencing } = event;
    const orders = [...state.orders, { instance, order, group, fencing }];
    const sent = state.sent + 1;
    const needsIntent = !checksFencing && variant.skipsIntent !== true;
    if (!needsIntent) return { ...state, orders, sent };
    const body: ControlBody = { kind: 'intent', address: toAddress(instance), order, group, epoch: fencing };
    const announced = apply(state, { writer: 's1', body });
    const intent = announced.position;
    return { ...announced, orders: [...state.orders, { instance, order, group, fencing, intent }], sent };
  }

  function events(state: GroupsState): readonly GroupsEvent[] {
    const groups = createReducer(state).state;
    const enabled: GroupsEvent[] = [];
    if (state.records.length < bounds.records) {
      for (const writer of STEWARDS) enabled.push(...proposals(state, groups, writer));
    }
    for (const record of state.records.keys()) enabled.push({ type: 'land', record });
    for (const order of state.orders.keys()) {
      enabled.push({ type: 'arrive', order, isAnswered: false }, { type: 'lose', order });
      if (bounds.probes === true) enabled.push({ type: 'arrive', order, isAnswered: true });
    }
    if (bounds.probes === true) {
      for (const instance of state.engines.keys()) {
        const latest = probe(state, instance);
        const isNews = JSON.stringify(latest) !== JSON.stringify(state.probes[instance]);
        if (latest?.isIdle === true && isNews) enabled.push({ type: 'probe', instance });
      }
    }
    if (state.orders.length < MAX_ORDERS && state.sent < bounds.orders)
      enabled.push(...ordersFor(state, groups));
    for (const [instance, engine] of state.engines.entries()) {
      if (!engine.isDisconnected && state.disconnections < bounds.disconnections)
        enabled.push({ type: 'disconnect', instance });
      if (engine.isDisconnected) enabled.push({ type: 'reconnect', instance });
      if (state.restarts < bounds.restarts) enabled.push({ type: 'restart', instance });
    }
    return enabled;
  }

  function proposals(state: GroupsState, groups: Groups, writer: string): readonly GroupsEvent[] {
    const lease = groups.findLease(SHARD);
    const propose = (body: ControlBody): GroupsEvent => ({ type: 'propose', writer, body });
    const enabled: GroupsEvent[] = [];
    const isHolder = lease?.holderId === `${writer}#1`;
    if (!isHolder && state.leases < bounds.leases) {
      enabled.push(propose({ kind: 'lease', shard: SHARD, basis: lease?.position ?? 0 }));
    }
    if (isHolder) enabled.push(...planProposals(state, groups, lease.position, propose));
    for (const instance of state.engines.keys()) {
      const body =
        writer === 's1' ? releaseOf(state, groups, instance) : prematureReleaseOf(state, groups, instance);
      if (body) enabled.push(propose(body));
    }
    return enabled;
  }

  function planProposals(
    state: GroupsState,
    groups: Groups,
    lease: number,
    propose: (body: ControlBody) => GroupsEvent,
  ): readonly GroupsEvent[] {
    const enabled: GroupsEvent[] = [];
    const plan = { shard: SHARD, lease };
    const released = [...groups.instances()].filter(([, { kind }]) => kind === 'released');
    const members = released.slice(0, GROUP_SIZE).map(([address, { boot }]) => ({ address, boot }));
    if (members.length === GROUP_SIZE && state.assigns < bounds.assigns) {
      const group = `g${state.assigns}`;
      enabled.push(
        propose({ kind: 'assign', ...plan, group, model: 'm', version: '1', fabricDomain: 'f', members }),
      );
    }
    for (const group of groups.groups()) {
      if (group.dissolvedAt !== undefined) continue;
      enabled.push(
        propose({ kind: 'dissolve', ...plan, group: group.id, epoch: group.epoch, reason: 'test' }),
      );
    }
    return enabled;
  }

  /** The release that the production code writes: the engine is idle and fenced, and its intents are settled. */
  function releaseOf(state: GroupsState, groups: Groups, instance: number): ControlBody | undefined {
    if (bounds.probes === true) return releaseByProbe(state, groups, instance);
    const engine = state.engines[instance];
    const address = toAddress(instance);
    const assignment = groups.findInstance(address);
    if (!engine || engine.isDisconnected || engine.group !== null || assignment?.kind === 'member')
      return undefined;
    if (assignment?.kind === 'released' && assignment.boot === String(engine.boot)) return undefined;
    if (checksFencing && variant.skipsFencing !== true && engine.fencing < (assignment?.position ?? 0))
      return undefined;
    const intents = groups.intentsOf(address);
    const isInFlight = state.orders.some((order) => order.instance === instance);
    if (!checksFencing && intents.length > 0 && isInFlight) return undefined;
    const settled = intents.map(({ position }) => position);
    const identity = { address, boot: String(engine.boot) };
    return { kind: 'release', instance: identity, basis: assignment?.position ?? 0, settled };
  }

  /** As `releaseOf`, by the last probe, which may be older than the engine's state and the log. */
  function releaseByProbe(state: GroupsState, groups: Groups, instance: number): ControlBody | undefined {
    const seen = state.probes[instance];
    const address = toAddress(instance);
    const assignment = groups.findInstance(address);
    if (seen?.isIdle !== true || assignment?.kind === 'member') return undefined;
    if (assignment?.kind === 'released' && assignment.boot === String(seen.boot)) return undefined;
    if (checksFencing && seen.fencing < (assignment?.position ?? 0)) return undefined;
    const settled = groups.intentsOf(address).map(({ position }) => position);
    if (variant.ignoresOutcomes !== true && !seen.openIntents.every((intent) => settled.includes(intent)))
      return undefined;
    const isSettled =
      variant.settlesByClock === true
        ? isQuiet(state, instance)
        : seen.isQuiet && settled.every((intent) => seen.openIntents.includes(intent));
    if (settled.length > 0 && !isSettled) return undefined;
    const identity = { address, boot: String(seen.boot) };
    return { kind: 'release', instance: identity, basis: seen.basis, settled };
  }

  /** The release of a steward that does not wait for orders in flight; the log must reject it. */
  function prematureReleaseOf(state: GroupsState, groups: Groups, instance: number): ControlBody | undefined {
    if (checksFencing || variant.settlesByClock === true) return undefined;
    const body = releaseOf({ ...state, orders: [] }, groups, instance);
    const hasIntents = groups.intentsOf(toAddress(instance)).length > 0;
    return body?.kind === 'release' && hasIntents ? { ...body, settled: [] } : undefined;
  }

  function ordersFor(state: GroupsState, groups: Groups): readonly OrderEvent[] {
    return state.engines.flatMap((engine, instance): readonly OrderEvent[] => {
      const assignment = groups.findInstance(toAddress(instance));
      const order = assignment && orderFor(groups, assignment, engine, instance);
      const isRepeated = state.orders.some(
        (other) => order && other.instance === instance && other.order === order.order,
      );
      return order && !isRepeated ? [order] : [];
    });
  }

  function orderFor(
    groups: Groups,
    assignment: InstanceAssignment,
    engine: Engine,
    instance: number,
  ): OrderEvent | undefined {
    if (assignment.kind === 'member' && engine.group === null && assignment.boot === String(engine.boot)) {
      const epoch = groups.findGroup(assignment.group)?.epoch ?? 0;
      return { type: 'order', instance, order: 'load', group: assignment.group, fencing: epoch };
    }
    const needsStop = engine.group !== null || (checksFencing && engine.fencing < assignment.position);
    if (assignment.kind === 'stopping' && needsStop) {
      const { dissolvedAt = 0 } = groups.findGroup(assignment.group) ?? {};
      return { type: 'order', instance, order: 'stop', group: assignment.group, fencing: dissolvedAt };
    }
    if (
      assignment.kind === 'released' &&
      assignment.boot !== String(engine.boot) &&
      checksFencing &&
      needsStop
    ) {
      return { type: 'order', instance, order: 'stop', group: '', fencing: assignment.position };
    }
    return undefined;
  }

  const engine: Engine = { boot: 1, group: null, epoch: 0, fencing: 0, isDisconnected: false };
  const emptyState: GroupsState = {
    reduction: null,
    position: 0,
    sequence: 0,
    records: [],
    orders: [],
    engines: Array.from({ length: bounds.instances }, () => engine),
    probes: Array.from({ length: bounds.instances }, () => null),
    assigns: 0,
    leases: 0,
    restarts: 0,
    disconnections: 0,
    sent: 0,
    lease: { position: 0, writer: '' },
    fault: null,
  };

  /** Initial state; when `isPrepared`, the first steward is planner and all instances are released. */
  function prepare(): GroupsState {
    if (!bounds.isPrepared) return emptyState;
    const leased = apply(emptyState, { writer: 's1', body: { kind: 'lease', shard: SHARD, basis: 0 } });
    return [...emptyState.engines.keys()].reduce((state, instance) => {
      const identity = { address: toAddress(instance), boot: '1' };
      return apply(state, {
        writer: 's1',
        body: { kind: 'release', instance: identity, basis: 0, settled: [] },
      });
    }, leased);
  }

  return {
    name: `groups, engines that ${bounds.engines === 'checks' ? 'check' : 'ignore'} fencing tokens`,
    bounds: `stewards: 2, instances: ${bounds.instances}, groups: ${bounds.assigns} (of ${GROUP_SIZE} instances), leases: ${bounds.leases}, records in flight: ${bounds.records}, orders in flight: ${MAX_ORDERS}, orders in all: ${bounds.orders}, disconnections: ${bounds.disconnections}, restarts: ${bounds.restarts}, releases by ${bounds.probes === true ? 'earlier probes' : 'the present state'}`,
    initial: prepare(),
    events,
    next,
    invariants: [
      { name: 'no instance in two groups', holds: ({ fault }) => fault !== 'instance-in-two-groups' },
      { name: 'a superseded planner changes nothing', holds: ({ fault }) => fault !== 'superseded-plan' },
      { name: 'a lease is taken over from the last one', holds: ({ fault }) => fault !== 'lost-lease' },
      {
        name: 'an instance released in the log holds no group',
        holds: ({ fault }) => fault !== 'released-but-busy',
      },
    ],
  };
}

function toAddress(instance: number): string {
  return `i${instance}`;
}
