import { createRandom } from '@monsoonreach/core';
import t from 'tap';
import { type CallRecord, requestCompletion } from '../history/callers.js';
import { checkHistories } from '../history/checker.js';
import { LocalFleet } from '../support/localFleet.js';

interface StewardStatus {
  readonly groups: readonly { readonly id: string; readonly members: readonly string[] }[];
  readonly released: readonly string[];
}

for (const checksFencing of [true, false]) {
  const engines = checksFencing ? 'check' : 'ignore';
  // A head that was silent while its group was dissolved answers again, and runs as before, beside its members' new group.
  void t.test(
    `a head that returns to a dissolved group gets nothing and is stopped; engines ${engines} numbers`,
    async (t) => {
      const fleet = new LocalFleet({
        entries: 1,
        stewards: 1,
        engines: 3,
        services: 1,
        groups: 1,
        checksFencing,
      });
      t.teardown(() => fleet.stop());
      await fleet.start();
      const [entry] = fleet.entries;
      const [steward] = fleet.stewards;
      if (!entry || !steward) throw new Error('The fleet is incomplete.');
      const readSteward = async () => (await fleet.readStatus(steward)) as unknown as StewardStatus;
      const history: CallRecord[] = [];
      const callers = { entries: () => [entry.address], random: createRandom(1), history };
      await fleet.waitUntil('a group', async () => (await fleet.readServingGroups(entry)).length === 1);
      const [former] = await fleet.readServingGroups(entry);
      const group = (await readSteward()).groups.find(({ id }) => id === former);
      const [headAddress = '', memberAddress = ''] = group?.members ?? [];
      const head = fleet.engines.find(({ address }) => address === headAddress);
      if (!head) throw new Error('The group has no head.');

      fleet.sendSignal(head, 'SIGSTOP');
      await fleet.waitUntil('a new group', async () => {
        const serving = await fleet.readServingGroups(entry);
        return serving.length === 1 && !serving.includes(former ?? '');
      });
      const [successor] = await fleet.readServingGroups(entry);
      const successorMembers = (await readSteward()).groups.find(({ id }) => id === successor)?.members;
      t.ok(successorMembers?.includes(memberAddress), 'the former member serves in the new group');
      t.notOk((await readSteward()).released.includes(headAddress), 'the silent head is not released');

      const returnedAtMs = Date.now();
      fleet.sendSignal(head, 'SIGCONT');
      await fleet.waitUntil('the head to be released', async () => {
        await requestCompletion(callers);
        return (await readSteward()).released.includes(headAddress);
      });
      const journal = fleet.readJournal();
      const atHead = journal.filter(
        ({ address, atMs }) => address === headAddress && Number(atMs) >= returnedAtMs,
      );
      t.same(
        [...new Set(atHead.map(({ event }) => event))].filter((event) => event !== 'order-refused'),
        ['order-stop'],
        'the head is ordered to stop, and gets nothing else',
      );
      t.ok(
        history.every(({ result }) => result.kind === 'answered'),
        'all requests were answered',
      );
      const empty = { leaving: [], kills: [], configurations: new Map<string, number[]>() };
      t.same(checkHistories({ ...empty, callers: history, journal }), []);
      const stoppedAtMs = Number(atHead.find(({ event }) => event === 'order-stop')?.['atMs']);
      t.comment(`stopped ${stoppedAtMs - returnedAtMs} ms after its return`);
    },
  );
}
