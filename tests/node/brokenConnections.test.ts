import type { PlacementCriteria } from '@monsoonreach/node';
import { RetryWindowBudget, type TargetChoice } from '@monsoonreach/core';
import t from 'tap';
import { sleep } from '../standins/http.js';
import type { RawHandler } from '../support/rawHttp.js';
import { CHUNKED, GroupFixture, REQUEST, toChunk, toEvent } from './groupFixture.js';

/** Sends the first event of a stream, or the second and last one to a request that resumes it. */
const answerInTwoParts: RawHandler = ({ socket, id, head }) => {
  const isResumed = /^Last-Event-Id: 1$/im.test(head);
  const part = isResumed ? `${toChunk(toEvent(2))}0\r\n\r\n` : toChunk(toEvent(1));
  socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED.replace('Attempt-Id: a', `Attempt-Id: ${id}`)}${part}`);
};

const withId = (id: string) => REQUEST.replace('Attempt-Id: a', `Attempt-Id: ${id}`);

async function createFixture(): Promise<GroupFixture> {
  const fixture = new GroupFixture();
  await fixture.start();
  fixture.reset(answerInTwoParts);
  return fixture;
}

void t.test('broken connections to groups that serve', async (t) => {
  t.teardown(() => setTimeout(() => process.exit(), 100));

  // Guards against streams that are cut with an attempt left because each group has lost a connection.
  await t.test('streams go on when the connections to all groups break at once', async (t) => {
    const fixture = await createFixture();
    let placements = 0;
    fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
      onChoice(fixture.choose(tried.has('group-0') || (tried.size === 0 && placements++ > 0) ? 1 : 0));
    };
    const exchanges = ['a', 'b'].map((id) => fixture.caller().exchange(withId(id)));
    await sleep(150);
    const sockets = fixture.targets.flatMap(({ requests }) => requests.map(({ socket }) => socket));
    t.equal(sockets.length, 2);
    for (const socket of sockets) socket.resetAndDestroy();
    for (const answer of await Promise.all(exchanges)) {
      t.equal(answer.body, toEvent(1) + toEvent(2));
      t.ok(answer.isComplete);
    }
    t.same(fixture.reported, [], 'no group is reported as silent');
  });

  // Guards against a stream that is cut as its second attempt gets a kept connection that broke with the first one.
  await t.test('a stream goes on over a new connection at another group', async (t) => {
    const fixture = await createFixture();
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(1));
    };
    fixture.targets[1].handle = ({ socket, head }) => {
      if (/^Last-Event-Id: 1$/im.test(head))
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(2))}0\r\n\r\n`);
      else socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}0\r\n\r\n`);
    };
    t.ok((await fixture.caller().exchange(REQUEST)).isComplete, 'a connection is kept');
    const kept = fixture.targets[1].requests[0]?.socket;
    t.notOk(kept?.destroyed);
    fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
      onChoice(fixture.choose(tried.has('group-0') ? 1 : 0));
    };
    const exchange = fixture.caller().exchange(REQUEST);
    await sleep(150);
    fixture.targets[0].requests[0]?.socket.resetAndDestroy();
    t.equal((await exchange).body, toEvent(1) + toEvent(2));
    t.not(fixture.targets[1].requests[1]?.socket, kept);
  });

  // Guards against a stream that is cut with an attempt left because its model has a single group.
  await t.test('a stream goes on at its only group over a new connection', async (t) => {
    const fixture = await createFixture();
    fixture.candidates = [0];
    fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
      const none: TargetChoice = { kind: 'none', reason: 'no-target' };
      onChoice(tried.has('group-0') ? none : fixture.choose(0));
    };
    const exchange = fixture.caller().exchange(REQUEST);
    await sleep(150);
    fixture.targets[0].requests[0]?.socket.resetAndDestroy();
    const answer = await exchange;
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.ok(answer.isComplete);
  });

  // Guards against a stream that is cut, as its lost target is looked for, though another one has taken it over.
  await t.test('a stream stays at the group that took it over while the loss was examined', async (t) => {
    const fixture = await createFixture();
    fixture.examineLoss = () => sleep(400);
    fixture.reset(({ socket, head }) => {
      const isResumed = /^Last-Event-Id: 1$/im.test(head);
      if (!isResumed) {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`);
        setTimeout(() => socket.resetAndDestroy(), 150);
        return;
      }
      setTimeout(() => {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(2))}0\r\n\r\n`);
      }, 400);
    });
    fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
      onChoice(fixture.choose(tried.has('group-0') ? 1 : 0));
    };
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.ok(answer.isComplete);
  });

  // Guards against a group whose head has ended and that is not reported, as broken connections are not.
  await t.test('a group that refuses connections is reported as silent', async (t) => {
    const fixture = await createFixture();
    fixture.targets[0].crash();
    fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
      onChoice(fixture.choose(tried.has('group-0') ? 1 : 0));
    };
    const exchange = fixture.caller().exchange(REQUEST);
    await sleep(150);
    fixture.targets[1].requests[0]?.socket.write(`${toChunk(toEvent(2))}0\r\n\r\n`);
    t.equal((await exchange).body, toEvent(1) + toEvent(2));
    t.same(fixture.reported, ['group-0']);
  });

  // Guards against requests that are refused as the budget of retries is used for connections that were not established.
  await t.test('a request that was not sent goes on without a retry', async (t) => {
    const fixture = await createFixture();
    fixture.retries = new RetryWindowBudget({ share: 0, slack: 0, windowMs: 10_000 }, () => 1);
    fixture.targets[0].crash();
    fixture.targets[1].handle = ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}0\r\n\r\n`);
    };
    fixture.place = ({ tried }: PlacementCriteria, onChoice) => {
      onChoice(fixture.choose(tried.has('group-0') ? 1 : 0));
    };
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.status, 200);
    t.equal(answer.body, toEvent(1));
  });
});
