import {
  type CallerRequest,
  decodeCallerRequest,
  decodeColdMs,
  decodeConfiguration,
  decodeInstance,
  decodeInstanceEntry,
  decodeKeyedRecord,
  decodeReport,
  decodeResponseHead,
  encodeDispatch,
  DecodeError,
  type ResponseHead,
} from '@monsoonreach/platform';
import fc from 'fast-check';
import t from 'tap';
import { createConfiguration } from './platformFleet.js';

const encode = (value: unknown) => Buffer.from(JSON.stringify(value));

const ENTRY = {
  service: 's',
  address: '10.0.0.1:80',
  zone: 'z',
  state: 'ready',
  slots: 18,
  seqNo: 4,
  domain: 3,
  staged: ['m'],
  models: [{ name: 'm', version: 1, adapters: [] }],
  group: { name: 'g', epoch: 12, rank: 0, state: 'open' },
  born: 1_700_000_000_000,
};

const decoders = [
  { name: 'an entry', decode: (bytes: Buffer) => decodeInstance('i', bytes), sample: ENTRY },
  { name: 'a report', decode: decodeReport, sample: { ...ENTRY, busy: false, active: 3, pace: 1 } },
  { name: 'a configuration', decode: decodeConfiguration, sample: createConfiguration(7) },
] as const;

for (const { name, decode, sample } of decoders) {
  void t.test(`${name}: a valid one with unknown fields is decoded`, (t) => {
    t.doesNotThrow(() => decode(encode({ ...(sample as object), later: { x: 1 } })));
    t.end();
  });

  void t.test(`${name}: arbitrary bytes are either decoded or rejected with a DecodeError`, (t) => {
    const isTyped = (bytes: Buffer) => {
      try {
        decode(bytes);
        return true;
      } catch (error) {
        return error instanceof DecodeError;
      }
    };
    fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => isTyped(Buffer.from(bytes))));
    fc.assert(fc.property(fc.jsonValue(), (value) => isTyped(encode(value))));
    const keys = Object.keys(sample as object);
    fc.assert(
      fc.property(fc.constantFrom(...keys), fc.jsonValue(), (key, value) =>
        isTyped(encode({ ...(sample as object), [key]: value })),
      ),
    );
    t.end();
  });
}

// Guards against an entry whose address cannot be connected to: a request for that target ended the process.
for (const address of [
  '',
  'nowhere',
  ':80',
  '1.2.3.4',
  '1.2.3.4:0',
  '1.2.3.4:70000',
  'a b:80',
  '1.2.3.4.5:80',
  'a/b:80',
  'localhost:80',
]) {
  void t.test(`an entry with the address "${address}" is rejected`, (t) => {
    t.throws(() => decodeInstance('i', encode({ ...ENTRY, address })), { name: DecodeError.name });
    t.end();
  });
}

const oddEntries = [
  { name: 'far too many slots', change: { slots: 1.2e29 } },
  { name: 'fewer slots than none', change: { slots: -5 } },
  { name: 'half a slot', change: { slots: 0.5 } },
  { name: 'an epoch that cannot be counted on from', change: { group: { ...ENTRY.group, epoch: 1e300 } } },
  { name: 'an epoch before the first', change: { group: { ...ENTRY.group, epoch: -1 } } },
  { name: 'half an epoch', change: { group: { ...ENTRY.group, epoch: 1.5 } } },
  { name: 'a rank below the head', change: { group: { ...ENTRY.group, rank: -1 } } },
  { name: 'a start at no time', change: { born: 1e308 } },
  { name: 'a start at half a millisecond', change: { born: 0.5 } },
] as const;

// Guards against numbers of another writer that decide which target is taken, or which epoch is the newest.
for (const { name, change } of oddEntries) {
  void t.test(`an entry with ${name} is rejected`, (t) => {
    t.throws(() => decodeInstance('i', encode({ ...ENTRY, ...change })), { name: DecodeError.name });
    t.end();
  });
}

const coldCases = [
  { name: 'none', value: undefined, coldRemainingMs: 0 },
  { name: 'a warm target', value: 0, coldRemainingMs: 0 },
  { name: 'a cold target', value: 2_400.5, coldRemainingMs: 2_400.5 },
  { name: 'a negative time', value: -1, coldRemainingMs: 0 },
  { name: 'a text', value: '3000', coldRemainingMs: 0 },
  { name: 'a time without end', value: 1e300, coldRemainingMs: 0 },
  { name: 'null', value: null, coldRemainingMs: 0 },
] as const;

// Guards against a target that is lost because its cold time cannot be read, or that stays cold for ever.
for (const { name, value, coldRemainingMs } of coldCases) {
  void t.test(`the cold time of an entry and a report: ${name}`, (t) => {
    const bytes = encode({ ...ENTRY, coldRemainingMs: value });
    t.equal(decodeInstanceEntry('i', bytes).coldRemainingMs, coldRemainingMs);
    t.equal(decodeReport(bytes).coldRemainingMs, coldRemainingMs);
    t.notOk('coldRemainingMs' in decodeInstance('i', bytes), 'no part of the instance');
    t.end();
  });
}

