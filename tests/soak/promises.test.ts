import t from 'tap';
import type { RunRecord } from '../platform/instanceStandin.js';
import { type CallRecord, checkPromises, type History, type PromiseName } from './promises.js';
import { EVENTS_PER_STREAM } from './soakFleet.js';

const SENT_AT_MS = 100_000;
const WHOLE_STREAM = Array.from(
  { length: EVENTS_PER_STREAM },
  (_, index) => `id: ${index + 1}\ndata: {}\n\n`,
).join('');

function describeCall(options: Partial<CallRecord> = {}): CallRecord {
  return {
    id: 'call-1',
    node: 'node-1',
    kind: 'order',
    key: 'key-1',
    sentAtMs: SENT_AT_MS,
    endedAtMs: SENT_AT_MS + 20,
    timeoutMs: 1_500,
    outcome: { kind: 'answered', status: 200, body: 'call-1:body-of-call-1', seal: 'seal' },
    isCalm: true,
    isStopping: false,
    isPlanned: false,
    areTargetsSound: false,
    resetsAtMs: [],
    isInRotation: true,
    isNodeRunning: true,
    ...options,
  };
}

function describeRun(options: Partial<RunRecord> = {}): RunRecord {
  return {
    requestId: 'call-1',
    instance: 'plain-1',
    workspace: 'workspace-1',
    lastEventId: undefined,
    isWhole: true,
    atMs: SENT_AT_MS + 5,
    ...options,
  };
}

const answered = (status: number, body = '', seal: string | undefined = 'seal') =>
  ({ kind: 'answered', status, body, seal }) as const;

interface Case {
  readonly name: string;
  readonly call?: Partial<CallRecord>;
  readonly runs?: readonly RunRecord[];
  readonly history?: Partial<History>;
  readonly broken?: PromiseName;
}

