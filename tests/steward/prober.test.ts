import { ManualClock } from '@monsoonreach/core';
import { type Observation, type ObservationBasis, Prober } from '@monsoonreach/steward';
import {
  EngineCallError,
  type EngineCallFailureReason,
  EngineClient,
  type EngineStatus,
} from '@monsoonreach/targets';
import t from 'tap';
import { IDLE, readyFor } from './stewardFixtures.js';

const ADDRESS = '127.0.0.1:1';
const INTERVAL_MS = 500;
const POLL_MS = 5;

/** An engine whose status reads stay open until the test ends them. */
class HeldClient extends EngineClient {
  end: ((result: EngineStatus | EngineCallError) => void) | undefined;

  constructor() {
    super(ADDRESS);
  }

  override readStatus(): Promise<EngineStatus> {
    return new Promise((resolve, reject) => {
      this.end = (result) => {
        this.end = undefined;
        if (result instanceof EngineCallError) reject(result);
        else resolve(result);
      };
    });
  }
}

class HeldProber extends Prober {
  readonly client = new HeldClient();

  override clientOf(): EngineClient {
    return this.client;
  }
}

/** A prober of one engine whose clock, answers and control stream are set by hand. */
class Bench {
  readonly clock = new ManualClock();
  basis: ObservationBasis = { position: 1, openIntents: [] };
  private readonly _observed: Observation[] = [];
  private readonly _prober = new HeldProber({
    clock: this.clock,
    probeIntervals: () => new Map([[ADDRESS, INTERVAL_MS]]),
    findBasis: () => this.basis,
    onProbed: (_, observation) => this._observed.push(observation),
  });

  start(): void {
    this._prober.start();
  }

  stop(): Promise<void> {
    return this._prober.stop();
  }

  /** Waits for the next probe to be sent at the present time, which must be due. */
  async awaitProbe(): Promise<void> {
    while (!this._prober.client.end) await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }

  /** Ends the read in flight, after which the probe reads once more. */
  async endRead(result: EngineCallFailureReason): Promise<void> {
    this._end(result);
    await this.awaitProbe();
  }

