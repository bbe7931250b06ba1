import type { CallerEntry } from './callers.js';

type Line = Readonly<Record<string, unknown>>;

/** One broken promise with what shows it. */
export interface Violation {
  readonly promise: string;
  readonly evidence: string;
}

/** How long one instance was listed as leaving. */
export interface LeavingSpan {
  readonly address: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** What the checker reads. */
export interface Histories {
  readonly callers: readonly CallerEntry[];
  readonly journal: readonly Line[];
  /** Instances that were listed as leaving, and from when to when. */
  readonly leaving: readonly LeavingSpan[];
  /** Positions of the configuration that each entry reported, in order. */
  readonly configurations: ReadonlyMap<string, readonly number[]>;
  /** Instances that were killed: address, when, and the boot that ended. */
  readonly killed: readonly { readonly address: string; readonly atMs: number }[];
}

/** Brief: a leaving target gets no new work after a few seconds; the design's bound is three. */
const LEAVING_BOUND_MS = 3_000;
/** The whole lease, and as much again for a machine that is busy. */
const BROKEN_BOUND_MS = 5_000;

/** Checks every promise of the brief that histories can show broken. */
export function checkHistories(histories: Histories): readonly Violation[] {
  return [
    ...checkRunsPerKey(histories),
    ...checkNotRun(histories),
    ...checkAnswers(histories),
    ...checkConfigurations(histories),
    ...checkLeaving(histories),
    ...checkBrokenGroups(histories),
    ...checkGroupMembers(histories),
  ];
}

function runsOf(journal: readonly Line[]): ReadonlyMap<string, readonly Line[]> {
  const runs = new Map<string, Line[]>();
  for (const line of journal) {
    if (line['event'] !== 'order') continue;
    const key = String(line['key']);
    runs.set(key, [...(runs.get(key) ?? []), line]);
  }
  return runs;
}

function checkRunsPerKey({ journal }: Histories): readonly Violation[] {
  return [...runsOf(journal)]
    .filter(([, runs]) => runs.length > 1)
    .map(([key, runs]) => ({
      promise: 'runs at most once',
      evidence: `key ${key} ran ${runs.length} times`,
    }));
}

/** A request that was told "not run" must not have reached a target. */
function checkNotRun({ callers, journal }: Histories): readonly Violation[] {
  const dispatched = new Set(
    journal
      .filter(({ event }) => event === 'order' || event === 'completion')
      .map(({ requestId }) => requestId),
  );
  return callers
    .filter(({ result }) => result.kind === 'problem' && result.run === 'not-run')
    .filter(({ requestId }) => requestId !== undefined && dispatched.has(requestId))
    .map(({ requestId, kind }) => ({ promise: 'not run means not run', evidence: `${kind} ${requestId}` }));
}

function checkAnswers({ callers }: Histories): readonly Violation[] {
  return callers.flatMap(({ result, kind, mark }): readonly Violation[] => {
    if (result.kind !== 'answered') return [];
    const evidence = `${kind} ${mark}`;
    const own = result.isOwn ? [] : [{ promise: "the caller's own answer", evidence }];
    return result.isWhole ? own : [...own, { promise: 'the whole answer', evidence }];
  });
}

function checkConfigurations({ configurations }: Histories): readonly Violation[] {
  return [...configurations].flatMap(([entry, positions]) =>
    positions.flatMap((position, index) =>
      position < (positions[index - 1] ?? 0)
        ? [{ promise: 'configuration never reverts', evidence: `${entry}: ${positions.join(', ')}` }]
        : [],
    ),
  );
}

function checkLeaving({ journal, leaving }: Histories): readonly Violation[] {
  const members = membersByEpoch(journal);
  return journal.flatMap((line) => {
    if (line['event'] !== 'completion' && line['event'] !== 'order') return [];
    const atMs = Number(line['atMs']);
    const involved = new Set([String(line['address']), ...(members.get(Number(line['epoch'])) ?? [])]);
    const span = leaving.find(
      ({ address, fromMs, toMs }) => involved.has(address) && atMs > fromMs + LEAVING_BOUND_MS && atMs < toMs,
    );
    if (!span) return [];
    const evidence = `${span.address} got work ${atMs - span.fromMs} ms after the list showed it leaving`;
    return [{ promise: 'leaving targets get no new work', evidence }];
  });
}

/** No group that lost a member to a kill takes a completion under the same epoch once the lease must be over. */
function checkBrokenGroups({ journal, killed }: Histories): readonly Violation[] {
  const members = membersByEpoch(journal);
  return journal.flatMap((line) => {
    if (line['event'] !== 'completion') return [];
    const epoch = Number(line['epoch']);
    const atMs = Number(line['atMs']);
    const dead = killed.find(
      (kill) =>
        members.get(epoch)?.has(kill.address) === true &&
        loadedBefore(journal, epoch, kill.address, kill.atMs) &&
        atMs - kill.atMs > BROKEN_BOUND_MS,
    );
    if (!dead) return [];
    const evidence = `epoch ${epoch} took a request ${atMs - dead.atMs} ms after ${dead.address} was killed`;
    return [{ promise: 'no group serves while an instance is missing', evidence }];
  });
}

function loadedBefore(journal: readonly Line[], epoch: number, address: string, atMs: number): boolean {
  return journal.some(
    (line) =>
      line['event'] === 'order-load' &&
      Number(line['fencing']) === epoch &&
      line['address'] === address &&
      Number(line['atMs']) <= atMs,
  );
}

function membersByEpoch(journal: readonly Line[]): ReadonlyMap<number, ReadonlySet<string>> {
  const members = new Map<number, Set<string>>();
  for (const line of journal) {
    if (line['event'] !== 'order-load') continue;
    const epoch = Number(line['fencing']);
    members.set(epoch, new Set(line['members'] as readonly string[]));
  }
  return members;
}

/** Between two loads for different groups, an instance of one boot must have been told to stop. */
function checkGroupMembers({ journal }: Histories): readonly Violation[] {
  const last = new Map<string, Line>();
  const violations: Violation[] = [];
  for (const line of journal) {
    const id = `${String(line['address'])}#${String(line['boot'])}`;
    if (line['event'] === 'order-stop') last.delete(id);
    if (line['event'] !== 'order-load') continue;
    const before = last.get(id);
    if (before && before['group'] !== line['group']) {
      const evidence = `${id} was loaded for ${String(line['group'])} while in ${String(before['group'])}`;
      violations.push({ promise: 'no instance in two groups', evidence });
    }
    last.set(id, line);
  }
  return violations;
}
