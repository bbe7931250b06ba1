import {
  type ConfigurationGuards,
  CurrentConfiguration,
  configurationDefinition,
  checkFreshness,
  LOG_CONTACT_LIMIT_MS,
  type ReductionSnapshot,
  StreamReducer,
} from '@monsoonreach/core';
import type { Model } from './explore.js';

/** Guards of the production code that a variant of the model removes. */
export interface ConfigurationVariant {
  readonly history?: Partial<ConfigurationGuards>;
  /** Nodes serve with any configuration, without checking its freshness. */
  readonly skipsFreshness?: boolean;
  /** Nodes apply configurations in any order. */
  readonly appliesOutOfOrder?: boolean;
}

interface Publication {
  readonly operator: string;
  readonly sequence: number;
  readonly basis: number;
}

interface Node {
  /** Log position of the configuration in force; 0 for none. */
  readonly position: number;
  readonly reachesLog: boolean;
  /** Whether the log answered within LOG_CONTACT_LIMIT_MS. */
  readonly hasContact: boolean;
  readonly reachesPeers: boolean;
}

/** State of the configuration model. */
export interface ConfigurationState {
  readonly reduction: ReductionSnapshot | null;
  readonly log: readonly number[];
  readonly landed: number;
  readonly isLogUp: boolean;
  readonly outages: number;
  readonly cuts: number;
  readonly pending: readonly Publication[];
  readonly published: Readonly<Record<string, number>>;
  readonly nodes: readonly Node[];
  readonly fault: string | null;
}

/** Events of the configuration model. */
export type ConfigurationEvent =
  | { readonly type: 'publish'; readonly operator: string }
  | { readonly type: 'land'; readonly publication: number; readonly isAgain: boolean }
  | { readonly type: 'read'; readonly node: number; readonly position: number }
  | { readonly type: 'loseContact'; readonly node: number }
  | { readonly type: 'cutLog'; readonly node: number }
  | { readonly type: 'cutPeers'; readonly node: number }
  | { readonly type: 'outage' }
  | { readonly type: 'recover' }
  | { readonly type: 'replace'; readonly node: number };

const NODES = 3;
const OPERATORS = ['o1', 'o2'] as const;
const NEW_NODE: Node = { position: 0, reachesLog: true, hasContact: false, reachesPeers: true };

/** Bounds of the explored state space. */
export interface ConfigurationBounds {
  /** Number of publications of each operator. */
  readonly publications: number;
  /** Number of nodes disconnected from the log, disconnected from their peers, or replaced. */
  readonly cuts: number;
}

