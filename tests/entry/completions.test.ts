import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CompletionAnswer } from '@monsoonreach/callers';
import {
  type Configuration,
  Counters,
  CrashSuspects,
  createRandom,
  type Outcome,
  RetryBudgets,
  systemClock,
  Undispatched,
  WHOLE_LEASE_MS,
} from '@monsoonreach/core';
import {
  Completions,
  DrainWindow,
  type EntryContext,
  GroupDirectory,
  RequestTraces,
} from '@monsoonreach/entry';
import { TargetClients } from '@monsoonreach/targets';
import t from 'tap';
import { listen, readText } from '../standins/http.js';
import { ControlStream, createConfiguration } from '../steward/stewardFixtures.js';

const OTHER_MEMBER = '127.0.0.1:1';
const EVENT = (id: number) => `id: ${id}\ndata: {"n":${id}}\n\n`;

/** A head that holds each answer until the test ends it. */
class Head {
  readonly answers = new Map<string, ServerResponse>();
  private _server: Server | undefined;

  async start(): Promise<string> {
    this._server = await listen(async (request, response) => {
      const text = await readText(request);
      response.setHeader('x-request-id', String(request.headers['x-request-id']));
      this.answers.set(text, response);
    }, 0);
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
  }

  async awaitAnswer(body: string): Promise<ServerResponse> {
    for (;;) {
      const response = this.answers.get(body);
      if (response) return response;
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  /** Refuses new connections; those in use stay open. */
  refuseConnections(): void {
    this._server?.close();
  }

  stop(): void {
    this._server?.closeAllConnections();
    this._server?.close();
  }
}

function createEngineConfiguration(resumes: boolean): Configuration {
  const configuration = createConfiguration({ checksFencing: true });
  const engines = Object.entries(configuration.engine).map(
    ([name, engine]) => [name, { ...engine, resumes }] as const,
  );
  return { ...configuration, engine: Object.fromEntries(engines) };
}

/** Completions at one group of two, whose head is real. */
class Bench {
  readonly head = new Head();
  readonly stream = new ControlStream();
  readonly suspects: CrashSuspects;
  readonly directory: GroupDirectory;
  private readonly _targets = new TargetClients();
  private readonly _completions: Completions;
  private _epoch = 0;

  constructor(options: { readonly resumes: boolean } = { resumes: false }) {
    const clock = systemClock;
    const configuration = createEngineConfiguration(options.resumes);
    this.suspects = new CrashSuspects(clock);
    this.directory = new GroupDirectory({
      clock,
      groups: () => this.stream.groups,
      configuration: () => configuration,
      isLeaving: () => false,
      regionOf: () => 'r',
    });
    this.directory.onLost((group) => this.suspects.recordGroupLoss(group));
    const fleet = { membership: { members: () => [] } } as unknown as EntryContext['fleet'];
    const context: EntryContext = {
      clock,
      counters: new Counters(),
      random: createRandom(1),
      traces: new RequestTraces(clock),
      targets: this._targets,
      directory: this.directory,
      suspects: this.suspects,
      retryBudgets: new RetryBudgets({ share: () => 0 }),
      fleet,
      drainWindow: new DrainWindow(clock),
      configuration: () => configuration,
      recordRequestLoss: (fingerprint, group) => this.suspects.recordRequestLoss(fingerprint, group),
    };
    this._completions = new Completions(context, 'r');
  }

  async start(): Promise<void> {
    this._epoch = this.stream.form('g', [await this.head.start(), OTHER_MEMBER]);
    this.reportWhole();
  }

  /** Applies a steward's report that all members have just been seen. */
  reportWhole(): void {
    const lease = {
      group: 'g',
      epoch: BigInt(this._epoch),
      remainingMs: WHOLE_LEASE_MS,
      inFlight: 0,
      loadAgeMs: 0,
    };
    this.directory.renewLeases(systemClock.monotonic(), [
      { $typeName: 'monsoonreach.v1.GroupLease', ...lease, missing: [] },
    ]);
  }

  complete(body: string, signal = new AbortController().signal): Promise<Outcome<CompletionAnswer>> {
    return this._completions.complete(
      { model: 'm', isStreaming: true, body },
      { requestId: `id-${body}`, workspace: 'w', signal, undispatched: new Undispatched() },
    );
  }

  async stop(): Promise<void> {
    await this._targets.close();
    this.head.stop();
  }
}

/** The parts of a stream after its first event, which the head has sent. */
async function readParts(outcome: Outcome<CompletionAnswer>): Promise<readonly string[]> {
  if (outcome.kind !== 'answered' || outcome.answer.kind !== 'stream') throw new Error('There is no stream.');
  const parts: string[] = [];
  for await (const part of outcome.answer.events) parts.push(part.kind === 'event' ? part.data : part.kind);
  return parts;
}

// One reset connection, or one that the head did not take, ended every other stream of its group.
void t.test('a stream goes on when another request of its group fails', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly fail: (bench: Bench) => Promise<void>;
    /** Number of requests with a strike: at most the one that failed. */
    readonly struck: number;
  }[] = [
    {
      name: 'reset',
      fail: async ({ head }) => void (await head.awaitAnswer('b')).socket?.resetAndDestroy(),
      struck: 1,
    },
    {
      name: 'closed without an answer',
      fail: async ({ head }) => void (await head.awaitAnswer('b')).destroy(),
      struck: 1,
    },
    {
      name: 'cut in the middle',
      fail: async ({ head }) => {
        const response = await head.awaitAnswer('b');
        response.writeHead(200, { 'content-type': 'text/event-stream' });
        response.end(EVENT(0));
      },
      struck: 1,
    },
    {
      name: 'refused as full',
      fail: async ({ head }) => void (await head.awaitAnswer('b')).writeHead(503).end(),
      struck: 0,
    },
    {
      name: 'refused as one too many',
      fail: async ({ head }) => void (await head.awaitAnswer('b')).writeHead(429).end(),
      struck: 0,
    },
    {
      name: 'refused as invalid',
      fail: async ({ head }) => void (await head.awaitAnswer('b')).writeHead(400).end(),
      struck: 0,
    },
  ];
  for (const { name, fail, struck } of cases) {
    const bench = new Bench();
    await bench.start();
    const first = bench.complete('a');
    const answer = await bench.head.awaitAnswer('a');
    answer.write(EVENT(0));
    const stream = await first;
    const caller = new AbortController();
    const second = bench
      .complete('b', caller.signal)
      .then(readParts)
      .catch(() => undefined);
    await fail(bench);
    await new Promise((resolve) => setTimeout(resolve, 100));
    t.equal(bench.suspects.strikes().length, struck, `${name}: requests with a strike`);
    answer.write(EVENT(1));
    answer.end('data: [DONE]\n\n');
    t.same(await readParts(stream), ['{"n":0}', '{"n":1}'], name);
    caller.abort();
    await second;
    await bench.stop();
  }
});

