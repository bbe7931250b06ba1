import { type AddressInfo, createServer, type Socket } from 'node:net';
import { systemClock } from '@monsoonreach/core';
import { type CallError, TargetConnections } from '@monsoonreach/node';
import t from 'tap';

type Ending =
  { readonly kind: 'end'; readonly body: string } | { readonly kind: 'error'; readonly isUnsent: boolean };

interface Answer {
  readonly name: string;
  readonly isFresh: boolean;
  /** Writes the target's answer to a request. */
  readonly write: (socket: Socket) => void;
  readonly ending: Ending;
}

const HEAD = 'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a\r\n';
const whole = { kind: 'end', body: 'abc' } as const;
const lost = { kind: 'error', isUnsent: false } as const;

const answers: readonly Answer[] = [true, false].flatMap((isFresh): readonly Answer[] => [
  {
    name: 'with a length is complete',
    isFresh,
    write: (socket) => socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc`),
    ending: whole,
  },
  {
    name: 'in chunks is complete',
    isFresh,
    write: (socket) => socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`),
    ending: whole,
  },
  {
    name: 'without a length is complete when its connection is closed',
    isFresh,
    write: (socket) => socket.end(`${HEAD}Connection: close\r\n\r\nabc`),
    ending: whole,
  },
  {
    name: 'without a length is lost when its connection is reset',
    isFresh,
    write: (socket) =>
      socket.write(`${HEAD}Connection: close\r\n\r\nab`, () =>
        setTimeout(() => socket.resetAndDestroy(), 50),
      ),
    ending: lost,
  },
  {
    name: 'without a length is lost when the reset directly follows its bytes',
    isFresh,
    write: (socket) => {
      socket.write(`${HEAD}Connection: close\r\n\r\nab`);
      socket.resetAndDestroy();
    },
    ending: lost,
  },
  {
    name: 'shorter than its length is lost',
    isFresh,
    write: (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\nabc`),
    ending: lost,
  },
  {
    name: 'without a last chunk is lost',
    isFresh,
    write: (socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`),
    ending: lost,
  },
  {
    name: 'that is not HTTP is lost',
    isFresh,
    write: (socket) => socket.end('garbage\r\n\r\n'),
    ending: lost,
  },
  {
    name: 'that was not sent before the connection closed is lost',
    isFresh,
    write: (socket) => socket.end(),
    ending: lost,
  },
]);

function callTarget(address: string, isFresh: boolean): Promise<Ending> {
  const connections = new TargetConnections(systemClock);
  let body = '';
  return new Promise((resolve) => {
    connections.open(
      { address, method: 'POST', path: '/', headers: ['Attempt-Id', 'a'], body: Buffer.from('{}'), isFresh },
      {
        onHead: () => undefined,
        onData: (chunk) => (body += chunk.toString()),
        onEnd: () => {
          resolve({ kind: 'end', body });
        },
        onError: (error: CallError) => {
          resolve({ kind: 'error', isUnsent: error.isUnsent });
        },
      },
    );
  }).finally(() => {
    connections.closeUnused(0);
  }) as Promise<Ending>;
}

for (const answer of answers) {
  void t.test(`an answer ${answer.name}${answer.isFresh ? ', on a fresh connection' : ''}`, async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        answer.write(socket);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    t.same(await callTarget(`127.0.0.1:${port}`, answer.isFresh), answer.ending);
    server.close();
  });
}

void t.test('a request on a refused connection is known to be unsent', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  t.same(await callTarget(`127.0.0.1:${port}`, true), { kind: 'error', isUnsent: true });
});

/** Serves one request on each connection and then does this to the connection when it gets another. */
async function callTwice(handleSecond: (socket: Socket) => void): Promise<CallError | 'answered'> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc`);
      socket.once('data', () => {
        handleSecond(socket);
      });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  const connections = new TargetConnections(systemClock);
  const call = () =>
    new Promise<CallError | 'answered'>((resolve) => {
      connections.open(
        {
          address: `127.0.0.1:${port}`,
          method: 'GET',
          path: '/',
          headers: ['Attempt-Id', 'a'],
          body: undefined,
          isFresh: false,
        },
        {
          onHead: () => undefined,
          onData: () => undefined,
          onEnd: () => {
            resolve('answered');
          },
          onError: resolve,
        },
      );
    });
  await call();
  await new Promise((resolve) => setTimeout(resolve, 20));
  const result = await call();
  connections.closeUnused(0);
  server.close();
  return result;
}

const secondCalls = [
  {
    name: 'a target that has closed an idle connection is not to blame',
    handle: (socket: Socket) => socket.resetAndDestroy(),
    isStale: true,
  },
  {
    name: 'a target that resets a connection after some time may have run the request',
    handle: (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 60),
    isStale: false,
  },
  {
    name: 'a target that begins to answer is to blame for the rest',
    handle: (socket: Socket) => {
      socket.write(`${HEAD}Content-Length: 9\r\n\r\nabc`);
      setTimeout(() => socket.resetAndDestroy(), 5);
    },
    isStale: false,
  },
  // Guards against a third attempt, at the target that has just broken off the first, whose crash is not looked for.
  {
    name: 'a target that stops inside the head of its answer is to blame',
    handle: (socket: Socket) => socket.end(`${HEAD}Content-Le`),
    isStale: false,
  },
];

for (const { name, handle, isStale } of secondCalls) {
  void t.test(name, async (t) => {
    const result = await callTwice(handle);
    if (result === 'answered') throw new Error('Expected the second call to fail.');
    t.equal(result.failure === 'stale', isStale);
    t.equal(result.isUnsent, false);
  });
}

// Guards against connections that a node opens, and a target counts, for calls that are over.
for (const isFresh of [true, false]) {
  void t.test(
    `a cancelled call leaves no connection${isFresh ? ', on a fresh connection' : ''}`,
    async (t) => {
      const sockets = new Set<Socket>();
      let accepted = 0;
      const server = createServer((socket) => {
        accepted++;
        sockets.add(socket);
        socket.on('error', () => undefined);
        socket.on('close', () => sockets.delete(socket));
        socket.once('data', () => socket.write(`${HEAD}Content-Length: 9\r\n\r\nabc`));
      });
      await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
      const { port } = server.address() as AddressInfo;
      const connections = new TargetConnections(systemClock);
      await new Promise<void>((resolve) => {
        const call = connections.open(
          { address: `127.0.0.1:${port}`, method: 'GET', path: '/', headers: [], body: undefined, isFresh },
          {
            onHead: () => undefined,
            onData: () => {
              call.cancel();
              resolve();
            },
            onEnd: () => undefined,
            onError: () => undefined,
          },
        );
      });
      await new Promise((resolve) => setTimeout(resolve, 100));
      t.equal(accepted, 1);
      t.equal(sockets.size, 0);
      connections.closeUnused(0);
      server.close();
    },
  );
}
