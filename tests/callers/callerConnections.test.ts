import { createServer } from 'node:http';
import { CallerConnections } from '@monsoonreach/callers/connections';
import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';

/** Size of an answer that no socket buffers whole, in bytes. */
const LARGE_ANSWER_BYTES = 32_000_000;

// Guards against an answer that loses its tail because its server closes while the caller reads slowly.
void t.test('a closing server sends an answer that has ended but not left', async (t) => {
  const connections = new CallerConnections(systemClock);
  const server = createServer((_request, response) => {
    connections.startRequest(response);
    response.end(Buffer.alloc(LARGE_ANSWER_BYTES, 'x'));
  });
  connections.attach(server);
  const [port = 0] = await findFreePorts(1);
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve));
  const slow = await RawCaller.connect(`127.0.0.1:${port}`);
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
