import type { TargetChoice } from '@monsoonreach/core';
import type { PlacementCriteria } from '@monsoonreach/node';
import t from 'tap';
import { readHeader, type RawHandler } from '../support/rawHttp.js';
import { CHUNKED, GroupFixture, REQUEST, toChunk, toEvent } from './groupFixture.js';

const END = '0\r\n\r\n';
const sendEvent =
  (id: number): RawHandler =>
  ({ socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(id))}${END}`);
  };

const fixture = new GroupFixture();
const [first, second] = fixture.targets;
/** Keys that each ask told to avoid. */
let asked: (readonly string[])[] = [];

/** Orders the evacuation of these failure domains: `zone-2` has a member of the first group, `zone-3` one of the second. */
function evacuate(...domains: readonly string[]): void {
  fixture.evacuations.applySnapshot(domains.map((failureDomain) => ({ failureDomain, offset: 1 })));
}

/** Answers asks as an owner that has not read the order: with the first group that is not avoided. */
function chooseAsUnaware({ tried }: PlacementCriteria, onChoice: (choice: TargetChoice) => void): void {
  asked.push([...tried]);
  if (!tried.has('group-0')) onChoice(fixture.choose(0));
  else if (!tried.has('group-1')) onChoice(fixture.choose(1));
  else onChoice({ kind: 'none', reason: 'no-target' });
}

void t.test('requests for groups with a member in an excluded failure domain', async (t) => {
  await fixture.start();
  t.teardown(() => setTimeout(() => process.exit(), 100));
  t.beforeEach(() => {
    evacuate();
    asked = [];
    fixture.candidates = [0, 1];
    fixture.place = chooseAsUnaware;
  });

  // Guards against a grant that is older than the order and takes a request into the domain.
  await t.test('a granted target is not used, and the owner is asked again without it', async (t) => {
    evacuate('zone-2');
    fixture.reset(sendEvent(1));
    const { body } = await fixture.caller().exchange(REQUEST);
    t.equal(body, toEvent(1));
    t.equal(first.requests.length, 0);
    t.same(asked, [[], ['group-0']]);
  });

  // Guards against a request that asks endlessly, as the owner goes on to grant targets in the domain.
  await t.test('the node chooses itself when it is granted an excluded target again', async (t) => {
    evacuate('zone-2');
    let asks = 0;
    fixture.place = (_criteria, onChoice) => {
      asks++;
      onChoice(fixture.choose(0));
    };
    fixture.reset(sendEvent(1));
    const { body } = await fixture.caller().exchange(REQUEST);
    t.equal(body, toEvent(1));
    t.equal(first.requests.length, 0);
    t.equal(asks, 2);
  });

  // Guards against a request that waits, or whose refusal does not tell that it was not run, or why.
  await t.test('a request is refused at once when only excluded targets are left', async (t) => {
    evacuate('zone-2', 'zone-3');
    fixture.reset(sendEvent(1));
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.status, 503);
    t.match(answer.body, /"reason":"evacuated"/);
    t.match(answer.body, /"run":"not-run"/);
    t.ok(answer.durationMs < 500, `after ${answer.durationMs} ms`);
    t.equal(first.requests.length + second.requests.length, 0);
  });

  // Guards against a request in progress that is broken off by the order.
  await t.test('a stream that runs when the order comes is finished', async (t) => {
    fixture.reset(({ socket }) => {
      evacuate('zone-2', 'zone-3');
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`);
      setTimeout(() => socket.write(`${toChunk(toEvent(2))}${END}`), 100);
    });
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.ok(answer.isComplete);
    t.equal(first.requests.length, 1);
  });

  // Guards against a stream that is resumed in the domain, at the target that has broken it off or at another one.
  await t.test('a stream is resumed elsewhere after the order', async (t) => {
    fixture.reset(sendEvent(2));
    first.handle = ({ socket }) => {
      evacuate('zone-2');
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`, () => {
        setTimeout(() => socket.resetAndDestroy(), 100);
      });
    };
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(0));
    };
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.equal(first.requests.length, 1);
    t.equal(readHeader(second.requests[0]?.head ?? '', 'last-event-id'), '1');
  });

  await t.test('a stream is cut when it can be resumed only at excluded targets', async (t) => {
    fixture.reset(sendEvent(2));
    first.handle = ({ socket }) => {
      evacuate('zone-2', 'zone-3');
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`, () => {
        setTimeout(() => socket.resetAndDestroy(), 100);
      });
    };
    const answer = await fixture.caller().exchange(REQUEST);
    t.notOk(answer.isComplete);
    t.equal(first.requests.length, 1);
    t.equal(second.requests.length, 0);
  });

  // Guards against a second attempt of a silent request that reaches the domain.
  await t.test('a silent stream gets no second attempt at an excluded target', async (t) => {
    fixture.reset(sendEvent(2));
    first.handle = ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`);
      setTimeout(() => socket.write(`${toChunk(toEvent(2))}${END}`), 1_200);
    };
    // The order comes while the node waits for the grant of a second attempt.
    let asks = 0;
    fixture.place = (_criteria, onChoice) => {
      if (asks++ > 0) evacuate('zone-3');
      onChoice(fixture.choose(asks === 1 ? 0 : 1));
    };
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.equal(asks, 2);
    t.equal(second.requests.length, 0);
  });

  // Guards against a request that is sent again to the domain because the connection was closed under it.
  await t.test('a request on a connection that was closed is not repeated in the domain', async (t) => {
    fixture.reset(sendEvent(1));
    await fixture.caller().exchange(REQUEST);
    t.equal(first.requests.length, 1, 'its connection is kept open');
    first.handle = ({ socket }) => {
      evacuate('zone-2');
      socket.resetAndDestroy();
    };
    const { body } = await fixture.caller().exchange(REQUEST);
    t.equal(body, toEvent(1));
    t.equal(first.requests[1]?.ordinal, 2, 'on the same connection');
    t.equal(first.requests.length, 2);
    t.equal(second.requests.length, 1);
  });
});
