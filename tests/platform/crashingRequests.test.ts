import t from 'tap';
import { sleep } from '../standins/http.js';
import type { RawTarget } from '../support/rawHttp.js';
import { type RawRequest, RawCaller } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

/** Time from a crash until the target listens again. */
const RESTART_MS = 150;
/** Time until all nodes have read that a target has started again. */
const LIST_SPREAD_MS = 900;
/** Crashes that show what a request does: one may have any reason. */
const MAX_CRASHES = 2;
/** The same for a part of prompts, which many sound requests may share. */
const MAX_PART_CRASHES = 3;

const fleet = new RawFleet();
let crashCount = 0;

/** Ends the target under requests with this in their head, and answers all others. */
async function crashOn(marker: string): Promise<void> {
  crashCount = 0;
  const answer = (target: RawTarget, { socket, id, head }: RawRequest) => {
    if (!head.includes(marker)) {
      socket.write(`HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: ${id}\r\nContent-Length: 2\r\n\r\nok`);
      return;
    }
    crashCount++;
    target.crash();
    setTimeout(() => void fleet.startTarget(target), RESTART_MS);
  };
  await fleet.setHandler(() => undefined);
  for (const target of fleet.targets) {
    target.handle = (request) => {
      answer(target, request);
    };
  }
}

async function send(node: string, prefix: RoutePrefix, path: string, parts?: string): Promise<number> {
  const prompt = parts === undefined ? '' : `Prompt-Prefix: ${parts}\r\n`;
  const headers = `Content-Length: 2\r\nConnection: close\r\n${prompt}`;
  return (await new RawCaller(node).exchange(`${fleet.createHead(prefix, { path, headers })}{}`)).status;
}

const addresses = await fleet.startNodes(3);
t.teardown(() => {
  fleet.store.stop();
  setTimeout(() => process.exit(), 100);
});

const cases = [
  { name: 'at one node', prefix: '/status/', path: 'deadly-1', nodes: [0, 0, 0, 0] },
  { name: 'at any node', prefix: '/status/', path: 'deadly-2', nodes: [0, 1, 2, 1, 0] },
  { name: 'that may run only once', prefix: '/order/', path: 'deadly-3', nodes: [0, 1, 2, 0, 2] },
] as const;

// Guards against a request that ends one target after the other, because no node knows it when it comes again.
void t.test('a request that crashes its targets is refused once two have crashed', async (t) => {
  for (const { name, prefix, path, nodes } of cases) {
    await t.test(name, async (t) => {
      await crashOn(path);
      const statuses: number[] = [];
      for (const node of nodes) {
        const crashesBefore = crashCount;
        statuses.push(await send(addresses[node] ?? '', prefix, path));
        if (crashCount > crashesBefore) await sleep(LIST_SPREAD_MS);
      }
      t.equal(crashCount, MAX_CRASHES);
      t.equal(statuses.at(-1), 503, `statuses: ${statuses.join(' ')}`);
      for (const address of addresses) t.equal(await send(address, prefix, 'sound'), 200);
    });
  }
});

const partCases = [
  { name: 'in requests that are retried', prefix: '/status/', part: 'bad1' },
  { name: 'in requests that may run only once', prefix: '/order/', part: 'bad2' },
] as const;

// Guards against a part of prompts that ends one target after the other, in requests of which no two are alike.
void t.test('requests with a part that crashes targets are refused once three have crashed', async (t) => {
  for (const [index, { name, prefix, part }] of partCases.entries()) {
    await t.test(name, async (t) => {
      await crashOn(`${part}:40`);
      const statuses: number[] = [];
      const soundStatuses: number[] = [];
      for (let round = 0; round < 6; round++) {
        const node = addresses[round % addresses.length] ?? '';
        const crashesBefore = crashCount;
        const own = `${index}${round}`;
        statuses.push(await send(node, prefix, `part-${own}`, `5eed:40,${part}:40,${own}:9`));
        if (crashCount > crashesBefore) await sleep(LIST_SPREAD_MS);
        soundStatuses.push(await send(node, prefix, `sound-${own}`, `5eed:40,fee${own}:40,${own}:9`));
      }
      t.equal(crashCount, MAX_PART_CRASHES);
      t.equal(statuses.at(-1), 503, `statuses: ${statuses.join(' ')}`);
      t.ok(
        soundStatuses.every((status) => status === 200),
        `sound requests with the same beginning: ${soundStatuses.join(' ')}`,
      );
    });
  }
});
