import t from 'tap';
import type { ControlStream } from '../steward/stewardFixtures.js';
import { Bench, OTHER_MEMBER, readParts } from './completionBench.js';

const EVENT = (id: number) => `id: ${id}\ndata: {"n":${id}}\n\n`;

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
