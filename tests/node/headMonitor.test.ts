import { ManualClock } from '@monsoonreach/core';
import { HeadMonitor } from '@monsoonreach/node';
import { decodeConfiguration } from '@monsoonreach/platform';
import t from 'tap';
import { createConfiguration } from '../platform/platformFleet.js';
import { SERVICE } from '../serving/fixtures.js';
import { createInstanceList } from '../support/instanceList.js';

/** Time after which the members of a group whose head no node has ever seen are used, in milliseconds. */
const UNKNOWN_HEAD_WAIT_MS = 12_000;

const CONFIGURATION = decodeConfiguration(Buffer.from(JSON.stringify(createConfiguration(1))));

/** Creates the entry of an instance of the service; the revision makes it another entry. */
function createEntry(service: string, id: string, revision: number, group?: object) {
  const entry = {
    service,
    address: '127.0.0.1:9',
    zone: 'zone-1',
    slots: 8 + (revision % 2),
    state: 'ready',
    seqNo: revision,
    staged: [],
    models: [],
    ...(group && { group }),
  };
  return { key: id, value: Buffer.from(JSON.stringify(entry)) };
}

// With two services, each forgot the groups without a head of the other, whose members waited for as long as the list changed.
for (const names of [['engines'], ['engines', 'other'], ['other', 'engines']]) {
  void t.test(`members wait for an unknown head for a limited time, with services ${names.join()}`, (t) => {
    const clock = new ManualClock();
    const { list, log } = createInstanceList({ clock });
    const services = new Map(names.map((name) => [name, { ...SERVICE, name }]));
    const heads = new HeadMonitor({
      node: 'node-1',
      list,
      clock,
      log,
      configuration: () => ({ ...CONFIGURATION, services }),
      peers: () => ['node-2', 'node-3'],
      isOwned: () => true,
      onFinding: () => undefined,
    });
    const group = { name: 'large.5', epoch: 5, rank: 1, state: 'ready' };
    const tick = (revision: number) => {
      list.applyChanges([
        createEntry('engines', 'member', 1, group),
        createEntry(names[0] ?? '', 'changing', revision),
      ]);
      heads.tick();
    };
    tick(0);
    t.notOk(heads.isReleased('large.5@5'));
    for (let second = 1; second <= UNKNOWN_HEAD_WAIT_MS / 1_000 + 1; second++) {
      clock.advance(1_000);
      tick(second);
    }
    t.ok(heads.isReleased('large.5@5'));
    t.end();
  });
}
