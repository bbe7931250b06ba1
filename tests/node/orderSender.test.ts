import { systemClock } from '@monsoonreach/core';
import { OrderSender } from '@monsoonreach/node';
import t from 'tap';
import { InstanceFleet } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';
import { createInstanceList, replaceList } from '../support/instanceList.js';

const GROUP = { group: 'old', epoch: 5 };
const TERM = 1;

// Reports with a lower number of orders than was known were ignored for ever, and each order was refused.
void t.test('an instance that has begun fewer orders than was known takes orders again', async (t) => {
  const store = new StoreStandin();
  const fleet = new InstanceFleet(store, 1);
  const head = await fleet.add('head', 'engines', 'domain-1');
  const { list, log, counters } = createInstanceList();
  const sender = new OrderSender({
    list,
    clock: systemClock,
    counters,
    log,
    findTerm: () => TERM,
    onFenced: () => undefined,
    onAcknowledged: () => undefined,
    onReportResult: () => undefined,
  });
  t.teardown(() => {
    sender.stop();
    fleet.stop();
  });
  const membership = { name: 'old', epoch: 5, rank: 0, members: ['head', 'member'], state: 'ready' as const };
  const sendLeave = async () => {
    replaceList(list, [['head', head.describeEntry()]]);
    const instance = sender.listInstances().get('head');
    if (instance) await sender.send({ kind: 'leave', instance, ...GROUP });
  };
  head.setGroup(membership, 3);
  replaceList(list, [['head', head.describeEntry()]]);
  const listed = list.get('head');
  if (!listed) throw new Error('Expected the head in the list.');
  await sender.refresh(listed);
  head.setGroup(membership, 2);
  await sendLeave();
  t.equal(head.group?.name, 'old', 'the first order is refused');
  await sendLeave();
  t.equal(head.group, undefined, 'the second one is carried out');
});
