import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller, type RawRequest } from '../support/rawHttp.js';
import { RawFleet } from './rawFleet.js';

const fleet = new RawFleet();

const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
const EVENT = 'id: 1\ndata: 1\n\n';
const KEPT = 'Content-Length: 2\r\n';

const framings = {
  chunked: {
    begin: ({ socket, id }: RawRequest) =>
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n${toChunk(EVENT)}`,
      ),
  },
  unframed: {
    begin: ({ socket, id }: RawRequest) =>
      socket.write(
        `HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nConnection: close\r\n\r\n${EVENT}`,
      ),
  },
} as const;

void t.test('bytes of callers that are no request', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });

  for (const [framing, { begin }] of Object.entries(framings)) {
    // Guards against an answer of the node's own inside a target's answer.
    await t.test(`sent during an answer, ${framing}`, async (t) => {
      await fleet.setHandler(begin);
      const caller = new RawCaller(fleet.address);
      const exchange = caller.exchange(`${fleet.createHead('/once/', { headers: KEPT })}{}`, 1_500);
      await sleep(100);
      caller.socket.write('garbage\r\n\r\n');
      const { body, ending, isComplete } = await exchange;
      t.equal(body, EVENT);
      t.notOk(isComplete);
      t.not(ending, 'none');
      await sleep(50);
      t.ok(fleet.targets.every(({ requests }) => requests.every(({ socket }) => socket.destroyed)));
    });
  }

  await t.test('sent while a request waits for its answer', async (t) => {
    await fleet.setHandler(() => undefined);
    const caller = new RawCaller(fleet.address);
    const exchange = caller.exchange(`${fleet.createHead('/order/', { headers: KEPT })}{}`, 1_400);
    await sleep(100);
    caller.socket.write('garbage\r\n\r\n');
    const { status, ending } = await exchange;
    t.equal(status, 0, 'the request may have been run, so that 400 would be wrong');
    t.not(ending, 'none');
    await sleep(50);
    t.ok(fleet.targets.every(({ requests }) => requests.every(({ socket }) => socket.destroyed)));
  });

  await t.test('sent instead of a request', async (t) => {
    const { status } = await new RawCaller(fleet.address).exchange('garbage\r\n\r\n');
    t.equal(status, 400);
  });
});
