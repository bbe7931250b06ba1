import { systemClock } from '@monsoonreach/core';
import t from 'tap';
import { InstanceFleet } from '../platform/instanceStandin.js';
import { StoreStandin } from '../platform/storeStandin.js';
import { FaultProxy } from '../soak/faultProxy.js';
import { sleep } from '../standins/http.js';
import { createMemberEntry } from '../support/instanceList.js';
import { createPlanner } from '../support/planner.js';
import { findFreePorts } from '../support/ports.js';

/** Time in which a planner frees the members of a lost head, in milliseconds. */
const DECISION_MS = 4_000;

const cases: readonly { readonly name: string; readonly isServed: boolean; readonly isEnded: boolean }[] = [
  { name: 'keeps its members while it serves other nodes', isServed: true, isEnded: false },
  { name: 'loses its members when it serves no node', isServed: false, isEnded: true },
];

for (const { name, isServed, isEnded } of cases) {
  // Guards against an open group that serves and is ended as its planner has lost its own path to the head.
  void t.test(`a head that is silent for its planner and another node ${name}`, async (t) => {
    const store = new StoreStandin();
    const fleet = new InstanceFleet(store, 1);
    const address = await store.start();
    const head = await fleet.add('head', 'engines', 'domain-1');
    const member = await fleet.add('member', 'engines', 'domain-1');
    const members = ['head', 'member'];
    head.setGroup({ name: 'old', epoch: 5, rank: 0, members, state: 'open' }, 2);
    member.setGroup({ name: 'old', epoch: 5, rank: 1, members, state: 'ready' }, 1);
    const link = new FaultProxy(() => head.address);
    const [port = 0] = await findFreePorts(1);
    await link.listen(port);
    link.setState({ kind: 'silent' });
    const entries = [
      ['head', createMemberEntry(`127.0.0.1:${port}`, { rank: 0, state: 'open' })],
      ['member', createMemberEntry(member.address, { rank: 1 })],
    ] as const;
    const planner = await createPlanner('node-1', address, entries, {
      getServedAtMs: () => (isServed ? systemClock.monotonic() - 500 : -Infinity),
    });
    t.teardown(() => {
      planner.stop();
      link.close();
      fleet.stop();
      store.stop();
    });
    await planner.start();
    for (let waitedMs = 0; waitedMs < DECISION_MS; waitedMs += 500) {
      for (const node of ['node-1', 'node-2']) planner.planning.suspectGroup('old@5', node);
      await sleep(500);
    }
    t.equal(member.group?.name !== 'old', isEnded);
  });
}
