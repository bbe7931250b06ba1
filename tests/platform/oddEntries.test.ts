import t from 'tap';
import { sleep } from '../standins/http.js';
import { PlatformFleet } from './platformFleet.js';

/** Levels of an entry that is nested more deeply than a recursion can follow. */
const NESTING = 60_000;
/** Time until the node has read a changed list. */
const LIST_READ_MS = 1_200;
/** An address of this test's own, at which nothing listens. */
const DEAD_ADDRESS = '127.0.0.1:9';

const platform = new PlatformFleet();
const { fleet, store } = platform;

const plain = {
  service: 'plain',
  address: DEAD_ADDRESS,
  zone: 'domain-1',
  state: 'ready',
  slots: 8,
  born: 1,
};
const engine = { ...plain, service: 'engines', staged: ['model-a'], models: [{ name: 'model-a' }] };
const group = { name: 'group-1', epoch: 7, rank: 0, state: 'open' };
/** An entry whose field holds a deeply nested list. */
const nest = (entry: object, field: string) =>
  `${JSON.stringify(entry).slice(0, -1)},"${field}":${'['.repeat(NESTING)}${']'.repeat(NESTING)}}`;
const toText = (entry: unknown) => JSON.stringify(entry);

const cases = [
  { name: 'no JSON', text: '{"service":' },
  { name: 'no object', text: '[[[[]]]]' },
  { name: 'a nested list instead of the staged models', text: nest(engine, 'staged') },
  { name: 'a nested list in a field that is not known', text: nest({ ...engine, slots: 4 }, 'later') },
  { name: 'far too many slots', text: toText({ ...plain, slots: 1.2e29 }) },
  { name: 'a number that is no number', text: toText(plain).replace('"slots":8', '"slots":1e999') },
  { name: 'a port out of range', text: toText({ ...plain, address: '10.0.0.1:70000' }) },
  { name: 'a name that would be looked up', text: toText({ ...plain, address: 'nowhere.invalid:80' }) },
  { name: 'an epoch out of range', text: toText({ ...engine, group: { ...group, epoch: 1e300 } }) },
  { name: 'a rank out of range', text: toText({ ...engine, group: { ...group, rank: -3 } }) },
  { name: 'a start out of range', text: toText({ ...engine, born: 1e308 }) },
  {
    name: 'an unknown state of its group',
    text: toText({ ...engine, group: { ...group, state: 'asleep' } }),
  },
  { name: 'an unknown service', text: toText({ ...plain, service: '__proto__' }) },
] as const;

async function send(path: string, id: string): Promise<number> {
  const answer = await platform.send(path, { id });
  await answer.text();
  return answer.status;
}

// Guards against a list that is not followed any more, or a process that ends, because of one entry of another writer.
void t.test('a node follows the list beside odd entries', async (t) => {
  await platform.start();
  t.teardown(() => {
    fleet.stop();
    store.stop();
    setTimeout(() => process.exit(), 100);
  });
  for (const [index, { text }] of cases.entries()) store.putText('keyed.servers', `odd-${index}`, text);
  await sleep(LIST_READ_MS);
  for (const { path, copies } of [
    { path: '/stream/1', copies: 4 },
    { path: '/order/1', copies: 12 },
  ]) {
    await t.test(`${path} is served`, async (t) => {
      for (let copy = 0; copy < copies; copy++) t.equal(await send(path, `${path}-${copy}`), 200);
    });
  }
  await t.test('a target that comes later is used', async (t) => {
    for (const [id, instance] of fleet.instances) if (id.startsWith('plain')) instance.stop();
    await fleet.add('plain-3', 'plain', 'domain-1');
    await sleep(2 * LIST_READ_MS);
    await send('/status/1', 'later');
    t.ok(fleet.runs.some(({ instance }) => instance === 'plain-3'));
  });
});
