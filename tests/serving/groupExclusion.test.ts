import fc from 'fast-check';
import t from 'tap';
import { type Course, type Disruption, SimulatedFleet } from './simulatedFleet.js';

/** Seed of the courses; a failure names the course itself. */
const SEED = 20_261_205;
const RUN_COUNT = 30;
/** Time at the end of a course in which no order is sent, in milliseconds. */
const QUIET_MS = 5_000;

const disruption: fc.Arbitrary<Disruption> = fc.record({
  kind: fc.constantFrom(
    'silence',
    'silence',
    'cut',
    'restart',
    'leave',
    'lag',
    'rollback',
    'outage',
    'suspicion',
  ),
  instance: fc.nat(8),
  node: fc.nat(1),
  atMs: fc.integer({ min: 2_500, max: 12_000 }),
  durationMs: fc.integer({ min: 300, max: 5_000 }),
});

const course: fc.Arbitrary<Course> = fc.record({
  seed: fc.nat(1_000_000),
  disruptions: fc.array(disruption, { minLength: 4, maxLength: 16, size: 'max' }),
  takeoverAtMs: fc.integer({ min: 3_000, max: 12_000 }),
  overlapMs: fc.integer({ min: 0, max: 3_000 }),
  frozenMs: fc.integer({ min: 0, max: 2_000 }),
  returnAfterMs: fc.option(fc.integer({ min: 0, max: 3_000 }), { nil: undefined }),
});

// A head that was silent while its members left counted as free when it went on, still open, and joined another group.
void t.test('no instance joins another group while its group serves, and all end up in open groups', (t) => {
  fc.assert(
    fc.property(course, (course) => {
      const fleet = new SimulatedFleet(course);
      fleet.run();
      if (fleet.violations.length > 0) throw new Error(fleet.violations.join('; '));
      const unused = fleet.listUnused();
      if (fleet.quietMs < QUIET_MS)
        throw new Error(`Orders are sent until ${fleet.quietMs} ms before the end.`);
      if (unused.length > 0) throw new Error(`Unused after a calm time: ${unused.join('; ')}`);
    }),
    { seed: SEED, numRuns: RUN_COUNT, endOnFailure: true },
  );
  t.end();
});
