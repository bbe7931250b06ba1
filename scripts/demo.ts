import { v7 as uuidv7 } from 'uuid';
import { LocalFleet, TOKENS } from '../tests/support/localFleet.js';

/** Starts a local fleet, exercises streaming, orders and group repair, and prints the results. */
const fleet = new LocalFleet();
const results: { readonly step: string; readonly result: string }[] = [];
const requestHeaders = { authorization: `Bearer ${TOKENS.fitters}`, 'content-type': 'application/json' };

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
    headers: requestHeaders,
    body: JSON.stringify(body),
  });
  return response.text();
}

async function placeOrder(entry: string, key: string): Promise<string> {
  const response = await fetch(`http://${entry}/services/booking/orders`, {
    method: 'POST',
    headers: { ...requestHeaders, 'idempotency-key': key },
    body: JSON.stringify({ cowl: 'H-250', quantity: 1 }),
  });
  return `${response.status}${response.headers.get('idempotency-replayed') ? ' replayed' : ''}`;
}

async function run(): Promise<void> {
  await fleet.start();
  report('entries ready', `${await fleet.countReadyEntries()} of 3`);
  const [first, second, third] = fleet.entries;
  if (!first || !second || !third)
    throw new Error('The demo needs three entries; the local fleet started fewer.');
  await fleet.waitUntil(
    'two groups to serve',
    async () => (await fleet.readServingGroups(first)).length === 2,
  );
  report('groups formed through the log', (await fleet.readServingGroups(first)).join(', '));

  const firstAnswer = await streamAnswer(first.address);
  const events = firstAnswer.split('\n').filter((line) => line.startsWith('data: ')).length;
  report('streamed answer', `${events} events, complete: ${firstAnswer.trimEnd().endsWith('[DONE]')}`);

  const key = uuidv7();
  const orderResults = await Promise.all(
    [first, second, third].map(({ address }) => placeOrder(address, key)),
  );
  const orderRuns = fleet
    .readJournal()
    .filter(({ event, key: orderKey }) => event === 'order' && orderKey === key).length;
  report(
    'one order sent through three entries',
    `${orderResults.join(', ')}; executions at the booking service: ${orderRuns}`,
  );

  const firstEngine = fleet.engines[0];
  if (!firstEngine) throw new Error('The demo needs an engine; the local fleet started none.');
  const groupsBefore = new Set(await fleet.readServingGroups(first));
  await killMemberAndWait(first, groupsBefore);
  await fleet.waitUntil(
    'two groups to serve after the repair',
    async () => (await fleet.readServingGroups(first)).length === 2,
  );
  report('groups after the repair', (await fleet.readServingGroups(first)).join(', '));
  const secondAnswer = await streamAnswer(second.address);
  report('streamed answer after the repair', `complete: ${secondAnswer.trimEnd().endsWith('[DONE]')}`);
  if (orderRuns !== 1 || !firstAnswer.trimEnd().endsWith('[DONE]')) process.exitCode = 1;
}

async function killMemberAndWait(
  entry: (typeof fleet.entries)[number],
  groupsBefore: ReadonlySet<string>,
): Promise<void> {
  const steward = fleet.stewards[0];
  if (!steward) throw new Error('The demo needs a steward; the local fleet started none.');
  const status = (await fleet.readStatus(steward)) as {
    readonly groups: readonly { id: string; members: readonly string[] }[];
  };
  const group = status.groups.find(({ id }) => groupsBefore.has(id));
  const engine = fleet.engines.find(({ address }) => address === group?.members[1]);
  if (!group || !engine)
    throw new Error('No running engine belongs to a serving group, so none can be killed.');
  const killedAtMs = Date.now();
  fleet.sendSignal(engine, 'SIGKILL');
  await fleet.waitUntil(
    'the group to leave service',
    async () => !(await fleet.readServingGroups(entry)).includes(group.id),
  );
  report(
    'instance killed',
    `${engine.address}; group ${group.id} left service after ${Date.now() - killedAtMs} ms`,
  );
}

function printSummary(): void {
  const width = Math.max(...results.map(({ step }) => step.length));
  process.stdout.write('\nSummary\n');
  for (const { step, result } of results) process.stdout.write(`  ${step.padEnd(width)}  ${result}\n`);
}

async function waitForSignal(): Promise<void> {
  const entry = fleet.entries[0]?.address ?? '';
  process.stdout.write(`\nThe fleet keeps running until Ctrl-C. Try:\n`);
  process.stdout.write(
    `  curl -N http://${entry}/v1/chat/completions -H 'Authorization: Bearer ${TOKENS.fitters}' -H 'Content-Type: application/json' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"Hello"}]}'\n`,
  );
  process.stdout.write(
    `  curl http://${entry}/services/booking/slots/today -H 'Authorization: Bearer ${TOKENS.fitters}'\n`,
  );
  process.stdout.write(`  curl http://${fleet.entries[0]?.operatorsAddress ?? ''}/metrics\n`);
  await new Promise<void>((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

try {
  await run();
  printSummary();
  if (process.argv.includes('--keep')) await waitForSignal();
} catch (error) {
  process.stderr.write(`${error instanceof Error ? error.message : String(error)}\n`);
  process.exitCode = 1;
} finally {
  await fleet.stop();
}
