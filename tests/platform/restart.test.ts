import t from 'tap';
import { sleep } from '../standins/http.js';
import { RawCaller } from '../support/rawHttp.js';
import { createConfiguration, RawFleet, type RawNode } from './rawFleet.js';

const fleet = new RawFleet();

/** Longest time for which a key is trusted without contact with the store, in milliseconds. */
const KEY_TRUST_MS = 5_000;
/** Time until the reads that the store had accepted before it went silent are answered, in milliseconds. */
const POLL_MS = 1_500;

function send(node: Pick<RawNode, 'address'>, key?: string) {
  const head = fleet.createHead('/status/', key === undefined ? {} : { key });
  return new RawCaller(node.address).exchange(`${head}{}`);
}

async function until(isDone: () => Promise<boolean>): Promise<boolean> {
  for (let attempt = 0; attempt < 100; attempt++) {
    if (await isDone()) return true;
    await sleep(100);
  }
  return false;
}

void t.test('a node that starts while the store is out', async (t) => {
  await fleet.start();
  const first = { address: fleet.address };
  const second = await fleet.startNode('node-2');
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  await fleet.setHandler(({ socket, id }) => {
    socket.write(`HTTP/1.1 200 OK\r\nAttempt-Id: ${id}\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok`);
  });
  t.ok(await until(second.isReady));
  const [, leaving] = fleet.targets;

  fleet.store.mode = 'silent';
  await sleep(POLL_MS);
  fleet.store.put('keyed.op', 'config', createConfiguration(2, 'key-2'));
  fleet.store.put('keyed.servers', 'plain-2', undefined);
  await sleep(1_000);
  t.equal((await send(first)).status, 200, 'a running node serves from what it has read');
  const third = await fleet.startNode('node-3');

  // Guards against a withdrawn key or a target that left, which peers have told to a node that has just started.
  await t.test('serves nothing from old copies of its peers', async (t) => {
    const endsAtMs = performance.now() + KEY_TRUST_MS;
    while (performance.now() < endsAtMs) {
      t.equal((await send(third)).status, 503);
      t.notOk(await third.isReady());
      await sleep(200);
    }
    t.equal((await send(first)).status, 503, 'a running node no longer trusts its keys');
  });

  await t.test('serves with what the store has once it is back', async (t) => {
    leaving.requests.length = 0;
    fleet.store.mode = 'well';
    t.ok(await until(third.isReady));
    t.equal((await send(third)).status, 401);
    for (let count = 0; count < 8; count++) t.equal((await send(third, 'key-2')).status, 200);
    t.equal(leaving.requests.length, 0, 'a target that left gets nothing');
  });

  // Guards against a node that goes back to an older version after it has applied a newer one.
  await t.test('keeps the newest version that it has applied', async (t) => {
    for (const node of [first, second, third])
      t.ok(await until(async () => (await send(node)).status === 401));
    fleet.store.put('keyed.op', 'config', createConfiguration(1));
    await sleep(1_500);
    for (const node of [first, second, third]) {
      t.equal((await send(node)).status, 401);
      t.equal((await send(node, 'key-2')).status, 200);
    }
  });
});
