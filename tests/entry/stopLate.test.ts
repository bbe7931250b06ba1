import t from 'tap';
import { LocalFleet, TOKENS } from '../support/localFleet.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';

const TOKENS_PER_ANSWER = 12;
const LAST_BYTES = '[DONE]';

const fleet = new LocalFleet({
  entries: 1,
  stewards: 1,
  engines: 2,
  groups: 1,
  drainTimeout: '2s',
  engine: { tokenMs: 120, tokens: TOKENS_PER_ANSWER },
});
t.before(async () => {
  await fleet.start();
  await fleet.waitUntil(
    'a group to serve',
    async () =>
      fleet.entries[0] !== undefined && (await fleet.readServingGroups(fleet.entries[0])).length === 1,
    60_000,
  );
});
t.teardown(() => fleet.stop());

function formatCompletion(prompt: string): string {
  return formatRequest({
    path: '/v1/chat/completions',
    headers: { Authorization: `Bearer ${TOKENS.fitters}`, 'Content-Type': 'application/json' },
    body: JSON.stringify({
      model: 'assistant',
      messages: [{ role: 'user', content: prompt }],
      stream: true,
    }),
  });
}

const CALL = formatRequest({
  method: 'GET',
  path: '/services/booking/slots',
  headers: { Authorization: `Bearer ${TOKENS.fitters}` },
});

const cases = [
  { name: 'a stream', request: formatCompletion('late') },
  { name: 'a call', request: CALL },
];

// Guards against requests that a stopping entry takes after the balancer has left it, and aborts.
void t.test(
  'a request that reaches a stopping entry late, on an open connection, is refused as not run',
  async (t) => {
    const [entry] = fleet.entries;
    if (!entry) throw new Error('The fleet has no entry.');
    const carriers = await Promise.all(
      cases.map(async ({ name }) => {
        const carrier = await RawCaller.connect(entry.address);
        carrier.write(formatCompletion(`carrier of ${name}`));
        await carrier.waitForText('#0 ');
        return carrier;
      }),
    );
    fleet.sendSignal(entry, 'SIGTERM');
    const exited = new Promise<number | null>((resolve) => entry.child.once('exit', resolve));
    const answers = await Promise.all(
      carriers.map(async (carrier, index) => {
        await carrier.waitForText(LAST_BYTES);
        carrier.write(cases[index]?.request ?? '');
        await carrier.waitForClose();
        return carrier.received.slice(carrier.received.lastIndexOf('HTTP/1.1'));
      }),
    );
    for (const [index, { name }] of cases.entries()) {
      await t.test(name, (t) => {
        t.match(answers[index], /^HTTP\/1\.1 503 /);
        t.match(answers[index], /"run":"not-run","reason":"stopping"/);
        t.end();
      });
    }
    t.equal(await exited, 0, 'no request was aborted');
  },
);
