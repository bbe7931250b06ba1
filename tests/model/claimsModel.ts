import {
  type ClaimBody,
  type ClaimGuards,
  Claims,
  claimsDefinition,
  CLAIM_WINDOW_MS,
  type ReducerGuards,
  type ReductionSnapshot,
  StreamReducer,
} from '@monsoonreach/core';
import type { Model } from './explore.js';

/** Guards of the production code that a variant of the model removes. */
export interface ClaimsVariant {
  readonly claims?: Partial<ClaimGuards>;
  readonly reducer?: Partial<ReducerGuards>;
  /** Claimants dispatch after their append instead of after reading the record back. */
  readonly actsOnAppend?: boolean;
}

const START_MS = 1_800_000_000_000;
const STEP_MS = CLAIM_WINDOW_MS + 120_000;
const KEYS = ['019f0000-0000-7000-8000-000000000001', '019f0000-0000-7000-8000-000000000002'].map((key) => {
  const time = START_MS.toString(16).padStart(12, '0');
  return `${time.slice(0, 8)}-${time.slice(8)}${key.slice(13)}`;
});

/** An order that a caller sends to a claimant. */
interface Request {
  readonly workspace: string;
  readonly key: string;
}

const REQUESTS = [
  { workspace: 'w1', key: KEYS[0] ?? '' },
  { workspace: 'w2', key: KEYS[0] ?? '' },
  { workspace: 'w1', key: KEYS[1] ?? '' },
] as const satisfies readonly Request[];

interface Claimant {
  readonly incarnation: number;
  readonly sequence: number;
  readonly started: number;
  readonly phase: 'idle' | 'waiting' | 'claimed' | 'sent';
  readonly request: number;
  readonly claimSequence: number;
}

interface Append {
  readonly writer: string;
  readonly incarnation: number;
  readonly sequence: number;
  readonly atMs: number;
  readonly body: ClaimBody;
  readonly landed: number;
}

/** State of the claims model. */
export interface ClaimsState {
  readonly reduction: ReductionSnapshot | null;
  readonly time: number;
  readonly claimants: Readonly<Record<string, Claimant>>;
  readonly inFlight: readonly Append[];
  readonly verdicts: Readonly<Record<string, string>>;
  readonly runs: readonly number[];
  readonly kills: number;
  readonly accepted: readonly string[];
  /** Records that withdraw a claim, as writer/incarnation/sequence. */
  readonly withdrawals: readonly string[];
  /** Set when a withdrawn claim still holds its key, or when a claim of one workspace causes a refusal in another. */
  readonly fault: string | null;
}

/** Events of the claims model. */
export type ClaimsEvent =
  | { readonly type: 'start'; readonly claimant: string; readonly request: number }
  | { readonly type: 'land'; readonly append: number }
  | { readonly type: 'lose'; readonly append: number }
  | { readonly type: 'readBack'; readonly claimant: string }
  | { readonly type: 'giveUp'; readonly claimant: string }
  | { readonly type: 'dispatch'; readonly claimant: string }
  | { readonly type: 'finish'; readonly claimant: string }
  | { readonly type: 'kill'; readonly claimant: string }
  | { readonly type: 'passWindow' };

const NEW_CLAIMANT: Claimant = {
  incarnation: 0,
  sequence: 0,
  started: 0,
  phase: 'idle',
  request: -1,
  claimSequence: 0,
};
const MAX_IN_FLIGHT = 2;
/** When the answer to an append is lost, it is repeated, and the same batch may land twice. */
const MAX_LANDINGS = 2;

/** Bounds of the explored state space. */
export interface ClaimsBounds {
  readonly requests: readonly Request[];
  readonly starts: number;
  readonly kills: number;
  readonly windows: number;
}

/** Two keys of one workspace. */
export const TWO_KEYS: ClaimsBounds = {
  requests: [REQUESTS[0], REQUESTS[2]],
  starts: 2,
  kills: 1,
  windows: 1,
};
/** One key of one workspace. */
export const ONE_KEY: ClaimsBounds = { requests: [REQUESTS[0]], starts: 2, kills: 0, windows: 0 };
/** One key in two workspaces. */
export const TWO_WORKSPACES: ClaimsBounds = {
  requests: [REQUESTS[0], REQUESTS[1]],
  starts: 2,
  kills: 0,
  windows: 0,
};

