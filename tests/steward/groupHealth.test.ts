import type { GroupHealth } from '@monsoonreach/core';
import { assessGroup, isReleaseOutdated, type Observation } from '@monsoonreach/steward';
import t from 'tap';
import { ControlStream, IDLE, observe, readyFor } from './stewardFixtures.js';

const HEAD = '127.0.0.1:1';
const MEMBER = '127.0.0.1:2';

/** Health of a group of two whose head is ready and whose member's last probe showed this. */
function assess(toObservation: (epoch: number) => Observation): GroupHealth {
  const stream = new ControlStream();
  const epoch = stream.form('g', [HEAD, MEMBER]);
  const group = stream.groups.findGroup('g');
  if (!group) throw new Error('The group was not formed.');
  const head = observe(readyFor('g', epoch), since(epoch));
  const observations = new Map([
    [HEAD, head],
    [MEMBER, toObservation(epoch)],
  ]);
  return assessGroup(group, (address) => observations.get(address));
}

function since(position: number): Partial<Observation> {
  return { basis: { position, openIntents: [] } };
}

// A planner that took over dissolved a whole group by what it had seen of a member before that group was formed.
void t.test('a member has diverged only by a status read after it was assigned', (t) => {
  const cases: readonly {
    readonly name: string;
    readonly member: (epoch: number) => Observation;
    readonly phase: GroupHealth['phase'];
  }[] = [
    { name: 'ready', member: (epoch) => observe(readyFor('g', epoch), since(epoch)), phase: 'whole' },
    { name: 'idle', member: (epoch) => observe(IDLE, since(epoch)), phase: 'loading' },
    {
      name: 'ready for another group',
      member: (epoch) => observe(readyFor('h', epoch - 1), since(epoch)),
      phase: 'broken',
    },
    {
      name: 'ready for another group before it was assigned',
      member: (epoch) => observe(readyFor('h', epoch - 1), since(epoch - 1)),
      phase: 'loading',
    },
    {
      name: 'under another boot id',
      member: (epoch) => observe({ ...IDLE, boot: 'b2' }, since(epoch)),
      phase: 'broken',
    },
    {
      name: 'under another boot id before it was assigned',
      member: (epoch) => observe({ ...IDLE, boot: 'b0' }, since(epoch - 1)),
      phase: 'loading',
    },
  ];
  for (const { name, member, phase } of cases) t.equal(assess(member).phase, phase, name);
  t.end();
});

void t.test('a silent member is missing for as long as its probes have shown it', (t) => {
  const silence = { sinceMs: 1_000, untilMs: 3_500 };
  const health = assess((epoch) => observe(readyFor('g', epoch), { ...since(epoch), silence }));
  t.same(health, {
    phase: 'broken',
    missing: [{ address: MEMBER, unreachableForMs: 2_500 }],
    restarted: [],
  });
  t.end();
});

// A spare that had restarted was assigned under its former boot id, and the new group was dissolved at once.
void t.test('a release is outdated by a status read after it that shows another boot or a group', (t) => {
  const cases: readonly {
    readonly name: string;
    readonly status: Observation['status'];
    readonly isReadBefore?: boolean;
    readonly isOutdated: boolean;
  }[] = [
    { name: 'idle', status: IDLE, isOutdated: false },
    { name: 'restarted', status: { ...IDLE, boot: 'b2' }, isOutdated: true },
    { name: 'in a group', status: readyFor('h', 1), isOutdated: true },
    { name: 'loading', status: { ...readyFor('h', 1), phase: 'loading' }, isOutdated: true },
    { name: 'restarted before', status: { ...IDLE, boot: 'b2' }, isReadBefore: true, isOutdated: false },
    { name: 'in a group before', status: readyFor('h', 1), isReadBefore: true, isOutdated: false },
    { name: 'never read', status: undefined, isOutdated: false },
  ];
  for (const { name, status, isReadBefore = false, isOutdated } of cases) {
    const stream = new ControlStream();
    const { position } = stream.release(MEMBER);
    const observation = status && observe(status, since(isReadBefore ? position - 1 : position));
    t.equal(isReleaseOutdated(stream.groups.findInstance(MEMBER), observation), isOutdated, name);
  }
  t.notOk(isReleaseOutdated(undefined, observe(IDLE)), 'an instance without a record');
  t.end();
});
