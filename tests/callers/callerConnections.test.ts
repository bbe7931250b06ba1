import { createServer, type Server } from 'node:http';
import { CallerConnections } from '@monsoonreach/callers/connections';
import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';

/** Size of an answer that no socket buffers whole, in bytes. */
const LARGE_ANSWER_BYTES = 32_000_000;

async function listen(server: Server): Promise<string> {
  const [port = 0] = await findFreePorts(1);
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  return `127.0.0.1:${port}`;
}

// Guards against an answer that loses its tail because its server closes while the caller reads slowly.
void t.test('a closing server sends an answer that has ended but not left', async (t) => {
  const connections = new CallerConnections(systemClock);
  const server = createServer((_request, response) => {
    connections.startRequest(response);
    response.end(Buffer.alloc(LARGE_ANSWER_BYTES, 'x'));
  });
  connections.attach(server);
  const slow = await RawCaller.connect(await listen(server));
  slow.write(formatRequest({ method: 'GET', path: '/', headers: {} }));
  slow.pause();
  await sleep(300);
  connections.closeAfterAnswers();
  server.close();
  await sleep(300);
  t.equal(connections.size, 1);
  t.equal(connections.listOpenRequests().length, 1);
  slow.resume();
  await slow.waitForClose();
  t.equal(slow.received.length - slow.received.indexOf('\r\n\r\n') - 4, LARGE_ANSWER_BYTES);
  t.equal(connections.size, 0);
});

const GET = formatRequest({ method: 'GET', path: '/', headers: {} });

const lateRequests = [
  { name: 'a request sent at once is answered', pauseMs: 0, isClosing: false },
  { name: 'a request sent at once is answered while the server closes', pauseMs: 0, isClosing: true },
  { name: 'a connection that stays idle is closed', pauseMs: 1_000, isClosing: false },
];

// Guards against requests that are reset because they cross the end of a connection that was not announced.
for (const { name, pauseMs, isClosing } of lateRequests) {
  void t.test(`after an answer that did not announce the end of its connection, ${name}`, async (t) => {
    const connections = new CallerConnections(systemClock);
    let answered = 0;
    const server = createServer((_request, response) => {
      connections.startRequest(response);
      response.writeHead(200, ++answered === 1 ? {} : { Connection: 'close' });
      response.write('first');
      setTimeout(() => response.end('last'), 100);
    });
    connections.attach(server);
    const caller = await RawCaller.connect(await listen(server));
    caller.write(GET);
    await caller.waitForText('first');
    connections.closeAfterAnswers();
    if (isClosing) server.close();
    await caller.waitForText('last');
    await sleep(pauseMs);
    const isOpen = caller.closedAtMs === undefined;
    t.equal(isOpen, pauseMs === 0);
    if (isOpen) caller.write(GET);
    await caller.waitForClose();
    t.equal(caller.received.split('last').length - 1, isOpen ? 2 : 1);
    server.close();
  });
}
