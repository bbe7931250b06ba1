import { type AddressInfo, createServer, type Socket } from 'node:net';
import { systemClock } from '@monsoonreach/core';
import { type CallError, TargetConnections } from '@monsoonreach/node';
import t from 'tap';

type Ending =
  { readonly kind: 'end'; readonly body: string } | { readonly kind: 'error'; readonly isUnsent: boolean };

interface Answer {
  readonly name: string;
  readonly isFresh: boolean;
  /** Writes the target's answer once the request has come. */
  readonly write: (socket: Socket) => void;
  readonly ending: Ending;
}

const HEAD = 'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: a\r\n';
const whole = { kind: 'end', body: 'abc' } as const;
const lost = { kind: 'error', isUnsent: false } as const;

const answers: readonly Answer[] = [true, false].flatMap((isFresh): readonly Answer[] => [
  {
    name: 'with a length',
    isFresh,
    write: (socket) => socket.write(`${HEAD}Content-Length: 3\r\n\r\nabc`),
    ending: whole,
  },
  {
    name: 'in chunks',
    isFresh,
    write: (socket) => socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n`),
    ending: whole,
  },
  {
    name: 'without a length, ended by its connection',
    isFresh,
    write: (socket) => socket.end(`${HEAD}Connection: close\r\n\r\nabc`),
    ending: whole,
  },
  {
    name: 'without a length, ended by a reset',
    isFresh,
    write: (socket) =>
      socket.write(`${HEAD}Connection: close\r\n\r\nab`, () =>
        setTimeout(() => socket.resetAndDestroy(), 50),
      ),
    ending: lost,
  },
  {
    name: 'without a length, ended by a reset right behind its bytes',
    isFresh,
    write: (socket) => {
      socket.write(`${HEAD}Connection: close\r\n\r\nab`);
      socket.resetAndDestroy();
    },
    ending: lost,
  },
  {
    name: 'cut short of its length',
    isFresh,
    write: (socket) => socket.end(`${HEAD}Content-Length: 9\r\n\r\nabc`),
    ending: lost,
  },
  {
    name: 'chunks that break off',
    isFresh,
    write: (socket) => socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`),
    ending: lost,
  },
  {
    name: 'not an answer at all',
    isFresh,
    write: (socket) => socket.end('garbage\r\n\r\n'),
    ending: lost,
  },
  {
    name: 'no answer: the connection is closed',
    isFresh,
    write: (socket) => socket.end(),
    ending: lost,
  },
]);

function callOnce(address: string, isFresh: boolean): Promise<Ending> {
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
  void t.test(`an answer ${answer.name}${answer.isFresh ? ' on a connection of its own' : ''}`, async (t) => {
    const server = createServer((socket) => {
      socket.on('error', () => undefined);
      socket.once('data', () => {
        answer.write(socket);
      });
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    t.same(await callOnce(`127.0.0.1:${port}`, answer.isFresh), answer.ending);
    server.close();
  });
}

void t.test('a refused connection is known not to have sent the request', async (t) => {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  t.same(await callOnce(`127.0.0.1:${port}`, true), { kind: 'error', isUnsent: true });
});
