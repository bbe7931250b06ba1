import { fromTransition } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A property that must hold in every state. */
export interface Invariant<State> {
  readonly name: string;
  readonly holds: (state: State) => boolean;
}

/** A bounded protocol: its states, what may happen in each, and what must always hold. */
export interface Model<State, Event extends { readonly type: string }> {
  readonly name: string;
  /** What bounds the space, in words. */
  readonly bounds: string;
  readonly initial: State;
  readonly events: (state: State) => readonly Event[];
  readonly next: (state: State, event: Event) => State;
  readonly invariants: readonly Invariant<State>[];
}

/** The shortest way to a state in which an invariant does not hold. */
export interface Counterexample {
  readonly invariant: string;
  readonly trace: readonly string[];
}

/** What an exploration has found. */
export interface Exploration {
  readonly name: string;
  readonly states: number;
  readonly transitions: number;
  readonly depth: number;
  readonly counterexample: Counterexample | undefined;
}

interface Edge {
  readonly event: { readonly type: string };
  readonly to: string;
}

type Adjacency<State, Event> = Readonly<
  Record<
    string,
    {
      readonly state: { readonly context: State };
      readonly transitions: Readonly<
        Record<string, { readonly event: Event; readonly state: { readonly context: State } }>
      >;
    }
  >
>;

/** Explores the whole bounded space with the graph tools of xstate; stops below a violation. */
export function explore<State, Event extends { readonly type: string }>(
  model: Model<State, Event>,
): Exploration {
  const violated = (state: State) => model.invariants.find(({ holds }) => !holds(state))?.name;
  const logic = fromTransition<State, Event, never, never>(
    (state, event) => model.next(state, event),
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    events: (snapshot) => model.events(snapshot.context),
    stopWhen: (snapshot) => violated(snapshot.context) !== undefined,
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
    serializeEvent: (event) => JSON.stringify(event),
  });
  const edges = new Map<string, readonly Edge[]>();
  const violations = new Map<string, string>();
  for (const [key, { state, transitions }] of Object.entries(map as unknown as Adjacency<State, Event>)) {
    const name = violated(state.context);
    if (name !== undefined) violations.set(key, name);
    const outgoing = Object.values(transitions).map(({ event, state: to }) => ({
      event,
      to: JSON.stringify(to.context),
    }));
    edges.set(key, name === undefined ? outgoing : []);
  }
  return search(model.name, JSON.stringify(model.initial), edges, violations);
}

/** Breadth first from the initial state: depth, and the shortest way to a violation. */
function search(
  name: string,
  initial: string,
  edges: ReadonlyMap<string, readonly Edge[]>,
  violations: ReadonlyMap<string, string>,
): Exploration {
  const cameFrom = new Map<string, { readonly key: string; readonly event: string } | undefined>([
    [initial, undefined],
  ]);
  let frontier = [initial];
  let depth = 0;
  let transitions = 0;
  let found: string | undefined;
  for (; frontier.length > 0; depth++) {
    found ??= frontier.find((key) => violations.has(key));
    const next: string[] = [];
    for (const key of frontier) {
      for (const { event, to } of edges.get(key) ?? []) {
        transitions++;
        if (cameFrom.has(to)) continue;
        cameFrom.set(to, { key, event: describe(event) });
        next.push(to);
      }
    }
    frontier = next;
  }
  const counterexample =
    found === undefined
      ? undefined
      : { invariant: violations.get(found) ?? '', trace: traceTo(found, cameFrom) };
  return { name, states: cameFrom.size, transitions, depth: depth - 1, counterexample };
}

function traceTo(
  key: string,
  cameFrom: ReadonlyMap<string, { readonly key: string; readonly event: string } | undefined>,
): readonly string[] {
  const trace: string[] = [];
  for (let step = cameFrom.get(key); step; step = cameFrom.get(step.key)) trace.unshift(step.event);
  return trace;
}

function describe(event: { readonly type: string }): string {
  const { type, ...details } = event;
  const values = Object.values(details).map((value) =>
    typeof value === 'object' ? JSON.stringify(value) : String(value),
  );
  return values.length === 0 ? type : `${type}(${values.join(', ')})`;
}
