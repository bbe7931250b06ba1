import {
  type ControlBody,
  controlDefinition,
  type GroupGuards,
  Groups,
  type InstanceStanding,
  type ReductionSnapshot,
  StreamReducer,
} from '@monsoonreach/core';
import type { Model } from './explore.js';

/** How engines of the explored fleet treat fencing numbers. */
export type EngineKind = 'checks' | 'ignores';

/** Guards of the product that a variant of the model removes. */
export interface GroupsVariant {
  readonly groups?: Partial<GroupGuards>;
  /** Releases without first raising the engine's fencing number above all older orders. */
  readonly skipsFence?: boolean;
  /** Orders an engine that ignores numbers without announcing it in the log. */
  readonly skipsIntent?: boolean;
}

/** What bounds an exploration. */
export interface GroupsBounds {
  readonly engines: EngineKind;
  readonly instances: number;
  /** Whether the space begins with a planner and released instances. */
  readonly isPrepared: boolean;
  readonly assigns: number;
  readonly leases: number;
  readonly restarts: number;
  /** Records under way at once; with two, one may be late. */
  readonly records: number;
  readonly darkened: number;
  /** Orders that are sent at most. */
  readonly orders: number;
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
  readonly isDark: boolean;
}

interface Order {
  readonly instance: number;
  readonly order: 'load' | 'stop';
  readonly group: string;
  readonly fencing: number;
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
  readonly assigns: number;
  readonly leases: number;
  readonly restarts: number;
  readonly darkened: number;
  readonly sent: number;
  /** Position and writer of the lease that was accepted last. */
  readonly lease: { readonly position: number; readonly writer: string };
  /** A fault seen in the step that led here. */
  readonly fault: string | null;
}

/** What may happen in the groups model. */
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
  | { readonly type: 'arrive'; readonly order: number }
  | { readonly type: 'lose'; readonly order: number }
  | { readonly type: 'darken'; readonly instance: number }
  | { readonly type: 'return'; readonly instance: number }
  | { readonly type: 'restart'; readonly instance: number };

type OrderEvent = Extract<GroupsEvent, { readonly type: 'order' }>;