void t.test('a stream goes on when its head refuses new connections', async (t) => {
  const bench = new Bench();
  await bench.start();
  const first = bench.complete('a');
  const answer = await bench.head.awaitAnswer('a');
  answer.write(EVENT(0));
  const stream = await first;
  bench.head.refuseConnections();
  const caller = new AbortController();
  const second = bench.complete('b', caller.signal);
  await new Promise((resolve) => setTimeout(resolve, 100));
  answer.write(EVENT(1));
  answer.end('data: [DONE]\n\n');
  t.same(await readParts(stream), ['{"n":0}', '{"n":1}']);
  t.same(bench.suspects.strikes(), []);
  t.same(bench.directory.candidates('m'), [], 'the group gets no new request');
  caller.abort();
  await second;
  await bench.stop();
});

// A stream that was cut in a planned end of its group counted as one that had broken the group.
void t.test('a stream that breaks off counts against its request only at a group that stays', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly prepare: (stream: ControlStream) => void;
    readonly strikes: number;
  }[] = [
    { name: 'the group stays', prepare: () => undefined, strikes: 1 },
    { name: 'the group was dissolved', prepare: (stream) => stream.dissolve('g'), strikes: 0 },
    {
      name: 'a member is drained',
      prepare: (stream) => stream.write({ kind: 'drain', address: OTHER_MEMBER, isLeaving: true }),
      strikes: 0,
    },
  ];
  for (const { name, prepare, strikes } of cases) {
    const bench = new Bench();
    await bench.start();
    const caller = new AbortController();
    const first = bench.complete('a', caller.signal);
    const answer = await bench.head.awaitAnswer('a');
    answer.write(EVENT(0));
    const parts = readParts(await first);
    prepare(bench.stream);
    answer.destroy();
    t.same(await parts, ['{"n":0}', 'failed'], name);
    t.equal(bench.suspects.strikes().length, strikes, `${name}: strikes`);
    await bench.stop();
  }
});

// An engine's refusal of a streaming request was read as a stream that broke off, and its group as lost.
void t.test('an error that a head answers to a streaming request reaches the caller', async (t) => {
  for (const status of [400, 413, 422, 429]) {
    const bench = new Bench();
    await bench.start();
    const outcome = bench.complete('a');
    const answer = await bench.head.awaitAnswer('a');
    answer.writeHead(status, { 'content-type': 'application/json' }).end('{"error":"no"}');
    t.match(await outcome, { kind: 'answered', answer: { kind: 'whole', status } }, `status ${status}`);
    t.same(bench.suspects.strikes(), [], `status ${status}: no strike`);
    t.equal(bench.directory.candidates('m').length, 1, `status ${status}: the group serves`);
    await bench.stop();
  }
});

void t.test(
  'a head that refuses to resume a stream is not lost, and the stream ends as failed',
  async (t) => {
    const bench = new Bench({ resumes: true });
    await bench.start();
    const first = bench.complete('a');
    const answer = await bench.head.awaitAnswer('a');
    bench.head.answers.clear();
    answer.write(EVENT(0));
    const parts = readParts(await first);
    answer.destroy();
    await new Promise((resolve) => setTimeout(resolve, 50));
    bench.reportWhole();
    const strikes = bench.suspects.strikes();
    for (let attempt = 2; attempt <= 4; attempt++) {
      const refusal = await bench.head.awaitAnswer('a');
      bench.head.answers.clear();
      refusal.writeHead(400).end();
    }
    t.same(await parts, ['{"n":0}', 'failed']);
    t.same(bench.suspects.strikes(), strikes, 'no further strike');
    t.equal(bench.directory.candidates('m').length, 1, 'the group serves');
    await bench.stop();
  },
);
