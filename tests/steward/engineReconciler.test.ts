import { type Configuration, Counters, ManualClock } from '@monsoonreach/core';
import { EngineReconciler, type Observation } from '@monsoonreach/steward';
import {
  EngineCallError,
  type EngineCallFailureReason,
  EngineClient,
  type EngineOrder,
  type EngineStatus,
} from '@monsoonreach/targets';
import t from 'tap';
import { ControlStream, createConfiguration, IDLE, observe, readyFor } from './stewardFixtures.js';

const ADDRESS = '127.0.0.1:1';
const OTHER = '127.0.0.1:2';
const ORDER_TIMEOUT_MS = 1_000;
/** How long after its intent was written an order may still be sent. */
const SEND_WINDOW_MS = 1_000;

class RecordingClient extends EngineClient {
  /** How the next orders fail; they are taken without it. */
  failure: EngineCallFailureReason | undefined;

  constructor(private readonly _orders: EngineOrder[]) {
    super(ADDRESS);
  }

  override sendOrder(order: EngineOrder): Promise<void> {
    this._orders.push(order);
    if (this.failure) return Promise.reject(new EngineCallError(this.failure, 'The order failed.'));
    return Promise.resolve();
  }
}

/** A reconciler on a control stream in memory. The last probe of the instance is set by hand. */
class Bench {
  readonly clock = new ManualClock();
  readonly stream = new ControlStream();
  readonly orders: EngineOrder[] = [];
  /** How long the log takes to confirm a record. */
  confirmationMs = 0;
  configuration: Configuration;
  observation: Observation | undefined;
  readonly client = new RecordingClient(this.orders);
  private readonly _reconciler: EngineReconciler;

  constructor(options: { readonly checksFencing: boolean }) {
    this.configuration = createConfiguration(options);
    this._reconciler = new EngineReconciler({
      clock: this.clock,
      counters: new Counters(),
      groups: () => this.stream.groups,
      configuration: () => this.configuration,
      prober: { findObservation: () => this.observation, clientOf: () => this.client },
      nextControlOffset: () => 1_000,
      write: (body) => {
        const verdict = this.stream.write(body);
        this.clock.advance(this.confirmationMs);
        return Promise.resolve(verdict);
      },
      onLoaded: () => undefined,
    });
  }

  /** Sets the last probe to one that is sent and answered now. */
  probe(status: Observation['status'], observation: Partial<Observation> = {}): void {
    const groups = this.stream.groups;
    if (!status) return;
    const previous = this.observation;
    const probedAtMs = this.clock.monotonic();
    const isIdle = status.phase === 'idle' && status.group === null;
    this.observation = observe(status, {
      probedAtMs,
      basis: {
        position: groups.findInstance(ADDRESS)?.position ?? 0,
        openIntents: groups.intentsOf(ADDRESS).map(({ position }) => position),
      },
      idleSinceMs: isIdle ? (previous?.idleSinceMs ?? probedAtMs) : undefined,
      ...observation,
    });
  }

  async tick(): Promise<void> {
    this._reconciler.trackOpenIntents();
    const instance = { address: ADDRESS, failureDomain: 'a', fabricDomain: 'f', accelerators: 8 };
    const state = { isLeaving: false, isReachable: true, isReleaseOutdated: false };
    this._reconciler.reconcile([{ ...instance, ...state }]);
    await new Promise((resolve) => setImmediate(resolve));
  }

  isReleased(): boolean {
    return this.stream.groups.findInstance(ADDRESS)?.kind === 'released';
  }
}

/** A group whose instance may still get a load order by another steward, whose intent is open; then dissolved. */
async function dissolveBesideLoadOrder(): Promise<{ readonly bench: Bench; readonly intent: number }> {
  const bench = new Bench({ checksFencing: false });
  bench.stream.form('g', [ADDRESS, OTHER]);
  const intent = bench.stream.intend(ADDRESS, 'load', 'g');
  bench.stream.dissolve('g');
  bench.probe(IDLE);
  await bench.tick();
  return { bench, intent };
}

