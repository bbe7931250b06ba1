import { fromTransition } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** A property that must hold in every state. */
export interface Invariant<State> {
  readonly name: string;
  readonly holds: (state: State) => boolean;
}

/** A bounded protocol: its initial state, the events enabled in each state, and its invariants. */
export interface Model<State, Event extends { readonly type: string }> {
  readonly name: string;
  /** Bounds of the state space, as text for reports. */
  readonly bounds: string;
  readonly initial: State;
  readonly events: (state: State) => readonly Event[];
  readonly next: (state: State, event: Event) => State;
  readonly invariants: readonly Invariant<State>[];
}

/** The shortest trace to a state that violates an invariant. */
export interface Counterexample {
  readonly invariant: string;
  readonly trace: readonly string[];
}

/** Size of the explored state space, and the counterexample if there is one. */
export interface ExplorationResult {
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

/** Explores the whole bounded state space with xstate; states that violate an invariant are not expanded. */
export function explore<State, Event extends { readonly type: string }>(
  model: Model<State, Event>,
): ExplorationResult {
  const findViolated = (state: State) => model.invariants.find(({ holds }) => !holds(state))?.name;
  const logic = fromTransition<State, Event, never, never>(
    (state, event) => model.next(state, event),
    model.initial,
  );
  const map = getAdjacencyMap(logic, {
    events: (snapshot) => model.events(snapshot.context),
    stopWhen: (snapshot) => findViolated(snapshot.context) !== undefined,
    serializeState: (snapshot) => JSON.stringify(snapshot.context),
    serializeEvent: (event) => JSON.stringify(event),
  });
  const edges = new Map<string, readonly Edge[]>();
  const violations = new Map<string, string>();
  for (const [key, { state, transitions }] of Object.entries(map as unknown as Adjacency<State, Event>)) {
    const name = findViolated(state.context);
    if (name !== undefined) violations.set(key, name);
    const outgoing = Object.values(transitions).map(({ event, state: to }) => ({
      event,
      to: JSON.stringify(to.context),
    }));
    edges.set(key, name === undefined ? outgoing : []);
  }
  return search(model.name, JSON.stringify(model.initial), edges, violations);
}

/** Searches breadth first from the initial state for the depth and the shortest trace to a violation. */
function search(
  name: string,
  initial: string,
  edges: ReadonlyMap<string, readonly Edge[]>,
  violations: ReadonlyMap<string, string>,
): ExplorationResult {
  const predecessors = new Map<string, { readonly key: string; readonly event: string } | undefined>([
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
        if (predecessors.has(to)) continue;
        predecessors.set(to, { key, event: formatEvent(event) });
        next.push(to);
      }
    }
    frontier = next;
  }
  const counterexample =
    found === undefined
      ? undefined
      : { invariant: violations.get(found) ?? '', trace: traceTo(found, predecessors) };
  return { name, states: predecessors.size, transitions, depth: depth - 1, counterexample };
}

function traceTo(
  key: string,
  predecessors: ReadonlyMap<string, { readonly key: string; readonly event: string } | undefined>,
): readonly string[] {
  const trace: string[] = [];
  for (let step = predecessors.get(key); step; step = predecessors.get(step.key)) trace.unshift(step.event);
  return trace;
}

function formatEvent(event: { readonly type: string }): string {
  const { type, ...details } = event;
  const values = Object.values(details).map((value) =>
    typeof value === 'object' ? JSON.stringify(value) : String(value),
  );
  return values.length === 0 ? type : `${type}(${values.join(', ')})`;
}
