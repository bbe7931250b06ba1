import { ManualClock, TargetLimits } from '@monsoonreach/core';
import t from 'tap';

const ID = 'instance-1';
const NODES = 4;

class LimitFixture {
  readonly clock = new ManualClock();
  readonly limits = new TargetLimits(this.clock, () => NODES);

  name(requestsPerS: number | undefined, ageMs = 0): boolean {
    return this.limits.record(ID, { requestsPerS, namedAtMs: this.clock.monotonic() - ageMs });
  }

  /** Sends whenever it is allowed, for this time; returns the number of requests. */
  send(scope: 'fleet' | 'node', durationMs: number): number {
    let requests = 0;
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
      this.clock.advance(10);
      if (this.limits.listExhausted(scope).has(ID)) continue;
      if (scope === 'fleet') this.limits.recordGrant(ID);
      this.limits.recordRequest(ID);
      requests++;
    }
    return requests;
  }
}

const rateCases = [
  { name: 'an owner uses the whole limit', scope: 'fleet', requestsPerS: 5, durationMs: 4_000, expected: 20 },
  { name: 'a node alone uses its share', scope: 'node', requestsPerS: 5, durationMs: 4_000, expected: 5 },
  { name: 'a limit below one a second', scope: 'fleet', requestsPerS: 0.5, durationMs: 8_000, expected: 4 },
  { name: 'a limit of none', scope: 'fleet', requestsPerS: 0, durationMs: 8_000, expected: 0 },
] as const;

void t.test('requests within a limit', (t) => {
  for (const { name, scope, requestsPerS, durationMs, expected } of rateCases) {
    const fixture = new LimitFixture();
    fixture.name(requestsPerS);
    const requests = fixture.send(scope, durationMs);
    t.ok(Math.abs(requests - expected) <= 1, `${name}: ${requests}, expected ${expected}`);
  }
  t.end();
});

void t.test('a pause allows a short burst only', (t) => {
  const fixture = new LimitFixture();
  fixture.name(4);
  fixture.clock.advance(8_000);
  fixture.name(4);
  let burst = 0;
  while (!fixture.limits.listExhausted('fleet').has(ID)) {
    fixture.limits.recordGrant(ID);
    burst++;
  }
  t.equal(burst, 3);
  t.end();
});

void t.test(
  'an instance that names no limit any more is free at once, and peers are told for a while',
  (t) => {
    const fixture = new LimitFixture();
    t.equal(fixture.name(1), true, 'changed');
    t.equal(fixture.name(1), false, 'repeated');
    fixture.clock.advance(10);
    t.equal(fixture.name(undefined), true, 'lifted');
    t.equal(fixture.limits.listExhausted('fleet').size, 0);
    t.equal(fixture.name(1, 5), false, 'an older statement');
    t.equal(fixture.limits.listExhausted('fleet').size, 0);
    t.same([...fixture.limits.list().keys()], [ID]);
    fixture.clock.advance(3_100);
    t.equal(fixture.limits.list().size, 0);
    t.equal(fixture.name(undefined), false, 'unlimited instances are not remembered');
    t.equal(fixture.limits.list().size, 0);
    t.end();
  },
);

void t.test('a limit that nobody repeats expires', (t) => {
  const fixture = new LimitFixture();
  fixture.name(0);
  fixture.clock.advance(19_900);
  t.equal(fixture.limits.list().size, 1);
  fixture.clock.advance(200);
  t.equal(fixture.limits.listExhausted('fleet').size, 0, 'also on a node that reports to no owner');
  t.equal(fixture.limits.list().size, 0);
  t.end();
});