const cases: readonly Case[] = [
  { name: 'an order that ran once and was answered', runs: [describeRun()] },
  {
    name: 'an order that ran twice',
    runs: [describeRun(), describeRun({ instance: 'plain-2' })],
    broken: 'at most once',
  },
  { name: 'a look-up that ran twice', call: { kind: 'status' }, runs: [describeRun(), describeRun()] },
  {
    name: 'an order refused as not run that ran',
    call: { outcome: answered(503) },
    runs: [describeRun()],
    broken: 'not run is true',
  },
  { name: 'an order refused as not run that did not run', call: { outcome: answered(503) } },
  { name: 'an order in doubt that ran', call: { outcome: answered(502) }, runs: [describeRun()] },
  {
    name: "an answer to another caller's request",
    call: { outcome: answered(200, 'call-2:body-of-call-2') },
    broken: 'the whole answer, to its own caller',
  },
  {
    name: 'a truncated answer',
    call: { outcome: answered(200, 'call-1:body') },
    broken: 'the whole answer, to its own caller',
  },
  {
    name: 'an answer without a seal',
    call: { outcome: { kind: 'answered', status: 200, body: 'call-1:body-of-call-1', seal: undefined } },
    broken: 'the whole answer, to its own caller',
  },
  { name: 'a whole stream', call: { kind: 'stream', outcome: answered(200, WHOLE_STREAM) } },
  {
    name: 'a truncated stream that ends as if it were complete',
    call: { kind: 'stream', outcome: answered(200, 'id: 1\ndata: {}\n\n') },
    broken: 'the whole answer, to its own caller',
  },
  {
    name: 'a stream that is cut',
    call: { kind: 'stream', outcome: { kind: 'cut', body: 'id: 1\ndata: {}\n\n', hasBegun: true } },
  },
  {
    name: 'a stream with a repeated event',
    call: {
      kind: 'stream',
      outcome: { kind: 'cut', body: 'id: 1\ndata: {}\n\nid: 1\ndata: {}\n\n', hasBegun: true },
    },
    broken: 'events in order',
  },
  {
    name: 'a key accepted long after it was revoked',
    runs: [describeRun()],
    history: { keysRevokedAtMs: new Map([['key-1', SENT_AT_MS - 6_000]]) },
    broken: 'a key ends',
  },
  {
    name: 'a key accepted soon after it was revoked',
    runs: [describeRun()],
    history: { keysRevokedAtMs: new Map([['key-1', SENT_AT_MS - 4_000]]) },
  },
  {
    name: 'new work for a target that announced long ago that it leaves',
    runs: [describeRun()],
    history: { leavingSinceMs: new Map([['plain-1', SENT_AT_MS - 3_000]]) },
    broken: 'a leaving target gets nothing new',
  },
  {
    name: 'a request cut by a planned stop',
    call: { isStopping: true, outcome: { kind: 'cut', body: '', hasBegun: false } },
    broken: 'a stop cuts nothing',
  },
  {
    name: 'a request cut by a planned stop during other faults',
    call: { isStopping: true, isCalm: false, outcome: { kind: 'cut', body: '', hasBegun: false } },
  },
  {
    name: 'a stream cut by planned work',
    call: {
      kind: 'stream',
      isPlanned: true,
      isInRotation: false,
      outcome: { kind: 'cut', body: 'id: 1\ndata: {}\n\n', hasBegun: true },
    },
    broken: 'planned work cuts nothing',
  },
  {
    name: 'a request without an answer of a node that runs',
    call: { isPlanned: true, isInRotation: false, outcome: { kind: 'cut', body: '', hasBegun: false } },
    broken: 'planned work cuts nothing',
  },
  {
    name: 'a request without an answer of a node in rotation',
    call: { isPlanned: true, isNodeRunning: false, outcome: { kind: 'cut', body: '', hasBegun: false } },
    broken: 'planned work cuts nothing',
  },
  {
    name: 'a request to a process that has gone and is out of rotation',
    call: {
      isPlanned: true,
      isInRotation: false,
      isNodeRunning: false,
      outcome: { kind: 'cut', body: '', hasBegun: false },
    },
  },
  {
    name: 'a member that exits while its group serves',
    history: { prematureExits: ['engine-1'] },
    broken: 'planned work cuts nothing',
  },
  {
    name: 'a stream cut by one reset',
    call: {
      kind: 'stream',
      areTargetsSound: true,
      resetsAtMs: [SENT_AT_MS + 10],
      outcome: { kind: 'cut', body: 'id: 1\ndata: {}\n\n', hasBegun: true },
    },
    broken: 'one reset fails nothing that may be repeated',
  },
  {
    name: 'a look-up failed by one reset',
    call: { kind: 'status', areTargetsSound: true, resetsAtMs: [SENT_AT_MS + 10], outcome: answered(502) },
    broken: 'one reset fails nothing that may be repeated',
  },
  {
    name: 'a stream refused after a reset as no target responds',
    call: { kind: 'stream', areTargetsSound: true, outcome: answered(503, '{"reason":"all-silent"}') },
    broken: 'one reset fails nothing that may be repeated',
  },
  {
    name: 'a look-up failed by two resets',
    call: {
      kind: 'status',
      areTargetsSound: true,
      resetsAtMs: [SENT_AT_MS + 10, SENT_AT_MS + 15],
      outcome: answered(502),
    },
  },
  {
    name: 'a look-up failed by a reset that hit both attempts',
    call: { kind: 'status', areTargetsSound: true, resetsAtMs: [SENT_AT_MS + 10], outcome: answered(502) },
    runs: [describeRun(), describeRun({ instance: 'plain-2' })],
  },
  {
    name: 'a look-up failed by a reset and another failure after it',
    call: { kind: 'status', areTargetsSound: true, resetsAtMs: [SENT_AT_MS + 10], outcome: answered(502) },
    runs: [describeRun(), describeRun({ instance: 'plain-2', atMs: SENT_AT_MS + 15 })],
    broken: 'one reset fails nothing that may be repeated',
  },
  {
    name: 'an order failed by one reset',
    call: { areTargetsSound: true, resetsAtMs: [SENT_AT_MS + 10], outcome: answered(502) },
  },
  {
    name: 'a failure answered long after the timeout',
    call: { endedAtMs: SENT_AT_MS + 3_000, outcome: answered(504) },
    broken: 'a failure is answered in time',
  },
  {
    name: 'a group conflict that an engine detected',
    history: { engineFaults: ['engine-1 joined b while a of engine-0 was open'] },
    broken: 'whole groups, one group an instance',
  },
];

for (const { name, call, runs = [], history, broken } of cases) {
  void t.test(`${broken ?? 'allowed'}: ${name}`, (t) => {
    const violations = checkPromises(
      {
        calls: [describeCall(call)],
        runs,
        engineFaults: [],
        keysRevokedAtMs: new Map(),
        leavingSinceMs: new Map(),
        prematureExits: [],
        ...history,
      },
      true,
    );
    t.same(
      violations.map(({ promise }) => promise),
      broken === undefined ? [] : [broken],
    );
    t.end();
  });
}
