import t from 'tap';
import { LocalFleet, TOKENS } from '../support/localFleet.js';

const TOKENS_PER_ANSWER = 80;
const TOKEN_MS = 50;

const ends: readonly {
  readonly name: string;
  readonly end: (fleet: LocalFleet, members: readonly string[]) => Promise<unknown>;
}[] = [
  {
    name: 'a member is listed as leaving',
    end: (fleet, [, member = '']) =>
      fetch(`http://${fleet.liveList.address}/leaving?address=${member}`, { method: 'POST' }),
  },
  { name: 'a member announces to leave', end: (_, [, member = '']) => fetch(`http://${member}/leave`) },
  {
    name: 'the model gets a new version',
    end: (fleet) => fleet.publish(fleet.createConfiguration('2026-12-2')),
  },
];

// The steward stopped a group at once that it had dissolved as planned, and the streams of its callers were cut.
for (const { name, end } of ends) {
  void t.test(`a stream in progress goes on at its group when ${name}`, async (t) => {
    const engine = { tokens: TOKENS_PER_ANSWER, tokenMs: TOKEN_MS };
    const fleet = new LocalFleet({ entries: 1, stewards: 1, engines: 4, services: 1, groups: 1, engine });
    t.teardown(() => fleet.stop());
    await fleet.start();
    const [entry] = fleet.entries;
    const [steward] = fleet.stewards;
    if (!entry || !steward) throw new Error('The fleet is incomplete.');
    await fleet.waitUntil('a group', async () => (await fleet.readServingGroups(entry)).length === 1);
    const [former = ''] = await fleet.readServingGroups(entry);
    const { groups } = (await fleet.readStatus(steward)) as {
      readonly groups: readonly { readonly id: string; readonly members: readonly string[] }[];
    };
    const members = groups.find(({ id }) => id === former)?.members ?? [];

    const response = await fetch(`http://${entry.address}/v1/chat/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TOKENS.fitters}`, 'content-type': 'application/json' },
      body: JSON.stringify({
        model: 'assistant',
        stream: true,
        messages: [{ role: 'user', content: 'flue' }],
      }),
    });
    await end(fleet, members);
    const text = await response.text();
    const sent = fleet.readJournal().filter(({ event }) => event === 'completion');
    t.match(text, /data: \[DONE\]\n\n$/, 'the answer is whole');
    t.equal(sent.length, 1, 'it was sent once');
    await fleet.waitUntil('a new group', async () => {
      const serving = await fleet.readServingGroups(entry);
      return serving.length === 1 && !serving.includes(former);
    });
    await fleet.waitUntil('the former members to stop', () => {
      const stopped = fleet.readJournal().filter(({ event }) => event === 'order-stop');
      return Promise.resolve(
        members.every((member) =>
          stopped.some((order) => order['address'] === member && order['group'] === former),
        ),
      );
    });
  });
}
