import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import { answerShortly, RawCaller } from '../support/rawHttp.js';
import { createConfiguration, RawFleet } from './rawFleet.js';

/** Time after which a read that waits for changes has ended, in milliseconds. */
const LONG_POLL_MS = 1_500;
/** Time from the end of a key until the store is back, in milliseconds; records are written again in two seconds. */
const RETURN_MS = 3_500;
/** Time from the end of a key until no request with it may run, in milliseconds. */
const REVOCATION_MS = 5_000;
/** Interval between two requests, in milliseconds. */
const REQUEST_INTERVAL_MS = 50;
/** Time in which a node that starts hears of its peers, in milliseconds. */
const PEERS_MET_MS = 2_000;
/** Time in which a node reads a change, in milliseconds. */
const READ_MS = 1_200;

const fleet = new RawFleet();
const ENDED_KEY = 'key-1';
const NEXT_KEY = 'key-2';

async function send(key: string, address = fleet.address): Promise<number> {
  const head = fleet.createHead('/status/', { key });
  return (await new RawCaller(address).exchange(`${head}{}`)).status;
}

function endKey(): void {
  fleet.store.put('keyed.op', 'config', createConfiguration(3, NEXT_KEY));
}

// Guards against keys that are accepted after their end, because a restored store seems to confirm them.
void t.test('a key ends in time on a node that had not read its end when the store lost it', async (t) => {
  await fleet.start();
  await fleet.setHandler(answerShortly);
  t.equal(await send(ENDED_KEY), 200);
  fleet.store.mode = 'busy';
  await sleep(LONG_POLL_MS);
  // A version that this node had not read survives; it does not prove that no later one was lost.
  fleet.store.put('keyed.op', 'config', createConfiguration(2, ENDED_KEY));
  const copy = fleet.store.copy();
  endKey();
  const endedAtMs = systemClock.monotonic();
  const sleepUntil = (ms: number) => sleep(Math.max(0, endedAtMs + ms - systemClock.monotonic()));
  await sleepUntil(RETURN_MS);
  fleet.store.restore(copy);
  fleet.store.mode = 'well';
  await sleepUntil(REVOCATION_MS);
  for (let request = 0; request < 5; request++) {
    t.equal(await send(ENDED_KEY), 503, 'keys are not trusted');
    await sleep(REQUEST_INTERVAL_MS);
  }
  endKey();
  await sleep(READ_MS);
  t.equal(await send(ENDED_KEY), 401);
  t.equal(await send(NEXT_KEY), 200, 'keys are trusted once the configuration is written again');
});

// Guards against keys that are accepted after their end by a node that starts when the store has lost it.
void t.test('a key that has ended is not accepted by a node that reads an older configuration', async (t) => {
  t.teardown(() => {
    fleet.store.stop();
    setTimeout(() => process.exit(), 100);
  });
  fleet.store.put('keyed.op', 'config', createConfiguration(1, ENDED_KEY));
  fleet.store.restore(fleet.store.copy());
  const { address } = await fleet.startNode('node-2');
  await sleep(PEERS_MET_MS);
  const endsAtMs = systemClock.monotonic() + REVOCATION_MS;
  while (systemClock.monotonic() < endsAtMs) {
    t.not(await send(ENDED_KEY, address), 200);
    await sleep(REQUEST_INTERVAL_MS);
  }
  endKey();
  await sleep(READ_MS);
  t.equal(await send(NEXT_KEY, address), 200, 'keys are trusted once the configuration is written again');
});
