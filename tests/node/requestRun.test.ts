import t from 'tap';
import { sleep } from '../standins/http.js';
import type { RawAnswer, RawHandler } from '../support/rawHttp.js';
import { CHUNKED, GroupFixture, REQUEST, ROUTE, toChunk, toEvent, withDeadline } from './groupFixture.js';

const toMisdirected = (id: string) =>
  `HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ${id}\r\nContent-Length: 0\r\n\r\n`;

/** What another group does with a stream whose first group goes on after 1.2 s. */
const successorCases: readonly { readonly name: string; readonly second: RawHandler }[] = [
  {
    name: 'another one answered that it is not the head',
    second: ({ socket, id }) => {
      socket.write(toMisdirected(id));
    },
  },
  {
    name: 'another one answered so after a while',
    second: ({ socket, id }) => {
      setTimeout(() => {
        socket.write(toMisdirected(id));
      }, 400);
    },
  },
  {
    name: 'another one was full',
    second: ({ socket, id }) => {
      const head = `HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\n`;
      socket.write(`${head}Content-Length: 0\r\n\r\n`);
    },
  },
  { name: 'another one was lost', second: ({ socket }) => socket.resetAndDestroy() },
  { name: 'another one was silent as well', second: () => undefined },
  {
    name: 'another one sent its head only',
    second: ({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}`);
    },
  },
  {
    name: 'another one was late',
    second: ({ socket }) => {
      setTimeout(() => {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(2))}`);
      }, 1_100);
    },
  },
];

/** Refusals of a head that answers, by the instance that it names as the cause. */
const refusalCases: readonly {
  readonly name: string;
  readonly status: string;
  readonly cause: (head: string) => string | undefined;
  readonly isReported: boolean;
}[] = [
  { name: 'names itself', status: '503 Full', cause: (head) => head, isReported: false },
  { name: 'names its own id', status: '503 Full', cause: () => 'head-0', isReported: false },
  { name: 'names none', status: '503 Full', cause: () => undefined, isReported: false },
  { name: 'is no head and names itself', status: '421 Other', cause: (head) => head, isReported: false },
  { name: 'names a member', status: '503 Broken', cause: () => '127.0.0.1:9', isReported: true },
];

const fixture = new GroupFixture();

