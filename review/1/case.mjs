import { writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../standins/deployment.mjs';
import { Store } from '../standins/store.mjs';
import { StreamReplica } from '../standins/streamReplica.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HOST = 'icewatch.example';
const KEY = 'key-1';
const EVENTS = 30;
const INTERVAL_MS = 100;
const STREAMS = 80;
const DEADLINE_MS = 8_000;
/** One answer in twenty of one replica of two has no length. */
const UNFRAMED_EVERY = 20;

const record = [];
const startedAtMs = Date.now();
function note(text) {
  record.push(`${((Date.now() - startedAtMs) / 1_000).toFixed(3)} s  ${text}`);
}

const configuration = {
  version: 3,
  routes: [
    {
      name: 'convoy-plan',
      host: HOST,
      pathPrefix: '/plan/',
      routeType: 'streaming',
      streamResume: true,
      service: 'brief-writers',
      priority: 1,
      timeoutMs: DEADLINE_MS,
      targetLatencyMs: 400,
      gapTargetMs: 250,
      maxAttempts: 2,
    },
  ],
  services: [
    { name: 'brief-writers', healthCheckPath: '/healthz', maxConnections: 234, protocol: 'h1', tls: false },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  tenants: [{ name: 'harbor', apiKeys: [KEY] }],
};

/**
 * Sends a request on a connection of its own and reads its answer to the end, as HTTP/1.1 marks that end: by the last
 * chunk, or, without a length, by the regular end of the connection.
 */
function send(port, id) {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let text = '';
    const finish = (ending) => {
      const [head = ''] = text.split('\r\n\r\n', 1);
      const isChunked = /^transfer-encoding: *chunked$/im.test(head);
      const hasLength = /^content-length:/im.test(head);
      const framing = isChunked ? 'chunked' : hasLength ? 'a length' : 'no length';
      const isComplete = isChunked ? text.endsWith('0\r\n\r\n') : !hasLength && ending === 'FIN';
      resolve({
        id,
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1]),
        seal: /^server-seal: *(.*)$/im.exec(head)?.[1],
        framing,
        end: `${isComplete ? 'complete' : 'incomplete'} (${ending})`,
        isComplete,
        events: [...text.matchAll(/^id: (\d+)$/gm)].length,
      });
      socket.destroy();
    };
    socket.on('data', (chunk) => {
      text += chunk.toString();
      if (/^transfer-encoding: *chunked$/im.test(text) && text.endsWith('0\r\n\r\n')) finish('last chunk');
    });
    socket.on('end', () => {
      // libuv reports some resets as an end; a connection that was reset has no remote address any more.
      finish(socket.remoteAddress === undefined ? 'RST' : 'FIN');
    });
    socket.on('error', ({ code }) => {
      finish(code === 'ECONNRESET' ? 'RST' : code);
    });
    const head = [
      `POST /plan/${id} HTTP/1.1`,
      `Host: ${HOST}`,
      `Attempt-Id: ${id}`,
      `Deadline-Ms: ${DEADLINE_MS}`,
      `Authorization: Bearer ${KEY}`,
      'Content-Length: 2',
    ];
    socket.write(`${head.join('\r\n')}\r\n\r\n{}`);
  });
}

const store = new Store();
const replicas = [];
const deployment = new Deployment();

async function run() {
  await store.listen();
  store.put('keyed.op', 'config', configuration);
  for (let index = 1; index <= 2; index++) {
    const replica = new StreamReplica({
      id: `i-writer-${index}`,
      service: 'brief-writers',
      zone: 'casco',
      store,
      events: EVENTS,
      intervalMs: INTERVAL_MS,
      unframedEvery: index === 1 ? UNFRAMED_EVERY : undefined,
    });
    await replica.start();
    replicas.push(replica);
  }
  const storeAddress = `127.0.0.1:${store.port}`;
  const node = await deployment.start({ name: 'frontend-casco-1', zone: 'casco', storeAddress });
  const other = await deployment.start({ name: 'frontend-casco-2', zone: 'casco', storeAddress });
  await deployment.waitUntilReady(node);
  await deployment.waitUntilReady(other);
  await sleep(2_000);

  const answers = [];
  for (let index = 1; index <= STREAMS; index++) {
    answers.push(send(node.front, `r${index}`));
    await sleep(10);
  }
  await sleep(600);
  note(`${STREAMS} streams of ${EVENTS} events are in progress at frontend-casco-1`);
  if (HAS_TROUBLE) {
    node.child.kill('SIGKILL');
    note('frontend-casco-1 is killed');
  }
  const wrong = [];
  for (const { id, status, seal, framing, end, isComplete, events } of await Promise.all(answers)) {
    const run = replicas.flatMap(({ runs }) => runs).find((entry) => entry.id === id);
    note(
      `${id}: ${status}, ${framing}, seal ${seal}, ${events} of ${EVENTS} events, ${end}; ${run?.replica} had sent ${run?.sent}`,
    );
    if (status === 200 && isComplete && events < EVENTS) wrong.push(id);
    if (!HAS_TROUBLE && !isComplete) throw new Error(`${id} ended without trouble as ${end}`);
  }
  note(
    wrong.length === 0
      ? 'MIXED held: no answer that ended early looked complete'
      : `MIXED broken: ${wrong.length} answers ended early and looked complete: ${wrong.join(', ')}`,
  );
  return wrong.length === 0 ? 0 : 1;
}

let exitCode = 2;
try {
  exitCode = await run();
} catch (error) {
  note(`the case could not run: ${error.stack}`);
} finally {
  await deployment.stop();
  for (const part of [...replicas, store]) part.stop();
  writeFileSync(new URL('./record.txt', import.meta.url), `${record.join('\n')}\n`);
}
process.exit(exitCode);
