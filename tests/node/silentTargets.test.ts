import { groupId } from '@monsoonreach/core';
import t from 'tap';
import { InstanceFleet, type InstanceStandin } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';
import { sleep } from '../standins/http.js';
import { replaceList } from '../support/instanceList.js';
import { createPlanner } from '../support/planner.js';

/** Interval at which the planner's list is read again, in milliseconds. */
const LIST_INTERVAL_MS = 50;
/** Longest wait for a change of the groups, in milliseconds. */
const CHANGE_TIMEOUT_MS = 10_000;

/** Starts a planner whose list follows the instances; each pair of them forms a group, and one is left over. */
async function startPlanner(instanceCount: number) {
  const store = new StoreStandin();
  const fleet = new InstanceFleet(store, 1);
  const address = await store.start();
  for (let index = 0; index < instanceCount; index++)
    await fleet.add(`engine-${index}`, 'engines', 'domain-1');
  const engines = [...fleet.instances.values()];
  const planner = await createPlanner('node-1', address, []);
  const readList = () => {
    replaceList(
      planner.list,
      engines.map((engine) => [engine.id, engine.describeEntry()]),
    );
  };
  readList();
  const timer = setInterval(readList, LIST_INTERVAL_MS);
  await planner.start();
  const stop = () => {
    clearInterval(timer);
    planner.stop();
    fleet.stop();
    store.stop();
  };
  return { fleet, engines, planning: planner.planning, stop };
}

async function waitUntil(condition: () => boolean): Promise<boolean> {
  const untilMs = Date.now() + CHANGE_TIMEOUT_MS;
  while (!condition() && Date.now() < untilMs) await sleep(LIST_INTERVAL_MS);
  return condition();
}

const isOpenHead = ({ group }: InstanceStandin) => group?.rank === 0 && group.state === 'open';

const listMates = (head: InstanceStandin, engines: readonly InstanceStandin[]) =>
  engines.filter((engine) => engine !== head && engine.group?.name === head.group?.name);

/** Lets the instance fall silent, and other nodes report that its group makes no progress, until `condition` holds. */
async function silenceUntil(
  silent: InstanceStandin,
  planning: { suspectGroup: (group: string, reporter: string) => void },
  condition: () => boolean,
): Promise<boolean> {
  const { group } = silent;
  if (!group) return false;
  silent.mode = 'dark';
  const hasChanged = await waitUntil(() => {
    planning.suspectGroup(groupId({ group: group.name, epoch: group.epoch }), 'node-2');
    return condition();
  });
  silent.mode = 'well';
  return hasChanged;
}

// A leave of a member was taken for the head's, so that a head that answered again joined another group while it was open.
void t.test(
  'a head that answers again after its members have left is not used while it is open',
  async (t) => {
    const { fleet, engines, planning, stop } = await startPlanner(7);
    t.teardown(stop);
    t.ok(await waitUntil(() => engines.filter(isOpenHead).length === 3), 'three groups are open');

    const head = engines.find(isOpenHead);
    const other = engines.findLast(isOpenHead);
    if (!head || !other || head === other) throw new Error('Expected two open groups.');
    const group = head.group?.name;
    const mates = listMates(head, engines);
    const hasReformed = () =>
      mates.every((mate) => mate.group?.name !== group && mate.group?.state !== 'joining');
    t.ok(
      await silenceUntil(head, planning, hasReformed),
      'the members of the silent head are used without it',
    );

    const [otherMate] = listMates(other, engines);
    if (!otherMate) throw new Error('Expected a member.');
    await silenceUntil(otherMate, planning, () => other.group?.name !== otherMate.group?.name);
    await sleep(1_500);
    t.same(fleet.violations, [], 'no instance was in two groups');
  },
);
