import { ManualClock } from '@monsoonreach/core';
import { GroupDirectory } from '@monsoonreach/entry';
import t from 'tap';
import { ControlStream, createConfiguration } from '../steward/stewardFixtures.js';

const MEMBERS = ['127.0.0.1:1', '127.0.0.1:2'];
const WHOLE_MS = 2_500;

class Bench {
  readonly clock = new ManualClock();
  readonly stream = new ControlStream();
  readonly lost: string[] = [];
  readonly epoch = this.stream.form('g', MEMBERS);
  readonly directory = new GroupDirectory({
    clock: this.clock,
    groups: () => this.stream.groups,
    configuration: () => createConfiguration({ checksFencing: true }),
    isLeaving: () => false,
    regionOf: () => 'r',
  });

  constructor() {
    this.directory.onLost((group) => this.lost.push(group));
  }

  /** Applies a steward's answer to a query sent now. */
  answer(remainingMs: number, missing: readonly string[] = [], epoch = this.epoch): void {
    const lease = { group: 'g', epoch: BigInt(epoch), remainingMs, inFlight: 0, loadAgeMs: 0 };
    this.directory.renewLeases(this.clock.monotonic(), [
      { $typeName: 'monsoonreach.v1.GroupLease', ...lease, missing: [...missing] },
    ]);
  }

  isServing(): boolean {
    return this.directory.candidates('m').length === 1;
  }
}

void t.test('a group serves only under a lease for its epoch, and not after a loss', (t) => {
  const cases: readonly {
    readonly name: string;
    readonly steps: (bench: Bench) => void;
    readonly isServing: boolean;
    readonly lost: readonly string[];
  }[] = [
    {
      name: 'never reported',
      steps: () => undefined,
      isServing: false,
      lost: [],
    },
    {
      name: 'whole',
      steps: (bench) => {
        bench.answer(WHOLE_MS);
      },
      isServing: true,
      lost: [],
    },
    {
      name: 'whole at another epoch',
      steps: (bench) => {
        bench.answer(WHOLE_MS, [], bench.epoch - 1);
      },
      isServing: false,
      lost: [],
    },
    {
      name: 'broken, reported twice',
      steps: (bench) => {
        bench.answer(WHOLE_MS);
        bench.answer(0, MEMBERS);
        bench.answer(0, MEMBERS);
      },
      isServing: false,
      lost: ['g'],
    },
    {
      name: 'whole again at the same epoch',
      steps: (bench) => {
        bench.answer(WHOLE_MS);
        bench.answer(0, MEMBERS);
        bench.clock.advance(1_000);
        bench.answer(WHOLE_MS - 100);
      },
      isServing: true,
      lost: ['g'],
    },
    {
      name: 'whole again, and broken again',
      steps: (bench) => {
        bench.answer(WHOLE_MS);
        bench.answer(0, MEMBERS);
        bench.clock.advance(1_000);
        bench.answer(WHOLE_MS - 100);
        bench.answer(0, MEMBERS);
      },
      isServing: false,
      lost: ['g', 'g'],
    },
    {
      name: 'lost by a request, reported whole by a probe from before',
      steps: (bench) => {
        bench.answer(WHOLE_MS);
        bench.directory.markLost('g');
        bench.clock.advance(500);
        bench.answer(WHOLE_MS - 900);
      },
      isServing: false,
      lost: [],
    },
    {
      name: 'dissolved under a valid lease',
      steps: (bench) => {
        bench.answer(WHOLE_MS);
        bench.stream.dissolve('g');
      },
      isServing: false,
      lost: [],
    },
  ];
  for (const { name, steps, isServing, lost } of cases) {
    const bench = new Bench();
    bench.clock.advance(5_000);
    bench.directory.tick();
    steps(bench);
    t.equal(bench.isServing(), isServing, name);
    t.same(bench.lost, lost, `${name}: losses`);
  }
  t.end();
});