// An engine that ignores fencing tokens took a late load order behind the probe that its release rested on.
void t.test('an instance is released only by a probe sent after all its orders have ended', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly steps: (bench: Bench, intent: number) => Promise<void> | void;
    readonly isReleased: boolean;
  }[] = [
    {
      name: 'the order was answered after the probe was sent',
      steps: (bench, intent) => void bench.stream.write({ kind: 'outcome', address: ADDRESS, intent }),
      isReleased: false,
    },
    {
      name: 'the order was answered before the probe was sent',
      steps: (bench, intent) => {
        bench.stream.write({ kind: 'outcome', address: ADDRESS, intent });
        bench.clock.advance(500);
        bench.probe(IDLE);
      },
      isReleased: true,
    },
    {
      name: 'the steward was paused after the probe',
      steps: (bench) => {
        bench.clock.advance(6_000);
      },
      isReleased: false,
    },
    {
      name: 'the next probe is still unanswered when the order must have ended',
      steps: async (bench) => {
        bench.clock.advance(600);
        bench.probe(IDLE);
        bench.clock.advance(600);
        await bench.tick();
      },
      isReleased: false,
    },
    {
      name: 'a probe was sent after the order must have ended',
      steps: (bench) => {
        bench.clock.advance(SEND_WINDOW_MS + ORDER_TIMEOUT_MS + 1);
        bench.probe(IDLE);
      },
      isReleased: true,
    },
    {
      name: 'a probe was sent while an order could be late whose intent was read back late',
      steps: (bench) => {
        bench.clock.advance(ORDER_TIMEOUT_MS + 1);
        bench.probe(IDLE);
      },
      isReleased: false,
    },
    {
      name: 'the order was answered in records that a checkpoint replaced',
      steps: (bench, intent) => {
        bench.stream.write({ kind: 'outcome', address: ADDRESS, intent });
        bench.stream.loadCheckpoint();
        bench.clock.advance(SEND_WINDOW_MS + ORDER_TIMEOUT_MS + 1);
      },
      isReleased: false,
    },
    {
      name: 'a checkpoint was loaded and a probe was sent after the order must have ended',
      steps: (bench) => {
        bench.stream.loadCheckpoint();
        bench.clock.advance(SEND_WINDOW_MS + ORDER_TIMEOUT_MS + 1);
        bench.probe(IDLE);
      },
      isReleased: true,
    },
    {
      name: 'another planner released and assigned the instance in between',
      steps: (bench, intent) => {
        bench.stream.write({ kind: 'outcome', address: ADDRESS, intent });
        bench.stream.release(ADDRESS);
        bench.stream.release(OTHER);
        bench.stream.form('h', [ADDRESS, OTHER]);
        bench.stream.dissolve('h');
        bench.clock.advance(SEND_WINDOW_MS + ORDER_TIMEOUT_MS + 1);
      },
      isReleased: false,
    },
    {
      name: 'the engine was not idle in between',
      steps: (bench) => {
        bench.clock.advance(600);
        bench.probe(readyFor('g', 1));
        bench.clock.advance(600);
        bench.probe(IDLE);
      },
      isReleased: false,
    },
  ];
  for (const { name, steps, isReleased } of cases) {
    const { bench, intent } = await dissolveBesideLoadOrder();
    t.notOk(bench.isReleased(), `${name}: not released while the order may be under way`);
    await steps(bench, intent);
    await bench.tick();
    t.equal(bench.isReleased(), isReleased, name);
  }
});

// An order was sent seconds after its intent, when the log confirmed it late, and others held it for settled.
void t.test('an order is sent only shortly after its intent was written', async (t) => {
  const cases = [
    { name: 'confirmed in time', confirmationMs: SEND_WINDOW_MS, orders: 1 },
    { name: 'confirmed late', confirmationMs: SEND_WINDOW_MS + 1, orders: 0 },
  ];
  for (const { name, confirmationMs, orders } of cases) {
    const bench = new Bench({ checksFencing: false });
    bench.stream.form('g', [ADDRESS, OTHER]);
    bench.probe(IDLE);
    bench.confirmationMs = confirmationMs;
    await bench.tick();
    t.equal(bench.orders.length, orders, name);
    t.same(bench.stream.groups.intentsOf(ADDRESS), [], `${name}: the intent is closed`);
  }
});

