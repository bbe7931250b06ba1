import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller, type RawRequest } from '../support/rawHttp.js';
import { RawFleet, type RoutePrefix } from './rawFleet.js';

const fleet = new RawFleet();
const BODY = 'Content-Length: 2\r\n';
const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;

function write({ socket, id }: RawRequest, rest: string): void {
  socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\n${rest}`);
}

const answerPlain = (request: RawRequest) => {
  write(request, `Content-Length: ${request.id.length}\r\n\r\n${request.id}`);
};

const formatRequest = (prefix: RoutePrefix, id: string, headers = BODY) =>
  `${fleet.createHead(prefix, { id, headers })}{}`;

const listIds = () => fleet.targets.flatMap(({ requests }) => requests.map(({ id }) => id));

void t.test('requests behind another one on a connection', async (t) => {
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await fleet.start();

  // Guards against a request that is run and never answered, as the connection ends with the answer before it.
  for (const prefix of ['/order/', '/status/', '/once/'] as const) {
    await t.test(`${prefix} is not run behind an answer that is broken off`, async (t) => {
      await fleet.setHandler((request) => {
        if (request.id !== 'first') {
          answerPlain(request);
          return;
        }
        write(request, `Transfer-Encoding: chunked\r\n\r\n${toChunk('id: 1\ndata: 1\n\n')}`);
        setTimeout(() => request.socket.destroy(), 150);
      });
      const caller = new RawCaller(fleet.address);
      const { isComplete } = await caller.exchange(
        formatRequest('/once/', 'first') + formatRequest(prefix, 'second'),
      );
      t.notOk(isComplete);
      await sleep(200);
      t.same(listIds(), ['first']);
    });
  }

  await t.test('they are answered in order', async (t) => {
    await fleet.setHandler((request) => {
      setTimeout(() => {
        answerPlain(request);
      }, 50);
    });
    const ids = ['first', 'second', 'third'];
    const requests = ids.map((id) =>
      formatRequest('/status/', id, id === 'third' ? `${BODY}Connection: close\r\n` : BODY),
    );
    const caller = new RawCaller(fleet.address);
    await caller.exchange(requests.join(''));
    t.same(
      caller.text
        .split('HTTP/1.1 200 OK')
        .slice(1)
        .map((answer) => answer.split('\r\n\r\n')[1]),
      ids,
    );
  });

  await t.test('one whose time has passed meanwhile is refused as not run', async (t) => {
    await fleet.setHandler((request) => {
      if (request.id === 'first') {
        write(request, `Transfer-Encoding: chunked\r\n\r\n${toChunk('id: 1\ndata: 1\n\n')}`);
        setTimeout(() => request.socket.write('0\r\n\r\n'), 400);
      } else answerPlain(request);
    });
    const second = formatRequest('/order/', 'second', `${BODY}Connection: close\r\n`);
    const caller = new RawCaller(fleet.address);
    await caller.exchange(
      formatRequest('/once/', 'first') + second.replace('Deadline-Ms: 5000', 'Deadline-Ms: 200'),
    );
    t.match(caller.text, /0\r\n\r\nHTTP\/1\.1 503 /);
    t.same(listIds(), ['first']);
  });
});