/** Two operators that publish concurrently, three nodes that lose connections or are replaced, and a log outage. */
export function configurationModel(
  bounds: ConfigurationBounds,
  variant: ConfigurationVariant = {},
): Model<ConfigurationState, ConfigurationEvent> {
  const guards: ConfigurationGuards = { publishNeedsBasis: true, ...variant.history };
  const definition = {
    ...configurationDefinition,
    create: () => new CurrentConfiguration(undefined, guards),
    restore: (snapshot: unknown) =>
      new CurrentConfiguration(
        (snapshot as ConstructorParameters<typeof CurrentConfiguration>[0] | null) ?? undefined,
        guards,
      ),
  };

  function currentOf(state: ConfigurationState): number {
    return state.log.at(-1) ?? 0;
  }

  function land(state: ConfigurationState, index: number, isAgain: boolean): ConfigurationState {
    const publication = state.pending[index];
    if (!publication) return state;
    const { operator, sequence, basis } = publication;
    const reducer = new StreamReducer(definition, state.reduction ?? undefined);
    const position = state.landed + 1;
    const verdict = reducer.apply(position, {
      format: 1,
      writer: { address: operator, incarnation: '1' },
      sequence,
      writtenAtMs: 0,
      body: { kind: 'publish', basis, text: operator },
    });
    const pending = isAgain ? state.pending : state.pending.filter((_, at) => at !== index);
    const isAccepted = verdict.kind === 'accepted';
    const isRace = isAccepted && basis !== currentOf(state);
    const log = isAccepted ? [...state.log, position] : state.log;
    const fault = isRace ? 'publication-over-an-unseen-one' : state.fault;
    return { ...state, pending, log, landed: position, fault, reduction: reducer.snapshot() };
  }

  function setNode(state: ConfigurationState, index: number, change: Partial<Node>): ConfigurationState {
    const nodes = state.nodes.map((node, at) => (at === index ? { ...node, ...change } : node));
    const before = state.nodes[index]?.position ?? 0;
    const isReverted = change.position !== undefined && change.position < before;
    nodes.sort((a, b) => (JSON.stringify(a) < JSON.stringify(b) ? -1 : 1));
    return { ...state, nodes, fault: isReverted ? 'node-went-back' : state.fault };
  }

  function isServing(state: ConfigurationState, index: number): boolean {
    const node = state.nodes[index];
    if (!node) return false;
    if (variant.skipsFreshness === true) return true;
    const peers = state.nodes.filter((peer, at) => at !== index && node.reachesPeers && peer.reachesPeers);
    const freshness = checkFreshness({
      ownConfiguration: node.position,
      logContactAgeMs: node.hasContact ? 0 : LOG_CONTACT_LIMIT_MS + 1,
      peerConfigurations: peers.map(({ position }) => position),
      fleetSize: NODES,
    });
    return freshness.kind === 'fresh';
  }

  /** Whether a node serves without a configuration, or without contact to both the log and its peers. */
  function hasStaleNode(state: ConfigurationState): boolean {
    return state.nodes.some((node, index) => {
      const isAlone = !node.hasContact && !node.reachesPeers;
      return isServing(state, index) && (node.position === 0 || isAlone);
    });
  }

  function next(state: ConfigurationState, event: ConfigurationEvent): ConfigurationState {
    switch (event.type) {
      case 'publish': {
        const sequence = (state.published[event.operator] ?? 0) + 1;
        const publication = { operator: event.operator, sequence, basis: currentOf(state) };
        const published = { ...state.published, [event.operator]: sequence };
        return { ...state, published, pending: [...state.pending, publication] };
      }
      case 'land':
        return land(state, event.publication, event.isAgain);
      case 'read':
        return setNode(state, event.node, {
          position: event.position,
          hasContact: event.position === currentOf(state),
        });
      case 'loseContact':
        return setNode(state, event.node, { hasContact: false });
      case 'cutLog':
        return { ...setNode(state, event.node, { reachesLog: false }), cuts: state.cuts + 1 };
      case 'cutPeers':
        return { ...setNode(state, event.node, { reachesPeers: false }), cuts: state.cuts + 1 };
      case 'outage':
        return { ...state, isLogUp: false, outages: state.outages + 1 };
      case 'recover':
        return { ...state, isLogUp: true };
      case 'replace': {
        const nodes = state.nodes.map((node, at) => (at === event.node ? NEW_NODE : node));
        nodes.sort((a, b) => (JSON.stringify(a) < JSON.stringify(b) ? -1 : 1));
        return { ...state, nodes, cuts: state.cuts + 1 };
      }
    }
  }

  function events(state: ConfigurationState): readonly ConfigurationEvent[] {
    const enabled: ConfigurationEvent[] = [];
    for (const operator of OPERATORS) {
      if ((state.published[operator] ?? 0) < bounds.publications && state.pending.length < 2)
        enabled.push({ type: 'publish', operator });
    }
    for (const publication of state.pending.keys()) {
      if (!state.isLogUp) continue;
      enabled.push({ type: 'land', publication, isAgain: false });
      if (state.landed < 2) enabled.push({ type: 'land', publication, isAgain: true });
    }
    for (const [index, node] of state.nodes.entries()) enabled.push(...nodeEvents(state, node, index));
    if (state.isLogUp && state.outages < 1) enabled.push({ type: 'outage' });
    if (!state.isLogUp) enabled.push({ type: 'recover' });
    return enabled;
  }

  function nodeEvents(state: ConfigurationState, node: Node, index: number): readonly ConfigurationEvent[] {
    const enabled: ConfigurationEvent[] = [];
    const canRead = state.isLogUp && node.reachesLog;
    const unread = state.log.filter((position) => position > node.position).slice(0, 1);
    const readable = variant.appliesOutOfOrder === true ? state.log : unread;
    if (canRead) for (const position of readable) enabled.push({ type: 'read', node: index, position });
    if (node.hasContact && !canRead) enabled.push({ type: 'loseContact', node: index });
    if (state.cuts < bounds.cuts && node.reachesLog) enabled.push({ type: 'cutLog', node: index });
    if (state.cuts < bounds.cuts && node.reachesPeers) enabled.push({ type: 'cutPeers', node: index });
    if (state.cuts < bounds.cuts) enabled.push({ type: 'replace', node: index });
    return enabled;
  }

  return {
    name: 'configuration',
    bounds: `2 operators x ${bounds.publications} publications landing up to twice, 3 nodes, ${bounds.cuts} of: cut from log, cut from peers, replaced; 1 outage`,
    initial: {
      reduction: null,
      log: [],
      landed: 0,
      isLogUp: true,
      outages: 0,
      cuts: 0,
      pending: [],
      published: {},
      nodes: Array.from({ length: NODES }, () => NEW_NODE),
      fault: null,
    },
    events,
    next,
    invariants: [
      {
        name: 'a publication is based on the one before',
        holds: ({ fault }) => fault !== 'publication-over-an-unseen-one',
      },
      { name: 'a node never goes back', holds: ({ fault }) => fault !== 'node-went-back' },
      {
        name: 'a node without configuration, or alone, does not serve',
        holds: (state) => !hasStaleNode(state),
      },
    ],
  };
}
