import t from 'tap';
import { sleep } from '../standins/http.js';
import { EVENTS_PER_STREAM, PlatformFleet } from './platformFleet.js';

/** Time from an order until no request may reach its zone; the first second of it is that of the first phase. */
const BOUND_MS = 3_500;
/** Interval between two streams of 0.6 s each, so that one group has places for all of them. */
const SEND_INTERVAL_MS = 150;
/** Pause between two events of the stream that runs when the order comes, so that it takes 4 s. */
const LONG_PAUSE_MS = 100;

const platform = new PlatformFleet();
const { fleet, store } = platform;

const listOpenGroups = () =>
  [...fleet.instances.values()].flatMap(({ group }) => (group?.state === 'open' ? [group] : []));

// Guards against a group that serves until a member in an evacuated zone is removed, which breaks off its streams.
void t.test('a group with one member in an evacuated zone', async (t) => {
  await platform.start({ evacuation: `${BOUND_MS}ms` });
  let isSending = true;
  t.teardown(() => {
    isSending = false;
    fleet.stop();
    store.stop();
    setTimeout(() => process.exit(), 200);
  });
  const { address } = await platform.startNode('node-2', { evacuation: `${BOUND_MS}ms` });
  await sleep(2_000);
  fleet.pauseBefore = (id) => (id === 'long' ? LONG_PAUSE_MS : 15);
  const long = await platform.send('/stream/1', { id: 'long', address });
  const head = fleet.instances.get(fleet.runs.find(({ requestId }) => requestId === 'long')?.instance ?? '');
  const group = head?.group;
  const member = fleet.instances.get(group?.members.find((id) => id !== head?.id) ?? '');
  if (!head || !group || !member) throw new Error('The stream runs in no group.');
  member.failureDomain = 'zone-2';
  member.announce();
  await sleep(800);

  const outcomes: string[] = [];
  const streams: Promise<void>[] = [];
  const sendStreams = async () => {
    for (let index = 0; isSending; index++) {
      const to = index % 2 === 0 ? platform.address : address;
      const response = platform.send('/stream/1', { id: `request-${index}`, address: to });
      const stream = response.then(async (response) => {
        const body = await response.text();
        outcomes.push(response.status === 200 ? 'ok' : `${Date.now() - orderedAtMs} ${body}`);
      });
      streams.push(stream);
      await sleep(SEND_INTERVAL_MS);
    }
  };
  const orderedAtMs = Date.now();
  void sendStreams();
  store.put('keyed.op', 'evacuate/zone-2', {});

  await t.test('its stream is finished, and it gets no request after the bound', async (t) => {
    const text = await long.text();
    t.equal(text.match(/^id: /gm)?.length, EVENTS_PER_STREAM);
    await sleep(orderedAtMs + BOUND_MS + 2_000 - Date.now());
    const late = fleet.runs.filter(
      ({ instance, atMs }) => instance === head.id && atMs > orderedAtMs + BOUND_MS,
    );
    const isSameGroup = head.group?.name === group.name;
    t.ok(late.length === 0 || !isSameGroup, 'only in another group');
    t.same([...new Set(outcomes)], ['ok']);
  });

  await t.test('it is dissolved, and its other member is used in a group elsewhere', async (t) => {
    const open = listOpenGroups();
    t.notOk(open.some(({ members }) => members.includes(member.id)));
    t.ok(open.length >= 2, `${open.length} groups are open`);
    t.equal(member.group, undefined);
    t.ok(open.some(({ members }) => members.includes(head.id)));
    t.same(fleet.violations, []);
  });

  await t.test('its member is used again after the revocation', async (t) => {
    store.put('keyed.op', 'evacuate/zone-2', undefined);
    for (let waitedMs = 0; waitedMs < 5_000 && !member.group; waitedMs += 100) await sleep(100);
    t.ok(member.group, 'it has a standby group, or a group');
  });
  isSending = false;
  await Promise.all(streams);
});