// Guards against a header of another writer that makes a target cold for ever.
for (const [text, expected] of [
  [undefined, 0],
  ['1500', 1_500],
  ['0', 0],
  ['-5', 0],
  ['soon', 0],
  ['999999999', 0],
  [['1', '2'], 0],
] as const) {
  void t.test(`the cold time of a health answer: ${String(text)}`, (t) => {
    t.equal(decodeColdMs(typeof text === 'object' ? [...text] : text), expected);
    t.end();
  });
}

// Guards against a configuration without cold targets that is refused, or that bounds requests.
void t.test('the cold times of services', (t) => {
  const configuration = createConfiguration(1) as { readonly services: readonly object[] };
  const [service] = configuration.services;
  const decodeService = (fields: object) =>
    decodeConfiguration(encode({ ...configuration, services: [{ ...service, ...fields }] })).services.get(
      'engines',
    );
  t.match(decodeService({}), { coldStartMs: 0, coldRequestsPerS: 0 });
  t.match(decodeService({ coldStartS: 3, coldPerS: 17 }), { coldStartMs: 3_000, coldRequestsPerS: 17 });
  t.end();
});

void t.test('an entry is decoded into an instance', (t) => {
  t.match(decodeInstance('i', encode(ENTRY)), {
    id: 'i',
    failureDomain: 'z',
    fabricDomain: '3',
    stagedModels: ['m'],
    models: ['m'],
    membership: { group: 'g', epoch: 12, rank: 0, state: 'open' },
    startedAtMs: 1_700_000_000_000,
  });
  t.equal(decodeInstance('i', encode({ ...ENTRY, state: 'draining' })).state, 'leaving');
  t.equal(decodeReport(encode(ENTRY)).orderCount, 4);
  t.end();
});

void t.test('a keyed record is split into the key and value that it was encoded from', (t) => {
  fc.assert(
    fc.property(fc.string({ maxLength: 40 }), fc.uint8Array({ minLength: 1 }), (key, value) => {
      const name = Buffer.from(key);
      const record = decodeKeyedRecord(Buffer.concat([Buffer.from([name.length]), name, value]));
      return record.key === name.toString() && Buffer.from(record.value ?? []).equals(Buffer.from(value));
    }),
  );
  t.equal(decodeKeyedRecord(Buffer.from([1, 97])).value, undefined);
  t.end();
});

const DISPATCH = {
  host: 'h',
  remainingMs: 500.7,
  instanceId: 'i-1',
  workspace: 'w',
  lastEventId: undefined,
  urgency: undefined,
};
const headerCases = [
  {
    name: 'ordinary headers are forwarded unchanged',
    raw: ['X-A', '1', 'x-a', '2'],
    has: ['X-A', '1', 'x-a', '2'],
    lacks: [],
  },
  {
    name: "the caller's key is not forwarded",
    raw: ['Authorization', 'Bearer k'],
    has: [],
    lacks: ['Authorization', 'Bearer k'],
  },
  {
    name: "a workspace named by the caller is replaced by the caller's own",
    raw: ['tenant', 'other'],
    has: ['Tenant', 'w'],
    lacks: ['other'],
  },
  {
    name: 'hop-by-hop headers are not forwarded',
    raw: ['Connection', 'close, X-B', 'X-B', '1', 'Keep-Alive', '5'],
    has: [],
    lacks: ['close, X-B', 'X-B', 'Keep-Alive'],
  },
  {
    name: 'the deadline is replaced by the remaining time',
    raw: ['Deadline-Ms', '9000'],
    has: ['Deadline-Ms', '500'],
    lacks: ['9000'],
  },
  {
    name: 'an instance named by the caller is replaced by the chosen one',
    raw: ['Expect-Instance', 'i-9'],
    has: ['Expect-Instance', 'i-1'],
    lacks: ['i-9'],
  },
];
for (const { name, raw, has, lacks } of headerCases) {
  void t.test(`headers to a target: ${name}`, (t) => {
    const encoded = encodeDispatch({ ...DISPATCH, rawHeaders: raw });
    for (const text of has) t.ok(encoded.includes(text), text);
    for (const text of lacks) t.notOk(encoded.includes(text), text);
    t.end();
  });
}

interface HeadCase {
  readonly name: string;
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly expected: Partial<ResponseHead>;
}

