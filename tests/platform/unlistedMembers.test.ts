import t from 'tap';
import { sleep } from '../standins/http.js';
import { API_KEY, createConfiguration, EVENTS_PER_STREAM, PlatformFleet } from './platformFleet.js';
import type { InstanceStandin } from './instanceStandin.js';

/** Pause between two events, so that a stream takes 2 s, in milliseconds. */
const EVENT_PAUSE_MS = 50;
const CLOSED = ['closing', 'ready', undefined];

const platform = new PlatformFleet();
const { fleet, store } = platform;

/** Starts a stream, and returns the head and another member of the group that runs it. */
async function startStream(id: string) {
  const response = await platform.send('/stream/1', { id });
  await sleep(100);
  const run = fleet.runs.find(({ requestId }) => requestId === id);
  const head = fleet.instances.get(run?.instance ?? '');
  const member = fleet.instances.get(head?.group?.members.find((other) => other !== head.id) ?? '');
  if (!head || !member) throw new Error(`Stream ${id} runs in no group.`);
  return { response, head, member };
}

const cases: readonly {
  readonly name: string;
  readonly disappear: (member: InstanceStandin) => void;
  readonly isClosed: boolean;
}[] = [
  {
    name: 'a member that leaves without having announced it',
    disappear: (member) => void member.leaveUnlisted(700),
    isClosed: true,
  },
  {
    name: 'a member that is only cut off from the store',
    disappear: (member) => {
      member.isDisconnectedFromStore = true;
      store.put('keyed.servers', member.id, undefined);
    },
    isClosed: false,
  },
];

// Guards against streams that are cut since nothing closes the group of a member whose entry is removed, and against a
// sound group that is closed since a member cannot reach the store.
void t.test('a group whose member disappears from the list', async (t) => {
  await platform.start();
  t.teardown(() => {
    fleet.stop();
    store.stop();
    setTimeout(() => process.exit(), 100);
  });
  store.put('keyed.op', 'config', createConfiguration(2, [API_KEY], { stepMs: EVENT_PAUSE_MS }));
  fleet.pauseBefore = () => EVENT_PAUSE_MS;
  for (const { name, disappear, isClosed } of cases) {
    await t.test(name, async (t) => {
      const id = name.replaceAll(' ', '-');
      const { response, head, member } = await startStream(id);
      disappear(member);
      await sleep(1_200);
      t.equal(CLOSED.includes(head.group?.state), isClosed, `the head is ${head.group?.state ?? 'free'}`);
      const events = (await response.text()).match(/^id: /gm)?.length;
      t.equal(events, EVENTS_PER_STREAM, 'the stream is complete');
      t.equal(fleet.runs.filter(({ requestId }) => requestId === id).length, 1, 'it ran once');
      await sleep(1_500);
      const open = [...fleet.instances.values()].filter(({ group }) => group?.state === 'open');
      t.equal(open.length, 2, 'two groups are open');
    });
  }
});
