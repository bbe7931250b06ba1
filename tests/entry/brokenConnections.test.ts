import t from 'tap';
import { Bench, type Head } from './completionBench.js';

const POLL_MS = 5;
/** Requests that a group takes at a time. */
const GROUP_CONCURRENCY = 4;
/** How long a request waits for a group. */
const HELD_WITHIN_MS = 2_000;
/** Less than that. */
const ANSWER_WITHIN_MS = 1_500;

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until the heads hold this number of requests, or for as long as a request waits for a group. */
async function awaitHeld(heads: readonly Head[], count: number): Promise<void> {
  const endsAtMs = performance.now() + HELD_WITHIN_MS;
  while (heads.reduce((sum, { answers }) => sum + answers.size, 0) < count && performance.now() < endsAtMs)
    await sleep(POLL_MS);
}

// An entry whose connections were reset had no group left until a steward answered it again.
void t.test('groups that broke off their requests serve on', async (t) => {
  const reset = (head: Head) => {
    head.resetConnections();
  };
  const cases: readonly {
    readonly name: string;
    readonly groups: number;
    readonly bodies: readonly string[];
    readonly end: (head: Head) => void;
  }[] = [
    { name: 'one group, reset', groups: 1, bodies: ['a'], end: reset },
    {
      name: 'one group, streams cut',
      groups: 1,
      bodies: ['a', 'b'],
      end: ({ answers }) => {
        for (const answer of answers.values()) answer.writeHead(200).end('event');
      },
    },
    { name: 'three groups, all reset', groups: 3, bodies: ['a', 'b', 'c', 'd', 'e', 'f'], end: reset },
  ];
  for (const { name, groups, bodies, end } of cases) {
    const bench = new Bench({ groups });
    await bench.start();
    const caller = new AbortController();
    const broken = bodies.map((body) => bench.complete(body, caller.signal));
    await awaitHeld(bench.heads, bodies.length);
    const isSpread = bench.heads.every(({ answers }) => answers.size > 0);
    t.ok(isSpread, `${name}: each group runs a request`);
    for (const head of bench.heads) {
      head.answerAtOnce();
      end(head);
    }
    await sleep(50);
    const timer = setTimeout(() => {
      caller.abort();
    }, ANSWER_WITHIN_MS);
    const later = await bench.complete('later', caller.signal);
    clearTimeout(timer);
    t.equal(later.kind, 'answered', name);
    t.equal(bench.directory.candidates('m').length, groups, `${name}: groups that serve`);
    caller.abort();
    await Promise.all(broken);
    await bench.stop();
  }
});

// Requests whose connections were reset ran one at a time, as suspects of having broken their groups, until each gave up.
void t.test('requests that were broken off go on once their groups are seen whole', async (t) => {
  const bench = new Bench({ groups: 3 });
  await bench.start();
  const bodies = ['a', 'b', 'c', 'd', 'e', 'f'];
  const outcomes = bodies.map((body) => bench.complete(body));
  await awaitHeld(bench.heads, bodies.length);
  for (const head of bench.heads) head.resetConnections();
  await sleep(50);
  t.equal(bench.suspects.strikes().length, bodies.length, 'each has a strike at first');
  bench.reportWhole();
  t.same(bench.suspects.strikes(), [], 'the strikes are withdrawn');
  await awaitHeld(bench.heads, bodies.length);
  for (const head of bench.heads) {
    for (const answer of head.answers.values()) answer.end('data: {}\n\ndata: [DONE]\n\n');
  }
  const kinds = (await Promise.all(outcomes)).map(({ kind }) => kind);
  t.same(
    kinds,
    bodies.map(() => 'answered'),
  );
  await bench.stop();
});

// A request waited for a group without room until it gave up, while the one that had broken its connection had room.
void t.test('a request goes again to the group that broke it off if the others are full', async (t) => {
  const bench = new Bench({ groups: 2 });
  await bench.start();
  const outcome = bench.complete('a');
  await awaitHeld(bench.heads, 1);
  const [head] = bench.heads.filter(({ answers }) => answers.size > 0);
  const fullGroup = head === bench.head ? 'g2' : 'g';
  for (let request = 0; request < GROUP_CONCURRENCY; request++) bench.directory.loads.begin(fullGroup);
  head?.answerAtOnce();
  head?.resetConnections();
  t.equal((await outcome).kind, 'answered');
  await bench.stop();
});