/** Two stewards that race and are late, engines that go dark, come back or restart, and late orders. */
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
  const checks = bounds.engines === 'checks';

  function reducerOf(state: GroupsState) {
    return new StreamReducer(definition, state.reduction ?? undefined);
  }

  function apply(state: GroupsState, { writer, body }: PendingRecord): GroupsState {
    const reducer = reducerOf(state);
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
    // A rejected record changes nothing; leaving its number out keeps the space finite.
    if (!isAccepted) return state;
    const lease = body.kind === 'lease' ? { position, writer } : state.lease;
    const next = { ...state, position, sequence, lease, reduction: reducer.snapshot() };
    const planFault = findPlanFault(state, writer, body);
    return { ...next, fault: planFault ?? findFault(next, reducer.state) };
  }

  /** A record was accepted that a superseded planner wrote, or a lease that was not based on the last one. */
  function findPlanFault(state: GroupsState, writer: string, body: ControlBody): string | null {
    const isPlan = body.kind === 'assign' || body.kind === 'dissolve';
    if (isPlan && (state.lease.writer !== writer || state.lease.position !== body.lease))
      return 'superseded-plan';
    return body.kind === 'lease' && body.basis !== state.lease.position ? 'lost-lease' : null;
  }

  /** Looks for what must never be, in the log and in the engines. */
  function findFault(state: GroupsState, groups: Groups): string | null {
    const standing = groups.groups().filter(({ dissolvedAt }) => dissolvedAt === undefined);
    const members = standing.flatMap((group) => group.members.map(({ address }) => address));
    if (new Set(members).size !== members.length) return 'instance-in-two-groups';
    for (const [index, engine] of state.engines.entries()) {
      const own = groups.findInstance(toAddress(index));
      if (own?.kind === 'released' && own.boot === String(engine.boot) && engine.group !== null)
        return 'released-but-busy';
    }
    return null;
  }

  function arrive(state: GroupsState, index: number): GroupsState {
    const order = state.orders[index];
    const orders = state.orders.filter((_, at) => at !== index);
    const engine = order && state.engines[order.instance];
    if (!order || !engine || engine.isDark) return { ...state, orders };
    if (checks && order.fencing < engine.fencing) return { ...state, orders };
    const fencing = checks ? Math.max(engine.fencing, order.fencing) : 0;
    const changed =
      order.order === 'load'
        ? { ...engine, fencing, group: order.group, epoch: order.fencing }
        : { ...engine, fencing, group: null, epoch: 0 };
    const next = {
      ...state,
      orders,
      engines: state.engines.map((other, at) => (at === order.instance ? changed : other)),
    };
    return { ...next, fault: findFault(next, reducerOf(next).state) };
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
        return arrive(state, event.order);
      case 'lose':
        return { ...state, orders: state.orders.filter((_, index) => index !== event.order) };
      case 'darken':
        return { ...changeEngine(state, event.instance, { isDark: true }), darkened: state.darkened + 1 };
      case 'return':
        return changeEngine(state, event.instance, { isDark: false });
      case 'restart': {
        const boot = (state.engines[event.instance]?.boot ?? 0) + 1;
        const fresh = { boot, group: null, epoch: 0, fencing: 0 };
        return { ...changeEngine(state, event.instance, fresh), restarts: state.restarts + 1 };
      }
    }
  }

  /** An engine that ignores numbers gets only orders whose intent is in the log first. */
  function sendOrder(state: GroupsState, event: Extract<GroupsEvent, { type: 'order' }>): GroupsState {
    const { instance, order, group, fencing } = event;
    const orders = [...state.orders, { instance, order, group, fencing }];
    const sent = state.sent + 1;
    const needsIntent = !checks && variant.skipsIntent !== true;
    if (!needsIntent) return { ...state, orders, sent };
    const body: ControlBody = { kind: 'intent', address: toAddress(instance), order, group, epoch: fencing };
    return { ...apply(state, { writer: 's1', body }), orders, sent };
  }

  function events(state: GroupsState): readonly GroupsEvent[] {
    const groups = reducerOf(state).state;
    const possible: GroupsEvent[] = [];
    if (state.records.length < bounds.records) {
      for (const writer of STEWARDS) possible.push(...proposals(state, groups, writer));
    }
    for (const record of state.records.keys()) possible.push({ type: 'land', record });
    for (const order of state.orders.keys())
      possible.push({ type: 'arrive', order }, { type: 'lose', order });
    if (state.orders.length < MAX_ORDERS && state.sent < bounds.orders)
      possible.push(...ordersFor(state, groups));
    for (const [instance, engine] of state.engines.entries()) {
      if (!engine.isDark && state.darkened < bounds.darkened) possible.push({ type: 'darken', instance });
      if (engine.isDark) possible.push({ type: 'return', instance });
      if (state.restarts < bounds.restarts) possible.push({ type: 'restart', instance });
    }
    return possible;
  }

  function proposals(state: GroupsState, groups: Groups, writer: string): readonly GroupsEvent[] {
    const lease = groups.findLease(SHARD);
    const propose = (body: ControlBody): GroupsEvent => ({ type: 'propose', writer, body });
    const possible: GroupsEvent[] = [];
    const isHolder = lease?.holderId === `${writer}#1`;
    if (!isHolder && state.leases < bounds.leases) {
      possible.push(propose({ kind: 'lease', shard: SHARD, basis: lease?.position ?? 0 }));
    }
    if (isHolder) possible.push(...planProposals(state, groups, lease.position, propose));
    for (const instance of state.engines.keys()) {
      const body =
        writer === 's1' ? releaseOf(state, groups, instance) : hastyReleaseOf(state, groups, instance);
      if (body) possible.push(propose(body));
    }
    return possible;
  }

  function planProposals(
    state: GroupsState,
    groups: Groups,
    lease: number,
    propose: (body: ControlBody) => GroupsEvent,
  ): readonly GroupsEvent[] {
    const possible: GroupsEvent[] = [];
    const plan = { shard: SHARD, lease };
    const released = [...groups.instances()].filter(([, { kind }]) => kind === 'released');
    const members = released.slice(0, GROUP_SIZE).map(([address, { boot }]) => ({ address, boot }));
    if (members.length === GROUP_SIZE && state.assigns < bounds.assigns) {
      const group = `g${state.assigns}`;
      possible.push(
        propose({ kind: 'assign', ...plan, group, model: 'm', version: '1', fabricDomain: 'f', members }),
      );
    }
    for (const group of groups.groups()) {
      if (group.dissolvedAt !== undefined) continue;
      possible.push(
        propose({ kind: 'dissolve', ...plan, group: group.id, epoch: group.epoch, reason: 'test' }),
      );
    }
    return possible;
  }

  /** A release as the product makes it: read back idle, fenced, and with settled intents. */
  function releaseOf(state: GroupsState, groups: Groups, instance: number): ControlBody | undefined {
    const engine = state.engines[instance];
    const address = toAddress(instance);
    const standing = groups.findInstance(address);
    if (!engine || engine.isDark || engine.group !== null || standing?.kind === 'member') return undefined;
    if (standing?.kind === 'released' && standing.boot === String(engine.boot)) return undefined;
    if (checks && variant.skipsFence !== true && engine.fencing < (standing?.position ?? 0)) return undefined;
    const intents = groups.intentsOf(address);
    const isUnderWay = state.orders.some((order) => order.instance === instance);
    if (!checks && intents.length > 0 && isUnderWay) return undefined;
    const settled = intents.map(({ position }) => position);
    const identity = { address, boot: String(engine.boot) };
    return { kind: 'release', instance: identity, basis: standing?.position ?? 0, settled };
  }

  /** A steward that does not wait for orders under way: the log must refuse it. */
  function hastyReleaseOf(state: GroupsState, groups: Groups, instance: number): ControlBody | undefined {
    const body = checks ? undefined : releaseOf({ ...state, orders: [] }, groups, instance);
    const hasIntents = groups.intentsOf(toAddress(instance)).length > 0;
    return body?.kind === 'release' && hasIntents ? { ...body, settled: [] } : undefined;
  }

  function ordersFor(state: GroupsState, groups: Groups): readonly OrderEvent[] {
    return state.engines.flatMap((engine, instance): readonly OrderEvent[] => {
      const standing = groups.findInstance(toAddress(instance));
      const order = standing && orderFor(groups, standing, engine, instance);
      const isRepeated = state.orders.some(
        (other) => order && other.instance === instance && other.order === order.order,
      );
      return order && !isRepeated ? [order] : [];
    });
  }

  function orderFor(
    groups: Groups,
    standing: InstanceStanding,
    engine: Engine,
    instance: number,
  ): OrderEvent | undefined {
    if (standing.kind === 'member' && engine.group === null && standing.boot === String(engine.boot)) {
      const epoch = groups.findGroup(standing.group)?.epoch ?? 0;
      return { type: 'order', instance, order: 'load', group: standing.group, fencing: epoch };
    }
    const needsStop = engine.group !== null || (checks && engine.fencing < standing.position);
    if (standing.kind === 'stopping' && needsStop) {
      const { dissolvedAt = 0 } = groups.findGroup(standing.group) ?? {};
      return { type: 'order', instance, order: 'stop', group: standing.group, fencing: dissolvedAt };
    }
    if (standing.kind === 'released' && standing.boot !== String(engine.boot) && checks && needsStop) {
      return { type: 'order', instance, order: 'stop', group: '', fencing: standing.position };
    }
    return undefined;
  }

  const engine: Engine = { boot: 1, group: null, epoch: 0, fencing: 0, isDark: false };
  const start: GroupsState = {
    reduction: null,
    position: 0,
    sequence: 0,
    records: [],
    orders: [],
    engines: Array.from({ length: bounds.instances }, () => engine),
    assigns: 0,
    leases: 0,
    restarts: 0,
    darkened: 0,
    sent: 0,
    lease: { position: 0, writer: '' },
    fault: null,
  };

  /** Begins with the first steward as planner and, where bounds say so, all instances released. */
  function prepare(): GroupsState {
    if (!bounds.isPrepared) return start;
    const leased = apply(start, { writer: 's1', body: { kind: 'lease', shard: SHARD, basis: 0 } });
    return [...start.engines.keys()].reduce((state, instance) => {
      const identity = { address: toAddress(instance), boot: '1' };
      return apply(state, {
        writer: 's1',
        body: { kind: 'release', instance: identity, basis: 0, settled: [] },
      });
    }, leased);
  }

  return {
    name: `groups, engines that ${bounds.engines === 'checks' ? 'check' : 'ignore'} fencing numbers`,
    bounds: `2 stewards, ${bounds.instances} instances, ${bounds.assigns} groups of ${GROUP_SIZE}, ${bounds.leases} leases, ${bounds.records} records and ${MAX_ORDERS} orders under way of ${bounds.orders}, ${bounds.darkened} dark instances, ${bounds.restarts} restarts`,
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
