import t from 'tap';
import { sleep } from '../standins/http.js';
import { answerShortly, RawCaller } from '../support/rawHttp.js';
import { createConfiguration, RawFleet } from './rawFleet.js';

const fleet = new RawFleet();
/** Time in which a node has a change in force, in milliseconds. */
const CHANGE_MS = 1_000;

const cases: readonly {
  readonly name: string;
  /** Header lines that announce the body. */
  readonly framing: string;
  /** What is sent before the change, and after it. */
  readonly parts: readonly [string, string];
}[] = [
  { name: 'before a body with a length', framing: 'Content-Length: 2\r\n', parts: ['', '{}'] },
  { name: 'within a body with a length', framing: 'Content-Length: 2\r\n', parts: ['{', '}'] },
  {
    name: 'within a body in chunks',
    framing: 'Transfer-Encoding: chunked\r\n',
    parts: ['1\r\n{\r\n', '1\r\n}\r\n0\r\n\r\n'],
  },
  {
    name: 'before the last chunk',
    framing: 'Transfer-Encoding: chunked\r\n',
    parts: ['2\r\n{}\r\n', '0\r\n\r\n'],
  },
];

void t.test('a configuration that changes while a request is read', async (t) => {
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await fleet.start();
  await fleet.setHandler(answerShortly);
  let version = 1;
  for (const { name, framing, parts } of cases) {
    // Guards against a key that is accepted as an older configuration has it, because that was in force at the head.
    await t.test(name, async (t) => {
      const key = `key-${version}`;
      fleet.store.put('keyed.op', 'config', createConfiguration(++version, key));
      await sleep(CHANGE_MS);
      const heads = ['/status/', '/status/'].map((prefix) =>
        fleet.createHead(prefix as '/status/', { key, headers: `${framing}Connection: close\r\n` }),
      );
      const [revoked, kept] = heads.map((head) => ({ head, caller: new RawCaller(fleet.address) }));
      const answers = [revoked, kept].map((request) =>
        request?.caller.exchange(`${request.head}${parts[0]}`),
      );
      await sleep(50);
      kept?.caller.socket.write(parts[1]);
      t.equal((await answers[1])?.status, 200, 'before the change');
      fleet.store.put('keyed.op', 'config', createConfiguration(++version, `key-${version}`));
      await sleep(CHANGE_MS);
      revoked?.caller.socket.write(parts[1]);
      t.equal((await answers[0])?.status, 401, 'after the change');
    });
  }
});
