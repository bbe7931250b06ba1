import { type Clock, type LeaseGuards, WHOLE_LEASE_MS, WholeLeases } from '@monsoonreach/core';
import type { Model } from './explore.js';

/** Guards of the production code that a variant of the model removes. */
export interface LeaseVariant {
  readonly leases?: Partial<LeaseGuards>;
  /** Dispatches if the last answer left time on the lease, without checking whether it has expired since. */
  readonly skipsExpiry?: boolean;
}

const STEP_MS = 500;
const MAX_STEPS = 6;

/** State of the lease model; times are counted in steps of STEP_MS. */
export interface LeaseState {
  readonly now: number;
  readonly isWhole: boolean;
  /** Step at which the watcher last saw all members. */
  readonly seenAt: number;
  /** The query in flight: when it was sent, and the lease time of the answer once the watcher has answered. */
  readonly query: { readonly sentAt: number; readonly remainingMs: number | null } | null;
  /** Answers that the entry received, to replay into the production code's leases. */
  readonly answers: readonly {
    readonly sentAt: number;
    readonly takenAt: number;
    readonly remainingMs: number;
  }[];
  /** Step at which a member went missing. */
  readonly brokeAt: number | null;
}

/** Events of the lease model. */
export type LeaseEvent =
  | { readonly type: 'pass' }
  | { readonly type: 'break' }
  | { readonly type: 'probe' }
  | { readonly type: 'query' }
  | { readonly type: 'answer' }
  | { readonly type: 'take' };

/** One group, one watcher and one entry; answers may take any time, which also covers paused processes. */
export function leaseModel(variant: LeaseVariant = {}): Model<LeaseState, LeaseEvent> {
  const guards: LeaseGuards = { countsFromQuery: true, ...variant.leases };

  /** Whether the leases of the production code allow a dispatch in this state. */
  function mayDispatch(state: LeaseState): boolean {
    let nowMs = 0;
    const clock: Clock = { now: () => nowMs, monotonic: () => nowMs };
    const leases = new WholeLeases(clock, guards);
    for (const { sentAt, takenAt, remainingMs } of state.answers) {
      nowMs = takenAt * STEP_MS;
      leases.renew(sentAt * STEP_MS, [{ group: 'g', epoch: 1, remainingMs }]);
    }
    if (variant.skipsExpiry === true) return state.answers.some(({ remainingMs }) => remainingMs > 0);
    nowMs = state.now * STEP_MS;
    return leases.find('g', 1) !== undefined;
  }

  function next(state: LeaseState, event: LeaseEvent): LeaseState {
    switch (event.type) {
      case 'pass':
        return { ...state, now: state.now + 1 };
      case 'break':
        return { ...state, isWhole: false, brokeAt: state.now };
      case 'probe':
        return { ...state, seenAt: state.now };
      case 'query':
        return { ...state, query: { sentAt: state.now, remainingMs: null } };
      case 'answer': {
        const remainingMs = Math.max(0, WHOLE_LEASE_MS - (state.now - state.seenAt) * STEP_MS);
        return { ...state, query: state.query && { ...state.query, remainingMs } };
      }
      case 'take': {
        if (state.query?.remainingMs == null) return state;
        const answer = {
          sentAt: state.query.sentAt,
          takenAt: state.now,
          remainingMs: state.query.remainingMs,
        };
        return { ...state, query: null, answers: [...state.answers, answer].slice(-1) };
      }
    }
  }

  function events(state: LeaseState): readonly LeaseEvent[] {
    const enabled: LeaseEvent[] = [];
    if (state.now < MAX_STEPS) enabled.push({ type: 'pass' });
    if (state.isWhole) enabled.push({ type: 'break' });
    if (state.isWhole && state.seenAt < state.now) enabled.push({ type: 'probe' });
    if (!state.query) enabled.push({ type: 'query' });
    if (state.query?.remainingMs === null) enabled.push({ type: 'answer' });
    if (typeof state.query?.remainingMs === 'number') enabled.push({ type: 'take' });
    return enabled;
  }

  return {
    name: 'whole lease',
    bounds: `${MAX_STEPS} steps of ${STEP_MS} ms, 1 group, 1 watcher, 1 entry, 1 break, answers of any delay`,
    initial: { now: 0, isWhole: true, seenAt: 0, query: null, answers: [], brokeAt: null },
    events,
    next,
    invariants: [
      {
        name: 'no dispatch later than the lease after a member went missing',
        holds: (state) =>
          state.brokeAt === null ||
          (state.now - state.brokeAt) * STEP_MS < WHOLE_LEASE_MS ||
          !mayDispatch(state),
      },
    ],
  };
}
