import { randomUUID } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import {
  Counters,
  Dispatched,
  type Outcome,
  type ServiceConfiguration,
  systemClock,
  Undispatched,
} from '@monsoonreach/core';
import type { ServiceAnswer } from '@monsoonreach/callers';
import { AtMostOnce } from '@monsoonreach/entry';
import { HttpLog } from '@monsoonreach/log';
import t from 'tap';
import { v7 as uuidv7 } from 'uuid';
import { LogStandin } from '../standins/logStandin.js';
import { sleep } from '../standins/http.js';

/** Timeout of the service, in milliseconds; longer than the log takes for the outcome of a call. */
const SERVICE_TIMEOUT_MS = 15_000;

interface Case {
  readonly name: string;
  /**
   * Delay of each call of the log, in milliseconds. An entry waits 3 s for a claim. The first copy's claim is one append,
   * those of the others are the next one.
   */
  readonly delayMs: number;
  readonly copies: number;
  readonly expected: readonly string[];
  readonly runs: number;
}

const cases: readonly Case[] = [
  {
    name: 'a copy whose claim is confirmed in time gets the answer of the first one',
    delayMs: 100,
    copies: 3,
    expected: ['answered 200', 'answered 200 again', 'answered 200 again'],
    runs: 1,
  },
  // Guards against a copy that is refused as its own claim is confirmed late, though the log has shown the first one.
  {
    name: 'a copy whose claim is confirmed late gets the answer of the first one',
    delayMs: 1_900,
    copies: 3,
    expected: ['answered 200', 'answered 200 again', 'answered 200 again'],
    runs: 1,
  },
  {
    name: 'copies are refused as not run when the log confirms no claim in time',
    delayMs: 3_200,
    copies: 2,
    expected: ['not-run log-unavailable', 'not-run log-unavailable'],
    runs: 0,
  },
];

function describe(outcome: Outcome<ServiceAnswer>): string {
  return outcome.kind === 'answered'
    ? `answered ${outcome.answer.status}${outcome.answer.isReplayed ? ' again' : ''}`
    : `${outcome.kind} ${outcome.reason}`;
}

for (const { name, delayMs, copies, expected, runs } of cases) {
  void t.test(name, async (t) => {
    const { standin, server } = await LogStandin.start();
    const log = new HttpLog(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    const counters = new Counters();
    const writer = { address: 'entry-1', incarnation: randomUUID() };
    const atMostOnce = new AtMostOnce({
      clock: systemClock,
      counters,
      fleet: { log, writer },
    });
    t.teardown(async () => {
      await atMostOnce.stop();
      await log.close();
      server.closeAllConnections();
      server.close();
    });
    atMostOnce.start();
    while (!atMostOnce.isReady()) await sleep(10);
    standin.setFaults({ delayMs });

    const key = uuidv7();
    let dispatches = 0;
    const placeOrder = () =>
      atMostOnce.run(
        {
          request: {
            service: 'booking',
            method: 'POST',
            path: '/orders',
            contentType: 'application/json',
            idempotencyKey: key,
            body: Buffer.from('{"cowl":"H"}'),
          },
          call: {
            requestId: randomUUID(),
            workspace: 'fitters',
            signal: new AbortController().signal,
            undispatched: new Undispatched(),
          },
          service: { timeout: SERVICE_TIMEOUT_MS } as ServiceConfiguration,
        },
        () => {
          dispatches++;
          const body = Buffer.from('{"orders":1}');
          const answer = { status: 200, contentType: 'application/json', body, isReplayed: false };
          return Promise.resolve(new Dispatched().answered(answer));
        },
      );
    const outcomes = await Promise.all(Array.from({ length: copies }, placeOrder));
    t.same(outcomes.map(describe), expected);
    t.equal(dispatches, runs);
  });
}
