import t from 'tap';
import { Bench, type Head } from './completionBench.js';

const POLL_MS = 5;
/** Less than the time for which a request waits for a group. */
const ANSWER_WITHIN_MS = 1_500;

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, ms));
}

/** Waits until the heads hold this number of requests. */
async function awaitHeld(heads: readonly Head[], count: number): Promise<void> {
  while (heads.reduce((sum, { answers }) => sum + answers.size, 0) < count) await sleep(POLL_MS);
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
