import { ManualClock } from '@monsoonreach/core';
import { type Observation, Watcher } from '@monsoonreach/steward';
import t from 'tap';
import { ControlStream, IDLE, observe, readyFor } from './stewardFixtures.js';

const HEAD = '127.0.0.1:1';
const MEMBER = '127.0.0.1:2';
const SELF = { id: 's1', failureDomain: 'a' };

/** What a watcher reports of a group of two when the last probe of its member shows this. */
function report(
  toObservation: (epoch: number) => Observation,
  options: { readonly wasWhole: boolean },
): Pick<ReturnType<Watcher['report']>[number], 'remainingMs' | 'missing'> | undefined {
  const stream = new ControlStream();
  const epoch = stream.form('g', [HEAD, MEMBER]);
  const observations = new Map<string, Observation>();
  const watcher = new Watcher({
    clock: new ManualClock(),
    self: SELF,
    stewards: () => [SELF],
    groups: () => stream.groups,
    findObservation: (address) => observations.get(address),
    isLeaving: () => false,
    failureDomainOf: () => 'a',
  });
  observations.set(HEAD, observe(readyFor('g', epoch)));
  observations.set(MEMBER, observe(readyFor('g', epoch)));
  if (options.wasWhole) watcher.report();
  observations.set(MEMBER, toObservation(epoch));
  const [watched] = watcher.report();
  return watched && { remainingMs: watched.remainingMs, missing: watched.missing };
}

// A member that a late order had stopped left its group's lease running until it ended by itself.
void t.test('a member that no longer serves a group that was whole ends its lease', (t) => {
  const whole = { remainingMs: 2_500, missing: [] };
  const broken = { remainingMs: 0, missing: [MEMBER] };
  const cases: readonly {
    readonly name: string;
    readonly member: (epoch: number) => Observation;
    readonly afterWhole: typeof broken | typeof whole | undefined;
    readonly before: typeof whole | undefined;
  }[] = [
    {
      name: 'ready',
      member: (epoch) => observe(readyFor('g', epoch)),
      afterWhole: whole,
      before: whole,
    },
    { name: 'idle', member: () => observe(IDLE), afterWhole: broken, before: undefined },
    {
      name: 'loading for the group',
      member: (epoch) => observe({ ...readyFor('g', epoch), phase: 'loading' }),
      afterWhole: broken,
      before: undefined,
    },
    {
      name: 'ready for another group',
      member: (epoch) => observe(readyFor('h', epoch)),
      afterWhole: broken,
      before: undefined,
    },
    {
      name: 'ready at another epoch',
      member: (epoch) => observe(readyFor('g', epoch - 1)),
      afterWhole: broken,
      before: undefined,
    },
    {
      name: 'restarted',
      member: (epoch) => observe({ ...readyFor('g', epoch), boot: 'b2' }),
      afterWhole: broken,
      before: undefined,
    },
    {
      name: 'silent since it was ready',
      member: (epoch) => observe(readyFor('g', epoch), { silence: { sinceMs: 0, untilMs: 700 } }),
      afterWhole: whole,
      before: whole,
    },
  ];
  for (const { name, member, afterWhole, before } of cases) {
    t.same(report(member, { wasWhole: true }), afterWhole, `${name}, after the group was whole`);
    t.same(report(member, { wasWhole: false }), before, `${name}, before the group was whole`);
  }
  t.end();
});