// The intent of an order was closed when its connection was reset, though the engine could still take the order.
void t.test('the intent of an order that may still arrive stays open', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly failure?: EngineCallFailureReason;
    readonly isOpen: boolean;
  }[] = [
    { name: 'taken', isOpen: false },
    { name: 'refused by the engine', failure: 'refused', isOpen: false },
    { name: 'answered with something else', failure: 'malformed', isOpen: false },
    { name: 'unanswered', failure: 'timeout', isOpen: true },
    { name: 'connection reset', failure: 'unreachable', isOpen: true },
  ];
  for (const { name, failure, isOpen } of cases) {
    const bench = new Bench({ checksFencing: false });
    bench.stream.form('g', [ADDRESS, OTHER]);
    bench.client.failure = failure;
    bench.probe(IDLE);
    await bench.tick();
    t.equal(bench.stream.groups.intentsOf(ADDRESS).length === 1, isOpen, name);
  }
});

// By a status read before its release, an instance that had been assigned since was ordered to stop.
void t.test('an order to stop or a release rests on a status read since the last record', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly status: EngineStatus;
    readonly isReadBefore: boolean;
    readonly record: 'released' | 'stopping';
    readonly orders: number;
    readonly releases: number;
  }[] = [
    {
      name: 'busy, read before the release',
      status: readyFor('g', 1),
      isReadBefore: true,
      record: 'released',
      orders: 0,
      releases: 0,
    },
    {
      name: 'busy, read since the release',
      status: readyFor('g', 1),
      isReadBefore: false,
      record: 'released',
      orders: 1,
      releases: 0,
    },
    {
      name: 'idle under another boot id, read before the release',
      status: { ...IDLE, boot: 'b0' },
      isReadBefore: true,
      record: 'released',
      orders: 0,
      releases: 0,
    },
    {
      name: 'idle under another boot id, read since the release',
      status: { ...IDLE, boot: 'b2' },
      isReadBefore: false,
      record: 'released',
      orders: 0,
      releases: 1,
    },
    {
      name: 'busy, read before the dissolution',
      status: readyFor('g', 1),
      isReadBefore: true,
      record: 'stopping',
      orders: 1,
      releases: 0,
    },
    {
      name: 'idle, read before the dissolution',
      status: IDLE,
      isReadBefore: true,
      record: 'stopping',
      orders: 0,
      releases: 0,
    },
    {
      name: 'idle, read since the dissolution',
      status: IDLE,
      isReadBefore: false,
      record: 'stopping',
      orders: 0,
      releases: 1,
    },
  ];
  for (const { name, status, isReadBefore, record, orders, releases } of cases) {
    const bench = new Bench({ checksFencing: false });
    bench.stream.form('g', [ADDRESS, OTHER]);
    const before = bench.stream.groups.findInstance(ADDRESS)?.position ?? 0;
    bench.stream.dissolve('g');
    if (record === 'released') bench.stream.release(ADDRESS);
    const basis = { position: before, openIntents: [] };
    bench.probe(status, isReadBefore ? { basis } : {});
    const written = bench.stream.written.length;
    await bench.tick();
    t.equal(bench.orders.length, orders, `${name}: orders`);
    const records = bench.stream.written.slice(written).filter(({ kind }) => kind === 'release');
    t.equal(records.length, releases, `${name}: releases`);
  }
});

// A model that was removed left its instances released below a load order that was still under way.
void t.test('an instance of a removed model is released only once its engine has the number', async (t) => {
  const cases = [
    { name: 'the model stands', isModelRemoved: false },
    { name: 'the model was removed', isModelRemoved: true },
  ];
  for (const { name, isModelRemoved } of cases) {
    const bench = new Bench({ checksFencing: true });
    bench.stream.form('g', [ADDRESS, OTHER]);
    const dissolvedAt = bench.stream.dissolve('g');
    if (isModelRemoved) bench.configuration = { ...bench.configuration, model: {} };
    bench.probe(IDLE);
    await bench.tick();
    t.notOk(bench.isReleased(), `${name}: not released below the number of the dissolution`);
    t.match(bench.orders, [{ order: 'stop', fencing: dissolvedAt }], `${name}: the number is raised`);
    bench.clock.advance(ORDER_TIMEOUT_MS + 1);
    bench.probe({ ...IDLE, fencing: dissolvedAt });
    await bench.tick();
    t.ok(bench.isReleased(), `${name}: released at the number`);
  }
});
