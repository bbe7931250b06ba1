import { writeFileSync } from 'node:fs';
import { setTimeout as sleep } from 'node:timers/promises';
import { Caller } from '../standins/caller.mjs';
import { Deployment } from '../standins/deployment.mjs';
import { Replica } from '../standins/replica.mjs';
import { Link, Store } from '../standins/store.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** With `CUT=0` the machine only freezes, for the 5 s that the bench takes where a day names no length. */
const HAS_CUT = process.env.CUT !== '0';
const HOST = 'icewatch.example';
const KEPT_KEY = 'key-kept';
const ENDED_KEY = 'key-ended';
const REVOKE_MS = 5_000;
const FREEZE_MS = HAS_CUT ? 4_000 : 5_000;
const CUT_AFTER_MS = HAS_CUT ? 400 : 30;
const LATE_CALLERS = 6;
const CUT_MS = 12_000;

const record = [];
const startedAtMs = Date.now();
function note(text) {
  record.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);
}

function createConfiguration(version, keys) {
  const route = { host: HOST, service: 'escort-desk', priority: 2, timeoutMs: 2_000, targetLatencyMs: 100 };
  return {
    version,
    routes: [
      { ...route, name: 'check-slot', pathPrefix: '/check/', routeType: 'safe', maxAttempts: 2 },
      { ...route, name: 'book-escort', pathPrefix: '/book/', routeType: 'unsafe', maxAttempts: 1 },
    ],
    services: [
      { name: 'escort-desk', healthCheckPath: '/healthz', maxConnections: 49, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: 'harbor', apiKeys: keys }],
  };
}

const store = new Store();
const links = [];
const replicas = [];
const callers = [];
const deployment = new Deployment();

async function createLink() {
  const link = new Link(store.port);
  await link.listen();
  links.push(link);
  return link;
}

async function run() {
  await store.listen();
  store.put('keyed.op', 'config', createConfiguration(3, [KEPT_KEY, ENDED_KEY]));
  for (let index = 1; index <= 2; index++) {
    const replica = new Replica({ id: `i-desk-${index}`, service: 'escort-desk', zone: 'casco', store });
    await replica.start();
    replicas.push(replica);
  }
  const linkOfA = await createLink();
  const linkOfB = await createLink();
  const linkOfC = await createLink();
  const a = await deployment.start({
    name: 'frontend-casco-1',
    zone: 'casco',
    storeAddress: linkOfA.address,
  });
  const b = await deployment.start({
    name: 'frontend-casco-2',
    zone: 'casco',
    storeAddress: linkOfB.address,
  });
  const c = await deployment.start({
    name: 'frontend-casco-3',
    zone: 'casco',
    storeAddress: linkOfC.address,
  });
  await deployment.waitUntilReady(a);
  await deployment.waitUntilReady(c);
  await deployment.waitUntilReady(b);
  await sleep(3_000);
  const caller = new Caller({ port: b.front, host: HOST });
  callers.push(caller);
  let count = 0;
  const send = async (key, from = caller) => {
    const id = `r${++count}`;
    const sentAtMs = Date.now();
    const { outcome } = await from.send({ path: `/check/${id}`, method: 'GET', id, key, deadlineMs: 600 });
    const runs = replicas.flatMap((replica) => replica.runs).filter((entry) => entry.id === id).length;
    return { id, sentAtMs, outcome, runs };
  };
  const first = await send(ENDED_KEY);
  note(
    `before: ${first.id} with ${ENDED_KEY} at frontend-casco-2: ${first.outcome}, run ${first.runs} times`,
  );
  if (first.outcome !== 200) throw new Error('the deployment does not serve');

  if (HAS_TROUBLE) {
    note('frontend-casco-2 freezes');
    b.child.kill('SIGSTOP');
    await sleep(CUT_AFTER_MS);
  }
  if (HAS_TROUBLE && HAS_CUT) {
    note('frontend-casco-2 is cut off from the store and from the other machines');
    linkOfB.cut();
    for (const { child } of [a, c]) child.kill('SIGSTOP');
  }
  const ackedAtMs = store.put('keyed.op', 'config', createConfiguration(8, [KEPT_KEY]));
  note(`version 8 takes ${ENDED_KEY} away; acknowledged`);
  const cutAtMs = Date.now();
  if (HAS_TROUBLE) {
    await sleep(FREEZE_MS - CUT_AFTER_MS);
    note('frontend-casco-2 goes on');
    b.child.kill('SIGCONT');
  }
  // Timers may fire early by a part of a millisecond.
  while (Date.now() <= ackedAtMs + REVOKE_MS) await sleep(1);
  const late = [];
  const sendLate = async (from) => {
    const { id, sentAtMs, outcome, runs } = await send(ENDED_KEY, from);
    const afterMs = sentAtMs - ackedAtMs;
    note(`${id} with ${ENDED_KEY}, sent ${afterMs} ms after the ack: ${outcome}, run ${runs} times`);
    if (runs > 0) late.push(afterMs);
  };
  const others = Array.from({ length: LATE_CALLERS }, () => new Caller({ port: b.front, host: HOST }));
  callers.push(...others);
  await Promise.all(others.map(sendLate));
  while (Date.now() < cutAtMs + CUT_MS - 500) {
    await sendLate(caller);
    await sleep(100);
  }
  if (HAS_TROUBLE && HAS_CUT) {
    note('the cut heals');
    linkOfB.heal();
    for (const { child } of [a, c]) child.kill('SIGCONT');
  }
  note(
    late.length === 0
      ? 'CONFIG held: no request with the ended key was run later than revokeMs after the ack'
      : `CONFIG broken: ${late.length} requests with the ended key were run ${Math.min(...late)} to ${Math.max(...late)} ms after the ack; revokeMs is ${REVOKE_MS}`,
  );
  return late.length === 0 ? 0 : 1;
}

let exitCode = 2;
try {
  exitCode = await run();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  for (const part of [...callers, ...links, ...replicas, store]) part.stop();
  writeFileSync(new URL('./record.txt', import.meta.url), `${record.join('\n')}\n`);
}
process.exit(exitCode);