void t.test('requests for groups', async (t) => {
  await fixture.start();
  t.teardown(() => setTimeout(() => process.exit(), 100));

  // Guards against a slow but sound stream that is broken off because no other group takes it.
  await t.test('a silent stream stays at its group until another one is assigned', async (t) => {
    let placements = 0;
    fixture.place = (_criteria, onChoice) => {
      onChoice(++placements === 1 ? fixture.choose(0) : { kind: 'none', reason: 'all-full' });
    };
    fixture.reset(({ socket }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`);
      setTimeout(() => socket.write(`${toChunk(toEvent(2))}0\r\n\r\n`), 1_200);
    });
    const answer: RawAnswer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.ok(answer.isComplete);
    t.ok(placements > 1, 'another group was asked for');
    t.ok(placements < 10, `${placements} groups were asked for`);
  });

  // Guards against a full head that counts as stalled, whose sound streams the planner then ends.
  await t.test('only a refusal that names another member is reported as a silent group', async (t) => {
    for (const { name, status, cause, isReported } of refusalCases) {
      let placements = 0;
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(++placements === 1 ? 0 : 1));
      };
      const [first, second] = fixture.targets;
      const named = cause(first.address);
      first.reset(({ socket, id }) => {
        const head = `HTTP/1.1 ${status}\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n`;
        socket.write(`${head}${named === undefined ? '' : `At-Server: ${named}\r\n`}\r\n`);
      });
      second.reset(({ socket }) => {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}0\r\n\r\n`);
      });
      fixture.reported.length = 0;
      const answer = await fixture.caller().exchange(REQUEST);
      t.equal(answer.body, toEvent(1), `${name}: another group answers`);
      t.same(fixture.reported, isReported ? ['group-0'] : [], name);
    }
  });

  await t.test(
    'a silent stream moves once another group is assigned, and its work is cancelled',
    async (t) => {
      let placements = 0;
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(++placements === 1 ? 0 : 1));
      };
      fixture.reset(({ socket, head }) => {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}`);
        if (/^Last-Event-Id: 1$/im.test(head)) socket.write(`${toChunk(toEvent(2))}0\r\n\r\n`);
        else socket.write(toChunk(toEvent(1)));
      });
      const answer = await fixture.caller().exchange(REQUEST);
      t.equal(answer.body, toEvent(1) + toEvent(2));
      t.ok(answer.isComplete);
      await sleep(50);
      t.ok(fixture.targets[0].requests.every(({ socket }) => socket.destroyed));
    },
  );

  for (const { name, second } of successorCases) {
    // Guards against a stream that is cut though its target goes on, as it was given up for one that does not run it.
    await t.test(`a silent stream goes on at its group after ${name}`, async (t) => {
      let placements = 0;
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(++placements === 1 ? 0 : 1));
      };
      fixture.reset((request) => {
        if (/^Last-Event-Id: 1$/im.test(request.head)) {
          second(request);
          return;
        }
        request.socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`);
        setTimeout(() => request.socket.write(toChunk(toEvent(2))), 1_200);
        setTimeout(() => request.socket.write(`${toChunk(toEvent(3))}0\r\n\r\n`), 1_300);
      });
      const answer = await fixture.caller().exchange(REQUEST);
      t.equal(answer.body, toEvent(1) + toEvent(2) + toEvent(3));
      t.ok(answer.isComplete);
      t.ok(fixture.targets[1].requests.length > 0, 'the other group was asked');
      await sleep(50);
      t.ok(
        fixture.targets[1].requests.every(({ socket }) => socket.destroyed),
        'its work is cancelled',
      );
    });
  }

  for (const memberDomain of ['zone-1', 'zone-9']) {
    // Guards against a repeat at a group of which a member outside of the home regions has become known meanwhile.
    await t.test(`a repeat on a new connection, with a member in ${memberDomain}`, async (t) => {
      const isHome = memberDomain === 'zone-1';
      fixture.route = { ...ROUTE, homes: ['zone-1', 'zone-2', 'zone-3'] };
      t.teardown(() => {
        fixture.route = ROUTE;
        fixture.findCandidate = () => undefined;
      });
      const answer: RawHandler = ({ socket }) => {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}0\r\n\r\n`);
      };
      const [first, second] = fixture.targets;
      let next: 0 | 1 = 0;
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(next));
      };
      second.reset(answer);
      first.reset((request) => {
        if (request.ordinal === 1) {
          answer(request);
          return;
        }
        next = 1;
        fixture.findCandidate = (key) => {
          const choice = fixture.choose(0);
          if (choice.kind === 'none' || choice.candidate.key !== key) return undefined;
          return { ...choice.candidate, failureDomains: [memberDomain] };
        };
        request.socket.destroy();
      });
      for (let index = 0; index < 2; index++)
        t.equal((await fixture.caller().exchange(REQUEST)).body, toEvent(1));
      t.equal(first.requests.length, isHome ? 3 : 2);
      t.equal(second.requests.length, isHome ? 0 : 1);
    });
  }

  // Guards against a request that is refused because the only attempt of its route reached an instance that is no head.
  await t.test('an attempt that reached another instance than the one meant does not count', async (t) => {
    fixture.route = { ...ROUTE, maxAttempts: 1 };
    let placements = 0;
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(++placements === 1 ? 0 : 1));
    };
    fixture.reset(({ socket, id }) => {
      const isFirst = fixture.targets[1].requests.length === 0;
      if (isFirst) socket.write(toMisdirected(id));
      else socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}0\r\n\r\n`);
    });
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.status, 200);
    t.equal(placements, 2);
    fixture.route = ROUTE;
  });

  // Guards against a stream that is cut with its first target though another one has taken it over.
  await t.test('a silent stream goes on at the other group when its first one is lost', async (t) => {
    let placements = 0;
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(++placements === 1 ? 0 : 1));
    };
    fixture.reset(({ socket, head }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}`);
      if (/^Last-Event-Id: 1$/im.test(head)) {
        for (const { socket: first } of fixture.targets[0].requests) first.resetAndDestroy();
        setTimeout(() => socket.write(`${toChunk(toEvent(2))}0\r\n\r\n`), 200);
      } else socket.write(toChunk(toEvent(1)));
    });
    const answer = await fixture.caller().exchange(REQUEST);
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.ok(answer.isComplete);
    t.equal(placements, 2);
  });

  for (const [kind, isResumable] of [
    ['idempotent', false],
    ['stream', true],
  ] as const) {
    // Guards against targets that send without end, many at once, and fill the memory of the node.
    await t.test(`the largest answers are given up when all together are too large: ${kind}`, async (t) => {
      fixture.route = { ...ROUTE, kind, isResumable, maxAttempts: 1 };
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(0));
      };
      const begin = 'id: 1\ndata: ';
      fixture.reset(({ socket, id }) => {
        const head = `HTTP/1.1 200 OK\r\n${CHUNKED.replace('Attempt-Id: a', `Attempt-Id: ${id}`)}`;
        socket.write(head + toChunk(begin + 'x'.repeat(id === 'small' ? 100 : 40_000)));
        setTimeout(() => socket.write(`${toChunk('\n\n')}0\r\n\r\n`), 200);
      });
      const answers = await Promise.all(
        ['large-1', 'large-2', 'small', 'large-3', 'large-4'].map((id) =>
          fixture.caller().exchange(REQUEST.replace('Attempt-Id: a', `Attempt-Id: ${id}`)),
        ),
      );
      const statuses = answers.map(({ status }) => status);
      t.equal(statuses[2], 200, 'the small one is complete');
      t.same([...statuses].sort(), [200, 200, 200, 502, 502]);
      fixture.route = ROUTE;
    });
  }

  // Guards against work for callers that left while their request waited for a group.
  await t.test('nothing is sent for a caller that left before its group was assigned', async (t) => {
    fixture.place = (_criteria, onChoice) =>
      setTimeout(() => {
        onChoice(fixture.choose(0));
      }, 100);
    fixture.reset(() => undefined);
    const caller = fixture.caller();
    caller.socket.write(REQUEST);
    await sleep(50);
    caller.socket.destroy();
    await sleep(200);
    t.ok(fixture.targets.every(({ requests }) => requests.length === 0));
  });

  // Guards against a second run that begins in a stop and is cut, while the first one may still answer.
  await t.test('late in a stop, a silent stream that has not begun stays at its group', async (t) => {
    fixture.beginStop(2_000);
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(0));
    };
    fixture.reset(({ socket }) => {
      setTimeout(() => {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}0\r\n\r\n`);
      }, 900);
    });
    const exchange = fixture.caller().exchange(withDeadline(1_800));
    await sleep(100);
    fixture.beginStop(1_200);
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(1));
    };
    const answer = await exchange;
    t.equal(answer.body, toEvent(1));
    t.ok(answer.isComplete);
    t.equal(fixture.targets[1].requests.length, 0);
    fixture.endStop();
  });

  // Guards against answers that promise "not run" for a request that a target may have run.
  await t.test(
    'late in a stop, a stream whose target is lost is in doubt, and does not run again',
    async (t) => {
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(0));
      };
      fixture.reset(({ socket }) => {
        fixture.beginStop(500);
        fixture.place = (_criteria, onChoice) => {
          onChoice(fixture.choose(1));
        };
        socket.resetAndDestroy();
      });
      const answer = await fixture.caller().exchange(withDeadline(1_800));
      t.equal(answer.status, 502);
      t.match(answer.body, /"run":"in-doubt"/);
      t.equal(fixture.targets[1].requests.length, 0);
      fixture.endStop();
    },
  );

  // Guards against a stream that its caller is reading and that is broken off though another group could go on.
  await t.test('late in a stop, a stream that has begun goes on at another group', async (t) => {
    fixture.beginStop(1_900);
    fixture.place = (_criteria, onChoice) => {
      onChoice(fixture.choose(0));
    };
    fixture.reset(({ socket, head }) => {
      socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}`);
      if (/^Last-Event-Id: 1$/im.test(head)) {
        socket.write(`${toChunk(toEvent(2))}0\r\n\r\n`);
        return;
      }
      socket.write(toChunk(toEvent(1)));
      fixture.beginStop(1_000);
      fixture.place = (_criteria, onChoice) => {
        onChoice(fixture.choose(1));
      };
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    const answer = await fixture.caller().exchange(withDeadline(1_800));
    t.equal(answer.body, toEvent(1) + toEvent(2));
    t.ok(answer.isComplete);
    fixture.endStop();
  });

  // Guards against requests that wait for a group and are given to it when they can no longer end before the process.
  await t.test('a stream whose group is assigned too late in a stop is refused as not run', async (t) => {
    fixture.place = (_criteria, onChoice) =>
      setTimeout(() => {
        fixture.beginStop(500);
        onChoice(fixture.choose(0));
      }, 100);
    fixture.reset(() => undefined);
    const answer = await fixture.caller().exchange(withDeadline(1_800));
    t.equal(answer.status, 503);
    t.match(answer.body, /"reason":"stopping","run":"not-run"/);
    t.ok(fixture.targets.every(({ requests }) => requests.length === 0));
    fixture.endStop();
  });

  // Guards against a group that stands still and is not reported since its head, whose queue is full, has just refused.
  await t.test('a silent group is reported also after its head has refused another request', async (t) => {
    // The others have taught their fixture that its groups are slow.
    const own = new GroupFixture();
    await own.start();
    own.place = (_criteria, onChoice) => {
      onChoice(own.choose(0));
    };
    const [first] = own.targets;
    first.reset(({ socket, id }) => {
      if (id === 'a') {
        socket.write(`HTTP/1.1 200 OK\r\n${CHUNKED}${toChunk(toEvent(1))}`);
        setTimeout(() => socket.write(`${toChunk(toEvent(2))}0\r\n\r\n`), 1_500);
        return;
      }
      const head = `HTTP/1.1 503 Full\r\nAttempt-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n`;
      socket.write(`${head}At-Server: ${first.address}\r\n\r\n`);
    });
    own.reported.length = 0;
    own.route = { ...ROUTE, maxAttempts: 1 };
    const stream = own.caller().exchange(REQUEST);
    await sleep(200);
    const refused = await own.caller().exchange(REQUEST.replace('Attempt-Id: a', 'Attempt-Id: b'));
    t.equal(refused.status, 503);
    t.same(own.reported, []);
    await sleep(400);
    t.same(own.reported, ['group-0'], 'in the 700 ms for which the head is avoided');
    t.ok((await stream).isComplete);
  });
});