/** Two claimants, lost and repeated appends, kills and an expired claim window; a paused claimant takes no step. */
export function claimsModel(
  bounds: ClaimsBounds,
  variant: ClaimsVariant = {},
): Model<ClaimsState, ClaimsEvent> {
  const claimGuards: ClaimGuards = {
    firstClaimWins: true,
    windowIsChecked: true,
    abandonNeedsClaimant: true,
    workspacesAreSeparate: true,
    ...variant.claims,
  };
  const definition = {
    ...claimsDefinition,
    create: () => new Claims([], claimGuards),
    restore: (snapshot: unknown) =>
      new Claims(snapshot as ConstructorParameters<typeof Claims>[0], claimGuards),
  };
  const guards = { dropsDuplicates: true, ...variant.reducer };

  function createReducer(state: ClaimsState) {
    return new StreamReducer(definition, state.reduction ?? undefined, guards);
  }

  function land(state: ClaimsState, index: number): ClaimsState {
    const append = state.inFlight[index];
    if (!append) return state;
    const reducer = createReducer(state);
    const position = 1;
    const { writer, sequence, body } = append;
    const envelope = {
      format: 1,
      writer: { address: writer, incarnation: String(append.incarnation) },
      sequence,
      writtenAtMs: append.atMs,
      body,
    };
    const verdict = reducer.apply(position, envelope);
    const id = `${writer}/${append.incarnation}/${sequence}`;
    const outcome = verdict.kind === 'rejected' ? verdict.reason : verdict.kind;
    const landed = append.landed + 1;
    const inFlight = state.inFlight.flatMap((other, at) =>
      at !== index ? [other] : landed < MAX_LANDINGS ? [{ ...append, landed }] : [],
    );
    const target = body.kind === 'checkpoint' ? '' : `${body.workspace}/${body.key}`;
    const accepted =
      body.kind === 'claim' && verdict.kind === 'accepted'
        ? [...new Set([...state.accepted, target])].sort()
        : state.accepted;
    const isCrossed = outcome === 'already-claimed' && !state.accepted.includes(target);
    const isAwaited = isClaimOf(state, append) || state.withdrawals.includes(id);
    const verdicts =
      id in state.verdicts || !isAwaited ? state.verdicts : { ...state.verdicts, [id]: outcome };
    const next = { ...state, inFlight, verdicts, accepted, reduction: reducer.snapshot() };
    return { ...next, fault: isCrossed ? 'crossed-workspaces' : findWithdrawnHolder(next, reducer.state) };
  }

  /** Finds a claim that holds its key although its withdrawal was accepted. */
  function findWithdrawnHolder(state: ClaimsState, claims: Claims): string | null {
    for (const { workspace, key } of bounds.requests) {
      const claim = claims.find(workspace, key);
      if (!claim) continue;
      const [writer = '', incarnation = ''] = claim.claimantId.split('#');
      const withdrawal = `${writer}/${incarnation}/${claim.claimSequence + 1}`;
      const isWithdrawal = state.withdrawals.includes(withdrawal);
      if (isWithdrawal && state.verdicts[withdrawal] === 'accepted') return 'withdrawn-claim-holds';
    }
    return null;
  }

  function isClaimOf(state: ClaimsState, { writer, incarnation, sequence }: Append): boolean {
    const claimant = state.claimants[writer];
    return (
      claimant?.phase === 'waiting' &&
      claimant.incarnation === incarnation &&
      claimant.claimSequence === sequence
    );
  }

  function setClaimant(state: ClaimsState, name: string, change: Partial<Claimant>): ClaimsState {
    const claimant = state.claimants[name] ?? NEW_CLAIMANT;
    return { ...state, claimants: { ...state.claimants, [name]: { ...claimant, ...change } } };
  }

  function send(state: ClaimsState, name: string, body: ClaimBody): ClaimsState {
    const claimant = state.claimants[name] ?? NEW_CLAIMANT;
    const sequence = claimant.sequence + 1;
    const append = {
      writer: name,
      incarnation: claimant.incarnation,
      sequence,
      atMs: START_MS + state.time * STEP_MS,
      body,
      landed: 0,
    };
    return setClaimant({ ...state, inFlight: [...state.inFlight, append] }, name, { sequence });
  }

  function verdictOf(state: ClaimsState, name: string): string | undefined {
    const claimant = state.claimants[name];
    return claimant && state.verdicts[`${name}/${claimant.incarnation}/${claimant.claimSequence}`];
  }

  function next(state: ClaimsState, event: ClaimsEvent): ClaimsState {
    switch (event.type) {
      case 'start': {
        const request = bounds.requests[event.request];
        const claimant = state.claimants[event.claimant];
        if (!request || !claimant) return state;
        const sent = send(state, event.claimant, { kind: 'claim', ...request, fingerprint: 'f' });
        return setClaimant(sent, event.claimant, {
          phase: variant.actsOnAppend === true ? 'claimed' : 'waiting',
          request: event.request,
          started: claimant.started + 1,
          claimSequence: claimant.sequence + 1,
        });
      }
      case 'land':
        return land(state, event.append);
      case 'lose':
        return { ...state, inFlight: state.inFlight.filter((_, index) => index !== event.append) };
      case 'readBack': {
        const phase = verdictOf(state, event.claimant) === 'accepted' ? 'claimed' : 'idle';
        return setClaimant(state, event.claimant, { phase });
      }
      case 'giveUp':
        return giveUp(state, event.claimant);
      case 'dispatch': {
        const request = state.claimants[event.claimant]?.request;
        const runs = state.runs.map((count, index) => (index === request ? count + 1 : count));
        return setClaimant({ ...state, runs }, event.claimant, { phase: 'sent' });
      }
      case 'finish': {
        const claimant = state.claimants[event.claimant];
        const request = bounds.requests[claimant?.request ?? -1];
        if (!claimant || !request) return state;
        const answer = { status: 200 };
        const sent = send(state, event.claimant, {
          kind: 'done',
          ...request,
          claimSequence: claimant.claimSequence,
          answer,
        });
        return setClaimant(sent, event.claimant, { phase: 'idle' });
      }
      case 'kill': {
        const claimant = state.claimants[event.claimant];
        const change = {
          ...NEW_CLAIMANT,
          incarnation: (claimant?.incarnation ?? 0) + 1,
          started: claimant?.started ?? 0,
        };
        return setClaimant({ ...state, kills: state.kills + 1 }, event.claimant, change);
      }
      case 'passWindow':
        return { ...state, time: state.time + 1 };
    }
  }

  /** Withdraws a claim that was not confirmed in time; it is never dispatched. */
  function giveUp(state: ClaimsState, name: string): ClaimsState {
    const claimant = state.claimants[name];
    const request = bounds.requests[claimant?.request ?? -1];
    if (!claimant || !request) return state;
    const sent = send(state, name, { kind: 'abandon', ...request, claimSequence: claimant.claimSequence });
    const withdrawal = `${name}/${claimant.incarnation}/${claimant.claimSequence + 1}`;
    return setClaimant({ ...sent, withdrawals: [...state.withdrawals, withdrawal].sort() }, name, {
      phase: 'idle',
    });
  }

  function events(state: ClaimsState): readonly ClaimsEvent[] {
    const enabled: ClaimsEvent[] = [];
    const canAppend = state.inFlight.length < MAX_IN_FLIGHT;
    const startsLeft =
      bounds.starts - Object.values(state.claimants).reduce((sum, { started }) => sum + started, 0);
    for (const [claimant, { phase }] of Object.entries(state.claimants)) {
      if (phase === 'idle' && startsLeft > 0 && canAppend) {
        for (const request of bounds.requests.keys()) enabled.push({ type: 'start', claimant, request });
      }
      if (phase === 'waiting' && verdictOf(state, claimant) !== undefined)
        enabled.push({ type: 'readBack', claimant });
      if (phase === 'waiting' && canAppend) enabled.push({ type: 'giveUp', claimant });
      if (phase === 'claimed') enabled.push({ type: 'dispatch', claimant });
      if (phase === 'claimed' && canAppend) enabled.push({ type: 'giveUp', claimant });
      if (phase === 'sent' && canAppend) enabled.push({ type: 'finish', claimant });
      if (phase !== 'idle' && state.kills < bounds.kills) enabled.push({ type: 'kill', claimant });
    }
    for (const append of state.inFlight.keys())
      enabled.push({ type: 'land', append }, { type: 'lose', append });
    if (state.time < bounds.windows) enabled.push({ type: 'passWindow' });
    return enabled;
  }

  return {
    name: 'claims',
    bounds: `2 claimants, ${bounds.starts} starts, ${bounds.requests.length} keys, ${MAX_IN_FLIGHT} appends in flight landing up to ${MAX_LANDINGS} times, ${bounds.kills} kills, ${bounds.windows} ended windows`,
    initial: {
      reduction: null,
      time: 0,
      claimants: { a: NEW_CLAIMANT, b: NEW_CLAIMANT },
      inFlight: [],
      verdicts: {},
      withdrawals: [],
      runs: bounds.requests.map(() => 0),
      kills: 0,
      accepted: [],
      fault: null,
    },
    events,
    next,
    invariants: [
      { name: 'a key runs at most once', holds: ({ runs }) => runs.every((count) => count <= 1) },
      {
        name: 'a withdrawn claim does not hold its key',
        holds: ({ fault }) => fault !== 'withdrawn-claim-holds',
      },
      {
        name: 'a claim is refused only for its own workspace',
        holds: ({ fault }) => fault !== 'crossed-workspaces',
      },
    ],
  };
}
