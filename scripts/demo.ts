import { v7 as uuidv7 } from 'uuid';
import { LocalFleet, TOKENS } from '../tests/support/localFleet.js';

/** Runs the whole path on loopback and prints what was seen. */
const fleet = new LocalFleet();
const results: { readonly step: string; readonly result: string }[] = [];
const headers = { authorization: `Bearer ${TOKENS.fitters}`, 'content-type': 'application/json' };

function report(step: string, result: string): void {
  results.push({ step, result });
  process.stdout.write(`${step}: ${result}\n`);
}

async function streamAnswer(entry: string): Promise<string> {
  const body = {
    model: 'assistant',
    stream: true,
    messages: [{ role: 'user', content: 'Which flue for a 12 m chimney?' }],
  };
  const response = await fetch(`http://${entry}/v1/chat/completions`, {
    method: 'POST',
    headers,
    body: JSON.stringify(body),
  });
  return response.text();
}

async function order(entry: string, key: string): Promise<string> {
  const response = await fetch(`http://${entry}/services/booking/orders`, {
    method: 'POST',
    headers: { ...headers, 'idempotency-key': key },
    body: JSON.stringify({ cowl: 'H-250', quantity: 1 }),
  });
  return `${response.status}${response.headers.get('idempotency-replayed') ? ' replayed' : ''}`;
}

async function run(): Promise<void> {
  await fleet.start();
  report('entries ready', `${await fleet.readyEntries()} of 3`);
  const [first, second, third] = fleet.entries;
  if (!first || !second || !third) throw new Error('The fleet has three entries.');
  await fleet.waitUntil('two groups to serve', async () => (await fleet.servingGroups(first)).length === 2);
  report('groups formed through the log', (await fleet.servingGroups(first)).join(', '));

  const answer = await streamAnswer(first.address);
  const events = answer.split('\n').filter((line) => line.startsWith('data: ')).length;
  report('streamed answer', `${events} events, whole: ${answer.trimEnd().endsWith('[DONE]')}`);

  const key = uuidv7();
  const answers = await Promise.all([first, second, third].map(({ address }) => order(address, key)));
  const runs = fleet.readJournal().filter(({ event, key: run }) => event === 'order' && run === key).length;
  report(
    'one order sent through three entries',
    `${answers.join(', ')}; runs at the booking service: ${runs}`,
  );

  const victim = fleet.engines[0];
  if (!victim) throw new Error('The fleet has engines.');
  const before = new Set(await fleet.servingGroups(first));
  await killAndWait(first, before);
  await fleet.waitUntil(
    'two groups to serve again',
    async () => (await fleet.servingGroups(first)).length === 2,
  );
  report('groups again', (await fleet.servingGroups(first)).join(', '));
  const again = await streamAnswer(second.address);
  report('streamed answer after the repair', `whole: ${again.trimEnd().endsWith('[DONE]')}`);
  if (runs !== 1 || !answer.trimEnd().endsWith('[DONE]')) process.exitCode = 1;
}

async function killAndWait(
  entry: (typeof fleet.entries)[number],
  before: ReadonlySet<string>,
): Promise<void> {
  const steward = fleet.stewards[0];
  if (!steward) throw new Error('The fleet has stewards.');
  const status = (await fleet.status(steward)) as {
    readonly groups: readonly { id: string; members: readonly string[] }[];
  };
  const group = status.groups.find(({ id }) => before.has(id));
  const engine = fleet.engines.find(({ address }) => address === group?.members[1]);
  if (!group || !engine) throw new Error('No member of a serving group was found.');
  const killedAtMs = Date.now();
  fleet.signal(engine, 'SIGKILL');
  await fleet.waitUntil(
    'the group to leave',
    async () => !(await fleet.servingGroups(entry)).includes(group.id),
  );
  report(
    'instance killed',
    `${engine.address}; group ${group.id} left service after ${Date.now() - killedAtMs} ms`,
  );
}

function printTable(): void {
  const width = Math.max(...results.map(({ step }) => step.length));
  process.stdout.write('\nSummary\n');
  for (const { step, result } of results) process.stdout.write(`  ${step.padEnd(width)}  ${result}\n`);
}

async function keepUp(): Promise<void> {
  const entry = fleet.entries[0]?.address ?? '';
  process.stdout.write(`\nStill up; Ctrl-C ends it. Try:\n`);
  process.stdout.write(
    `  curl -N http://${entry}/v1/chat/completions -H 'Authorization: Bearer ${TOKENS.fitters}' -H 'Content-Type: application/json' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Hello"}]}'\n`,
  );
  process.stdout.write(
    `  curl http://${entry}/services/booking/slots/today -H 'Authorization: Bearer ${TOKENS.fitters}'\n`,
  );
  process.stdout.write(`  curl http://${fleet.entries[0]?.operators ?? ''}/metrics\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

try {
  await run();
  printTable();
  if (process.argv.includes('--keep')) await keepUp();
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
} finally {
  await fleet.stop();
}