  /** Ends the probe in flight and returns the observation. */
  async endProbe(result: EngineStatus | EngineCallFailureReason): Promise<Observation> {
    const seen = this._observed.length;
    this._end(result);
    for (;;) {
      const observation = this._observed[seen];
      if (observation) return observation;
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  private _end(result: EngineStatus | EngineCallFailureReason): void {
    this._prober.client.end?.(
      typeof result === 'string' ? new EngineCallError(result, 'The probe failed.') : result,
    );
  }
}

async function withBench(run: (bench: Bench) => Promise<void>): Promise<void> {
  const bench = new Bench();
  bench.start();
  try {
    await run(bench);
  } finally {
    await bench.stop();
  }
}

void t.test('an observation has the basis that was known when its probe was sent', async (t) => {
  await withBench(async (bench) => {
    await bench.awaitProbe();
    const sent = bench.basis;
    bench.basis = { position: 2, openIntents: [7] };
    t.same((await bench.endProbe(IDLE)).basis, sent, 'answered');
    bench.clock.advance(INTERVAL_MS);
    await bench.awaitProbe();
    t.same(
      (await bench.endProbe('timeout')).basis,
      sent,
      'an unanswered probe keeps the basis of its status',
    );
  });
});

void t.test(
  'an instance is idle since the first of an unbroken series of probes that found it so',
  async (t) => {
    const cases: readonly {
      readonly name: string;
      readonly between: EngineStatus | 'timeout';
      readonly last: EngineStatus;
      readonly idleSinceMs: number | undefined;
    }[] = [
      { name: 'idle throughout', between: IDLE, last: IDLE, idleSinceMs: 0 },
      { name: 'silent in between', between: 'timeout', last: IDLE, idleSinceMs: 1_000 },
      { name: 'in a group in between', between: readyFor('g', 3), last: IDLE, idleSinceMs: 1_000 },
      { name: 'restarted', between: IDLE, last: { ...IDLE, boot: 'b2' }, idleSinceMs: 1_000 },
      { name: 'in a group at last', between: IDLE, last: readyFor('g', 3), idleSinceMs: undefined },
    ];
    for (const { name, between, last, idleSinceMs } of cases) {
      await withBench(async (bench) => {
        await bench.awaitProbe();
        await bench.endProbe(IDLE);
        bench.clock.advance(INTERVAL_MS);
        await bench.awaitProbe();
        await bench.endProbe(between);
        bench.clock.advance(INTERVAL_MS);
        await bench.awaitProbe();
        t.equal((await bench.endProbe(last)).idleSinceMs, idleSinceMs, name);
      });
    }
  },
);

// A steward that was paused counted its own pause as the silence of the engines, and dissolved their groups.
void t.test('an instance is silent for as long as probes have shown it', async (t) => {
  const cases: readonly {
    readonly name: string;
    /** For each unanswered probe: the time until it is sent and until it is given up, in milliseconds. */
    readonly probes: readonly { readonly sentAfterMs: number; readonly givenUpAfterMs: number }[];
    readonly silentForMs: number;
  }[] = [
    { name: 'one probe', probes: [{ sentAfterMs: 0, givenUpAfterMs: 700 }], silentForMs: 700 },
    {
      name: 'three probes',
      probes: [
        { sentAfterMs: 0, givenUpAfterMs: 700 },
        { sentAfterMs: 100, givenUpAfterMs: 700 },
        { sentAfterMs: 1_000, givenUpAfterMs: 0 },
      ],
      silentForMs: 2_500,
    },
    {
      name: 'paused during the probe',
      probes: [{ sentAfterMs: 0, givenUpAfterMs: 6_000 }],
      silentForMs: 700,
    },
    {
      name: 'paused between two probes',
      probes: [
        { sentAfterMs: 0, givenUpAfterMs: 700 },
        { sentAfterMs: 6_000, givenUpAfterMs: 700 },
      ],
      silentForMs: 700,
    },
    {
      name: 'paused during the first of two probes',
      probes: [
        { sentAfterMs: 0, givenUpAfterMs: 6_000 },
        { sentAfterMs: 100, givenUpAfterMs: 700 },
      ],
      silentForMs: 700,
    },
  ];
  for (const { name, probes, silentForMs } of cases) {
    await withBench(async (bench) => {
      let last: Observation | undefined;
      for (const { sentAfterMs, givenUpAfterMs } of probes) {
        bench.clock.advance(sentAfterMs);
        await bench.awaitProbe();
        bench.clock.advance(givenUpAfterMs);
        last = await bench.endProbe('timeout');
      }
      const { sinceMs = 0, untilMs = 0 } = last?.silence ?? {};
      t.equal(untilMs - sinceMs, silentForMs, name);
    });
  }
});

// One probe connection that an engine reset counted as its end, and every stream of its group was aborted.
void t.test('only a refused connection shows that an engine has ended', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly reads: readonly EngineCallFailureReason[];
    readonly last: EngineStatus | EngineCallFailureReason;
    readonly hasConnectionFailed: boolean;
    readonly isSilent: boolean;
  }[] = [
    {
      name: 'reset, then answered',
      reads: ['reset'],
      last: IDLE,
      hasConnectionFailed: false,
      isSilent: false,
    },
    { name: 'reset twice', reads: ['reset'], last: 'reset', hasConnectionFailed: false, isSilent: true },
    {
      name: 'reset, then refused',
      reads: ['reset'],
      last: 'unreachable',
      hasConnectionFailed: true,
      isSilent: true,
    },
    { name: 'refused', reads: [], last: 'unreachable', hasConnectionFailed: true, isSilent: true },
    { name: 'unanswered', reads: [], last: 'timeout', hasConnectionFailed: false, isSilent: true },
  ];
  for (const { name, reads, last, hasConnectionFailed, isSilent } of cases) {
    await withBench(async (bench) => {
      await bench.awaitProbe();
      for (const read of reads) await bench.endRead(read);
      const observation = await bench.endProbe(last);
      t.equal(observation.hasConnectionFailed, hasConnectionFailed, name);
      t.equal(observation.silence !== undefined, isSilent, `${name}: silent`);
    });
  }
});
