import t from 'tap';
import { sleep } from '../standins/http.js';
import { type RawRequest, RawCaller, type RawTarget, readHeader } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

/** Time from the end of a target until it listens again. */
const RESTART_MS = 150;
/** Time until all nodes have read that a target has started again. */
const LIST_SPREAD_MS = 900;
/** Attempts of one request, at the nodes in turn. */
const ATTEMPTS = 8;
/** Targets that one request may end: the rules bound what is sent after the third. */
const MAX_ENDS = 3;
const EVENT_INTERVAL_MS = 50;

/** How a target ends under a request: when, and for how long its port accepts connections after its own have ended. */
interface End {
  readonly afterHeadMs: number | 'before-head';
  readonly acceptsForMs: number | 'always';
}

const fleet = new RawFleet();
let endCount = 0;

function endTarget(target: RawTarget, { acceptsForMs }: End): void {
  endCount++;
  if (acceptsForMs === 'always') {
    // As behind a proxy on the host: only the connections end, and another start is announced.
    target.reset(target.handle);
    setTimeout(() => {
      fleet.announceTarget(target);
    }, RESTART_MS);
    return;
  }
  if (acceptsForMs > 0) target.reset(target.handle);
  setTimeout(() => {
    target.crash();
    setTimeout(() => void fleet.startTarget(target), RESTART_MS);
  }, acceptsForMs);
}

/** Streams `events` events from the one after Last-Event-Id on. */
function writeStream({ socket, id, head }: RawRequest, events: number): void {
  socket.write(
    `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
  );
  let next = Number(readHeader(head, 'last-event-id') ?? 0) + 1;
  const last = next + events;
  const timer = setInterval(() => {
    if (socket.destroyed) clearInterval(timer);
    else if (next < last) socket.write(toChunk(`id: ${next}\ndata: x\n\n`));
    else {
      clearInterval(timer);
      socket.write('0\r\n\r\n');
    }
    next++;
  }, EVENT_INTERVAL_MS);
}

function toChunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Ends the target in this way under requests to `marker`, and answers all others. */
async function endOn(marker: string, end: End): Promise<void> {
  endCount = 0;
  await fleet.setHandler(() => undefined);
  for (const target of fleet.targets) {
    target.handle = (request) => {
      const isStream = /^POST \/(stream|once)\//.test(request.head);
      const isMarked = request.head.includes(`/${marker} `);
      if (isStream && end.afterHeadMs !== 'before-head') writeStream(request, isMarked ? 100 : 3);
      else if (!isMarked && isStream) writeStream(request, 3);
      else if (!isMarked)
        request.socket.write(
          `HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${request.id}\r\nContent-Length: 2\r\n\r\nok`,
        );
      if (!isMarked) return;
      const delayMs = end.afterHeadMs === 'before-head' ? 0 : end.afterHeadMs;
      setTimeout(() => {
        endTarget(target, end);
      }, delayMs);
    };
  }
}

async function send(node: string, prefix: RoutePrefix, path: string) {
  const headers = 'Content-Length: 2\r\nConnection: close\r\n';
  return new RawCaller(node).exchange(`${fleet.createHead(prefix, { path, headers })}{}`);
}

const addresses = await fleet.startNodes(3);
t.teardown(() => {
  fleet.store.stop();
  setTimeout(() => process.exit(), 100);
});

const CONNECTIONS_FIRST = { afterHeadMs: 'before-head', acceptsForMs: 20 } as const;
const BEFORE_HEAD = { afterHeadMs: 'before-head', acceptsForMs: 0 } as const;
const BEHIND_PROXY = { afterHeadMs: 'before-head', acceptsForMs: 'always' } as const;
const afterHead = (afterHeadMs: number) => ({ afterHeadMs, acceptsForMs: 0 }) as const;

const cases: readonly { readonly name: string; readonly prefix: RoutePrefix; readonly end: End }[] = [
  { name: 'connections first, idempotent call', prefix: '/status/', end: CONNECTIONS_FIRST },
  { name: 'connections first, call that may run once', prefix: '/order/', end: CONNECTIONS_FIRST },
  { name: 'connections first, resumable stream', prefix: '/stream/', end: CONNECTIONS_FIRST },
  { name: 'behind a proxy, idempotent call', prefix: '/status/', end: BEHIND_PROXY },
  { name: 'behind a proxy, call that may run once', prefix: '/order/', end: BEHIND_PROXY },
  { name: 'before the head, resumable stream', prefix: '/stream/', end: BEFORE_HEAD },
  { name: 'before the head, other stream', prefix: '/once/', end: BEFORE_HEAD },
  { name: '400 ms into a resumable stream', prefix: '/stream/', end: afterHead(400) },
  { name: '400 ms into another stream', prefix: '/once/', end: afterHead(400) },
  { name: '1 s into a resumable stream', prefix: '/stream/', end: afterHead(1_000) },
];

// Guards against a request that ends targets without bound because their end is not seen at once, or comes too early or
// too late in the answer to be taken for its doing.
void t.test('a request that ends its targets in any way is refused once three have ended', async (t) => {
  for (const [index, { name, prefix, end }] of cases.entries()) {
    await t.test(name, async (t) => {
      const path = `deadly-${index}`;
      await endOn(path, end);
      const statuses: number[] = [];
      for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
        const endsBefore = endCount;
        const { status } = await send(addresses[attempt % addresses.length] ?? '', prefix, path);
        statuses.push(status);
        if (endCount > endsBefore) await sleep(LIST_SPREAD_MS);
      }
      t.ok(endCount <= MAX_ENDS, `${endCount} targets ended; statuses: ${statuses.join(' ')}`);
      t.equal(statuses.at(-1), 503);
      for (const address of addresses) t.equal((await send(address, prefix, 'sound')).status, 200);
    });
  }
});

// Guards against refusing sound requests that were in progress at targets which ended for a reason of their own.
void t.test(
  'requests in progress at targets that end by themselves are served when they come again',
  async (t) => {
    await endOn('none', BEFORE_HEAD);
    const paths = Array.from({ length: 24 }, (_, index) => `crowd-${index}`);
    const pending = paths.map((path, index) =>
      send(addresses[index % addresses.length] ?? '', '/stream/', path),
    );
    await sleep(60);
    for (const target of fleet.targets) {
      endTarget(target, BEFORE_HEAD);
      await sleep(LIST_SPREAD_MS);
    }
    await Promise.all(pending);
    for (const [index, path] of paths.entries()) {
      const { status } = await send(addresses[index % addresses.length] ?? '', '/stream/', path);
      t.equal(status, 200, path);
    }
  },
);
