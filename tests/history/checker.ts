import type { CallRecord } from './callers.js';

type JournalLine = Readonly<Record<string, unknown>>;

/** A broken promise and the evidence for it. */
export interface Violation {
  readonly promise: string;
  readonly evidence: string;
}

/** Period in which an instance was listed as leaving. */
export interface LeavingSpan {
  readonly address: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** What callers, stand-ins and fault injection recorded during a run. */
export interface Histories {
  readonly callers: readonly CallRecord[];
  readonly journal: readonly JournalLine[];
  readonly leaving: readonly LeavingSpan[];
  /** Configuration positions that each entry process reported, oldest first. */
  readonly configurations: ReadonlyMap<string, readonly number[]>;
  /** Instances that were killed, and when. */
  readonly kills: readonly { readonly address: string; readonly atMs: number }[];
}

/** The requirements give a leaving target a few seconds until it gets no new work; the design promises three. */
const LEAVING_BOUND_MS = 3_000;
/** Twice the lease on whole groups, so that a busy machine causes no false violation. */
const BROKEN_GROUP_BOUND_MS = 5_000;

/** Checks every promise of the requirements whose violation is visible in the histories. */
export function checkHistories(histories: Histories): readonly Violation[] {
  return [
    ...checkRunsPerKey(histories),
    ...checkNotRun(histories),
    ...checkAnswers(histories),
    ...checkConfigurations(histories),
    ...checkLeaving(histories),
    ...checkBrokenGroups(histories),
    ...checkAbandonedGroups(histories),
    ...checkGroupMembers(histories),
  ];
}

function runsOf(journal: readonly JournalLine[]): ReadonlyMap<string, readonly JournalLine[]> {
  const runs = new Map<string, JournalLine[]>();
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

/** A request that was answered `not-run` must not have reached a target. */
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

/** A group with a killed member must take no completion under the same epoch after its lease has expired. */
function checkBrokenGroups({ journal, kills: killed }: Histories): readonly Violation[] {
  const members = membersByEpoch(journal);
  return journal.flatMap((line) => {
    if (line['event'] !== 'completion') return [];
    const epoch = Number(line['epoch']);
    const atMs = Number(line['atMs']);
    const lostMember = killed.find(
      (kill) =>
        members.get(epoch)?.has(kill.address) === true &&
        loadedBefore(journal, epoch, kill.address, kill.atMs) &&
        atMs - kill.atMs > BROKEN_GROUP_BOUND_MS,
    );
    if (!lostMember) return [];
    const evidence = `epoch ${epoch} took a request ${atMs - lostMember.atMs} ms after ${lostMember.address} was killed`;
    return [{ promise: 'no group serves while an instance is missing', evidence }];
  });
}

/** A group whose member was ordered to leave it must take no completion after its lease has expired. */
function checkAbandonedGroups({ journal }: Histories): readonly Violation[] {
  const members = membersByEpoch(journal);
  const leftAt = new Map<string, { readonly epoch: number; readonly atMs: number }>();
  const current = new Map<string, number>();
  const violations: Violation[] = [];
  for (const line of journal) {
    const address = String(line['address']);
    const atMs = Number(line['atMs']);
    const epoch = Number(line['fencing']);
    if (line['event'] === 'order-load') {
      const previous = current.get(address);
      if (previous !== undefined && previous !== epoch) leftAt.set(address, { epoch: previous, atMs });
      if (leftAt.get(address)?.epoch === epoch) leftAt.delete(address);
      current.set(address, epoch);
    }
    if (line['event'] === 'order-stop') {
      const previous = current.get(address);
      if (previous !== undefined) leftAt.set(address, { epoch: previous, atMs });
      current.delete(address);
    }
    if (line['event'] !== 'completion') continue;
    const served = Number(line['epoch']);
    for (const member of members.get(served) ?? []) {
      const left = leftAt.get(member);
      if (left?.epoch !== served || atMs - left.atMs <= BROKEN_GROUP_BOUND_MS) continue;
      const evidence = `epoch ${served} took a request ${atMs - left.atMs} ms after ${member} had left it`;
      violations.push({ promise: 'no group serves while an instance is missing', evidence });
    }
  }
  return violations;
}

function loadedBefore(
  journal: readonly JournalLine[],
  epoch: number,
  address: string,
  atMs: number,
): boolean {
  return journal.some(
    (line) =>
      line['event'] === 'order-load' &&
      Number(line['fencing']) === epoch &&
      line['address'] === address &&
      Number(line['atMs']) <= atMs,
  );
}

function membersByEpoch(journal: readonly JournalLine[]): ReadonlyMap<number, ReadonlySet<string>> {
  const members = new Map<number, Set<string>>();
  for (const line of journal) {
    if (line['event'] !== 'order-load') continue;
    const epoch = Number(line['fencing']);
    members.set(epoch, new Set(line['members'] as readonly string[]));
  }
  return members;
}

/** Between two loads for different groups, an instance with the same boot must have been ordered to stop. */
function checkGroupMembers({ journal }: Histories): readonly Violation[] {
  const lastLoads = new Map<string, JournalLine>();
  const violations: Violation[] = [];
  for (const line of journal) {
    const id = `${String(line['address'])}#${String(line['boot'])}`;
    if (line['event'] === 'order-stop') lastLoads.delete(id);
    if (line['event'] !== 'order-load') continue;
    const previous = lastLoads.get(id);
    if (previous && previous['group'] !== line['group']) {
      const evidence = `${id} was loaded for ${String(line['group'])} while in ${String(previous['group'])}`;
      violations.push({ promise: 'no instance in two groups', evidence });
    }
    lastLoads.set(id, line);
  }
  return violations;
}
