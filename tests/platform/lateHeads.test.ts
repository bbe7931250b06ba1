import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawHttp.js';
import { RawFleet } from './rawFleet.js';

const fleet = new RawFleet();
const LATE_HEAD = Object.assign(new Error('Request timeout'), { code: 'ERR_HTTP_REQUEST_TIMEOUT' });

const cases = [
  { name: 'an unused connection', sentBefore: '', received: /^$/ },
  {
    name: 'a connection with a part of a head',
    sentBefore: 'POST /order/ HTTP/1.1\r\n',
    received: /^HTTP\/1\.1 408 /,
  },
];

// Guards against an order that is run though its caller was told that it never will be: the node had answered 408 on its
// connection because the head came late, and then read the order.
void t.test('a request that arrives as its connection is given up is not run', async (t) => {
  await fleet.start();
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  const { _server: server } = (fleet.nodes[0] as unknown as { _front: { _server: Server } })._front;
  for (const { name, sentBefore, received } of cases) {
    await t.test(name, async (t) => {
      await fleet.setHandler(({ socket }) => socket.destroy());
      const accepted = new Promise<Socket>((resolve) => {
        server.once('connection', resolve);
      });
      const caller = new RawCaller(fleet.address);
      const connection = await accepted;
      if (sentBefore !== '') caller.socket.write(sentBefore);
      await sleep(50);
      const order = fleet.createHead('/order/', { headers: 'Content-Length: 0\r\n' });
      caller.socket.write(sentBefore === '' ? order : order.slice(order.indexOf('\r\n') + 2));
      server.emit('clientError', LATE_HEAD, connection);
      await sleep(300);
      t.match(caller.text, received);
      t.same(
        fleet.targets.flatMap(({ requests }) => requests),
        [],
      );
      t.ok(connection.destroyed);
    });
  }
});