const headCases: readonly HeadCase[] = [
  {
    name: 'a 503 marked as not executed is proven not run',
    status: 503,
    headers: { 'not-executed': '1' },
    expected: { isNotRun: true },
  },
  {
    name: 'a 421 of another instance is proven not run',
    status: 421,
    headers: {},
    expected: { isNotRun: true },
  },
  {
    name: 'a 503 without the mark is not proven not run',
    status: 503,
    headers: {},
    expected: { isNotRun: false, isSealed: false },
  },
  {
    name: 'a sealed answer has its length and request id',
    status: 200,
    headers: { 'server-seal': 's', 'content-length': '3', 'attempt-id': 'a' },
    expected: { isSealed: true, contentLength: 3, isFramed: true, requestId: 'a' },
  },
  {
    name: 'a chunked answer is framed and has no length',
    status: 200,
    headers: { 'transfer-encoding': 'chunked' },
    expected: { contentLength: undefined, isFramed: true },
  },
  {
    name: 'an answer without a length is not framed',
    status: 200,
    headers: {},
    expected: { contentLength: undefined, isFramed: false },
  },
  {
    name: 'a 503 names the lost member of the group',
    status: 503,
    headers: { 'not-executed': '1', 'at-server': 'i-3' },
    expected: { faultyInstance: 'i-3' },
  },
  {
    name: 'a limit of requests per second',
    status: 200,
    headers: { 'server-limit': '4.6' },
    expected: { requestsPerS: 4.6 },
  },
  {
    name: 'a target that leaves',
    status: 200,
    headers: { 'server-leaving': '1' },
    expected: { isLeaving: true },
  },
  { name: 'a target that stays', status: 200, headers: {}, expected: { isLeaving: false } },
  {
    name: 'a full target that says for how long',
    status: 503,
    headers: { 'retry-after': '1.5' },
    expected: { pauseMs: 1_500 },
  },
  {
    name: 'a time to come back that is no number of seconds',
    status: 503,
    headers: { 'retry-after': 'Fri, 04 Dec 2026 10:00:00 GMT' },
    expected: { pauseMs: undefined },
  },
  { name: 'no limit', status: 200, headers: {}, expected: { requestsPerS: undefined } },
  ...['-1', '1e308', 'Infinity', '', '4,6'].map((text) => ({
    name: `a limit that is no decimal number: "${text}"`,
    status: 200,
    headers: { 'server-limit': text },
    expected: { requestsPerS: undefined },
  })),
];
for (const { name, status, headers: fields, expected } of headCases) {
  void t.test(`the head of an answer: ${name}`, (t) => {
    t.match(decodeResponseHead(status, fields), expected);
    t.end();
  });
}

interface CallerCase {
  readonly headers: Readonly<Record<string, string>>;
  readonly expected: Partial<CallerRequest>;
}

const callerCases: readonly CallerCase[] = [
  { headers: { 'token-count': '1460,80' }, expected: { size: { promptTokens: 1_460, answerTokens: 80 } } },
  { headers: { 'token-count': 'x' }, expected: { size: { promptTokens: 0, answerTokens: 0 } } },
  { headers: { 'deadline-ms': '-1' }, expected: { timeoutMs: undefined } },
  { headers: { authorization: 'Bearer k1' }, expected: { apiKey: 'k1' } },
  { headers: { authorization: 'Basic k1' }, expected: { apiKey: undefined } },
  { headers: { 'prompt-prefix': '5C1E:800, 91bd:4,e4:2' }, expected: { sharedParts: ['5c1e', '91bd'] } },
  { headers: { 'prompt-prefix': '5c1e:800' }, expected: { sharedParts: [] } },
  { headers: { 'prompt-prefix': '5c1e:800,x' }, expected: { sharedParts: [] } },
  { headers: {}, expected: { sharedParts: [] } },
];
for (const { headers: fields, expected } of callerCases) {
  void t.test(`a caller's headers are decoded: ${JSON.stringify(fields)}`, (t) => {
    t.match(decodeCallerRequest(fields), expected);
    t.end();
  });
}

const homeCases: readonly { readonly name: string; readonly field: object; readonly homes: unknown }[] = [
  { name: 'absent', field: {}, homes: undefined },
  { name: 'empty', field: { allowedRegions: [] }, homes: undefined },
  { name: 'named', field: { allowedRegions: ['north', 'south'] }, homes: ['north', 'south'] },
];

// Guards against home regions that are lost or made up between the operator's configuration and the choice of a target.
for (const { name, field, homes } of homeCases) {
  void t.test(`home regions of routes and workspaces: ${name}`, (t) => {
    const record = createConfiguration(1) as { routes: object[]; tenants: object[] };
    const [route, ...routes] = record.routes;
    const [tenant, ...tenants] = record.tenants;
    const configuration = decodeConfiguration(
      encode({
        ...record,
        routes: [{ ...route, ...field }, ...routes],
        tenants: [{ ...tenant, ...field }, ...tenants],
      }),
    );
    t.same(configuration.routes[0]?.homes, homes);
    t.same(configuration.workspaces?.[0]?.homes, homes);
    t.equal(configuration.routes[1]?.homes, undefined);
    t.end();
  });
}

for (const allowedRegions of ['north', [1], null]) {
  // Guards against a request that leaves its home regions because these cannot be read.
  void t.test(`home regions that cannot be read are an error: ${JSON.stringify(allowedRegions)}`, (t) => {
    const record = createConfiguration(1) as { routes: object[] };
    const routes = record.routes.map((route) => ({ ...route, allowedRegions }));
    t.throws(() => decodeConfiguration(encode({ ...record, routes })), DecodeError);
    t.end();
  });
}
