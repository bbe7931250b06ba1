import { type AddressInfo, connect, createServer } from 'node:net';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { findFreePorts } from '../support/ports.js';
import { FaultProxy } from './faultProxy.js';

const CONNECTIONS = 200;

/** Connects and resolves with whether the connection was reset rather than ended. */
function isReset(port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    socket.write('request');
    socket.resume();
    socket.on('error', () => {
      resolve(true);
    });
    // A reset directly after the last bytes arrives as 'end', but a reset socket has no remote address.
    socket.on('end', () => {
      resolve(socket.remoteAddress === undefined);
    });
  });
}

for (const { name, isResetting } of [
  { name: 'a server that resets its connection right after its last bytes', isResetting: true },
  { name: 'a server that ends its connection', isResetting: false },
]) {
  void t.test(`the proxy passes on how a connection ended: ${name}`, async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        socket.write('abc');
        if (isResetting) socket.resetAndDestroy();
        else socket.end();
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const [port = 0] = await findFreePorts(1);
    const proxy = new FaultProxy(() => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await proxy.listen(port);
    const resets = await Promise.all(Array.from({ length: CONNECTIONS }, () => isReset(port)));
    t.equal(resets.filter((wasReset) => wasReset === isResetting).length, CONNECTIONS);
    proxy.close();
    server.close();
  });
}

// Guards against a silence that another fault ends, and against bytes that a silence loses.
void t.test(
  'the proxy holds bytes until the last of several silences ends, then delivers them',
  async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.pipe(socket);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const [port = 0] = await findFreePorts(1);
    const proxy = new FaultProxy(() => `127.0.0.1:${(server.address() as AddressInfo).port}`);
    await proxy.listen(port);
    const socket = connect(port, '127.0.0.1');
    let echoed = '';
    socket.on('data', (chunk) => {
      echoed += String(chunk);
    });
    socket.write('before ');
    await sleep(100);
    const short = proxy.silence(100);
    const long = proxy.silence(400);
    socket.write('during ');
    await short;
    await sleep(100);
    t.equal(echoed, 'before ');
    socket.write('later');
    await long;
    await sleep(100);
    t.equal(echoed, 'before during later');
    socket.destroy();
    proxy.close();
    server.close();
  },
);
