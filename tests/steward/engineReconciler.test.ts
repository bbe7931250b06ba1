import { type Configuration, Counters, ManualClock, WHOLE_LEASE_MS } from '@monsoonreach/core';
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
  /** The last probe of the other member, if it differs. */
  otherObservation: Observation | undefined;
  readonly client = new RecordingClient(this.orders);
  private readonly _reconciler: EngineReconciler;

  constructor(options: { readonly checksFencing: boolean }) {
    this.configuration = createConfiguration(options);
    this._reconciler = new EngineReconciler({
      clock: this.clock,
      counters: new Counters(),
      groups: () => this.stream.groups,
      configuration: () => this.configuration,
      prober: {
        findObservation: (address) => (address === OTHER && this.otherObservation) || this.observation,
        clientOf: () => this.client,
      },
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
    const state = { isLeaving: false, isListed: true, isReachable: true, isReleaseOutdated: false };
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
    { name: 'connection reset', failure: 'reset', isOpen: true },
    { name: 'connection refused', failure: 'unreachable', isOpen: true },
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

// A group that was dissolved for a leaving member or a new version was stopped at once, and its streams were cut.
void t.test('a dissolved group is stopped once its requests have ended', async (t) => {
  const leaseMs = WHOLE_LEASE_MS;
  const deadlineMs = 20_000;
  const cases: readonly {
    readonly name: string;
    /** Requests in progress at the head, by the probe that is sent `probedAfterMs` after the dissolution was seen. */
    readonly inFlight: number;
    readonly probedAfterMs: number;
    readonly waitedMs?: number;
    readonly status?: Partial<EngineStatus>;
    readonly orders: number;
  }[] = [
    { name: 'requests in progress', inFlight: 1, probedAfterMs: leaseMs, orders: 0 },
    { name: 'no request, and an entry may still send one', inFlight: 0, probedAfterMs: 500, orders: 0 },
    {
      name: 'no request when probed, and one may have come since',
      inFlight: 0,
      probedAfterMs: 500,
      waitedMs: leaseMs,
      orders: 0,
    },
    { name: 'no request, and none can come', inFlight: 0, probedAfterMs: leaseMs, orders: 1 },
    {
      name: 'requests within their deadline',
      inFlight: 1,
      probedAfterMs: leaseMs + deadlineMs - 1,
      orders: 0,
    },
    { name: 'requests past their deadline', inFlight: 1, probedAfterMs: leaseMs + deadlineMs, orders: 1 },
    { name: 'restarted', inFlight: 1, probedAfterMs: 500, status: { boot: 'b2' }, orders: 1 },
    { name: 'loading', inFlight: 0, probedAfterMs: 500, status: { phase: 'loading' }, orders: 1 },
    { name: 'at another epoch', inFlight: 1, probedAfterMs: 500, status: { epoch: 1 }, orders: 1 },
  ];
  for (const { name, inFlight, probedAfterMs, waitedMs = 0, status, orders } of cases) {
    const bench = new Bench({ checksFencing: true });
    const epoch = bench.stream.form('g', [ADDRESS, OTHER]);
    const serving = { ...readyFor('g', epoch), inFlight };
    bench.probe(serving);
    bench.stream.dissolve('g');
    await bench.tick();
    t.equal(bench.orders.length, 0, `${name}: no order at the dissolution`);
    bench.clock.advance(probedAfterMs);
    bench.probe({ ...serving, ...status });
    bench.clock.advance(waitedMs);
    await bench.tick();
    t.equal(bench.orders.length, orders, name);
  }
});

void t.test('a dissolved group that lost a member is stopped at once', async (t) => {
  const cases: readonly {
    readonly name: string;
    readonly member: Partial<Observation>;
    readonly orders: number;
  }[] = [
    { name: 'silent for a moment', member: { silence: { sinceMs: 0, untilMs: 700 } }, orders: 0 },
    { name: 'silent for long', member: { silence: { sinceMs: 0, untilMs: 3_000 } }, orders: 1 },
    {
      name: 'connections refused',
      member: { silence: { sinceMs: 0, untilMs: 1 }, hasConnectionFailed: true },
      orders: 1,
    },
  ];
  for (const { name, member, orders } of cases) {
    const bench = new Bench({ checksFencing: true });
    const epoch = bench.stream.form('g', [ADDRESS, OTHER]);
    const serving = { ...readyFor('g', epoch), inFlight: 1 };
    bench.probe(serving);
    bench.otherObservation = observe(serving, member);
    bench.stream.dissolve('g');
    await bench.tick();
    t.equal(bench.orders.length, orders, name);
  }
});
