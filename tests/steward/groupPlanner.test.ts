import { type ControlBody, Counters, createLogger, ManualClock } from '@monsoonreach/core';
import type { ListedInstance } from '@monsoonreach/log';
import { GroupPlanner, type GroupPlannerOptions, type Observation } from '@monsoonreach/steward';
import { EngineClient } from '@monsoonreach/targets';
import t from 'tap';
import { ControlStream, createConfiguration, IDLE, observe, readyFor } from './stewardFixtures.js';

const WRITER = { address: 's1', incarnation: '1' };
const SELF = { id: 's1', failureDomain: 'a' };
const TICK_MS = 250;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Creates a planner of all fabric domains, on a control stream that is read to its end. */
function createPlanner(
  stream: ControlStream,
  options: Pick<
    GroupPlannerOptions,
    'clock' | 'configuration' | 'listedInstances' | 'prober' | 'controlWriter' | 'isReportedWhole'
  >,
): GroupPlanner {
  return new GroupPlanner({
    counters: new Counters(),
    stateLog: createLogger('test', 'hidden'),
    writer: WRITER,
    self: SELF,
    stewards: () => [SELF],
    groups: () => stream.groups,
    isControlStreamReady: () => true,
    nextControlOffset: () => 1_000,
    ...options,
  });
}

// Behind a slow record, the next group was dissolved seconds after that had been decided.
void t.test('all steps of a plan are written at once, and not seconds later', async (t) => {
  const stream = new ControlStream();
  const observations = new Map<string, Observation>();
  const instances = new Map<string, ListedInstance>();
  for (const [index, group] of ['g', 'h'].entries()) {
    const addresses = [`127.0.0.1:${index * 2 + 1}`, `127.0.0.1:${index * 2 + 2}`];
    const epoch = stream.form(group, addresses);
    for (const address of addresses) {
      const place = { failureDomain: 'a', fabricDomain: 'f', accelerators: 8 };
      instances.set(address, { address, kind: 'engine', ...place, state: 'live' });
      const basis = { position: epoch, openIntents: [] };
      observations.set(address, observe({ ...IDLE, boot: 'b2' }, { basis }));
    }
  }
  const written: { readonly body: ControlBody; readonly timeoutMs: number }[] = [];
  const clock = new ManualClock();
  const client = new EngineClient('127.0.0.1:1');
  const configuration = createConfiguration({ checksFencing: true });
  const planner = createPlanner(stream, {
    clock,
    configuration: () => configuration,
    listedInstances: () => instances,
    prober: { findObservation: (address) => observations.get(address), clientOf: () => client },
    controlWriter: {
      write: (body, { timeoutMs }) => {
        written.push({ body, timeoutMs });
        return new Promise(() => undefined);
      },
    },
    isReportedWhole: () => false,
  });
  planner.start();
  await sleep(2 * TICK_MS);
  const steps = written.filter(({ body }) => body.kind === 'dissolve');
  t.same(
    steps.map(({ body }) => body.kind === 'dissolve' && body.group),
    ['g', 'h'],
  );
  for (const { timeoutMs } of steps) t.ok(timeoutMs <= 1_000, `given up after ${timeoutMs} ms`);
  void planner.stop();
});

const HEAD = '127.0.0.1:1';
const MEMBER = '127.0.0.1:2';
const SPARES = ['127.0.0.1:3', '127.0.0.1:4'];

/** The reasons for which a planner dissolves a group of two, beside two spares. */
async function findDissolutions(options: {
  readonly observeMember: (epoch: number) => Observation;
  readonly isReportedWhole?: boolean;
  readonly listed?: readonly string[];
  /** The version that the model has now; the group runs version 1. */
  readonly version?: string;
}): Promise<readonly string[]> {
  const { isReportedWhole = false, listed = [HEAD, MEMBER, ...SPARES], version = '1' } = options;
  const { model, ...configuration } = createConfiguration({ checksFencing: true });
  const models = Object.entries(model).map(([name, settings]) => [name, { ...settings, version }] as const);
  const stream = new ControlStream();
  const epoch = stream.form('g', [HEAD, MEMBER]);
  for (const address of SPARES) stream.release(address);
  const observations = new Map([
    [HEAD, observe(readyFor('g', epoch), { basis: { position: epoch, openIntents: [] } })],
    [MEMBER, options.observeMember(epoch)],
  ]);
  const instances = listed.map((address): readonly [string, ListedInstance] => {
    const place = { failureDomain: 'a', fabricDomain: 'f', accelerators: 8 };
    return [address, { address, kind: 'engine', ...place, state: 'live' }];
  });
  const client = new EngineClient(HEAD);
  const reasons: string[] = [];
  const planner = createPlanner(stream, {
    clock: new ManualClock(),
    configuration: () => ({ ...configuration, model: Object.fromEntries(models) }),
    listedInstances: () => new Map(instances),
    prober: { findObservation: (address) => observations.get(address), clientOf: () => client },
    controlWriter: {
      write: (body) => {
        if (body.kind === 'dissolve') reasons.push(body.reason);
        return new Promise(() => undefined);
      },
    },
    isReportedWhole: () => isReportedWhole,
  });
  planner.start();
  await sleep(2 * TICK_MS);
  void planner.stop();
  await client.close();
  return reasons;
}

// A planner whose own path to a member was lost dissolved a group that other stewards saw as whole, and that served.
void t.test('a silent member ends its group only if no steward sees the group as whole', async (t) => {
  const silence = { sinceMs: 0, untilMs: 60_000 };
  const since = (epoch: number) => ({ basis: { position: epoch, openIntents: [] } });
  const cases: readonly {
    readonly name: string;
    readonly observeMember: (epoch: number) => Observation;
    readonly isReportedWhole: boolean;
    readonly reasons: readonly string[];
  }[] = [
    {
      name: 'silent here, whole for another',
      observeMember: (epoch) => observe(readyFor('g', epoch), { ...since(epoch), silence }),
      isReportedWhole: true,
      reasons: [],
    },
    {
      name: 'silent for all',
      observeMember: (epoch) => observe(readyFor('g', epoch), { ...since(epoch), silence }),
      isReportedWhole: false,
      reasons: ['instance-missing'],
    },
    {
      name: 'restarted, and whole by an earlier report',
      observeMember: (epoch) => observe({ ...IDLE, boot: 'b2' }, since(epoch)),
      isReportedWhole: true,
      reasons: ['instance-restarted'],
    },
  ];
  for (const { name, reasons, ...options } of cases) t.same(await findDissolutions(options), reasons, name);
});

// A steward that had not read the list yet replaced a model's only group in place, beside spares that it did not know.
void t.test('a group is not ended for entries that the live list lacks', async (t) => {
  const ready = (epoch: number) =>
    observe(readyFor('g', epoch), { basis: { position: epoch, openIntents: [] } });
  const cases: readonly {
    readonly name: string;
    readonly isLeaving?: boolean;
    readonly listed: readonly string[];
    readonly version?: string;
    readonly reasons: readonly string[];
  }[] = [
    { name: 'a new version, no entry', listed: [], version: '2', reasons: [] },
    { name: 'a new version, no entry of a member', listed: [HEAD], version: '2', reasons: [] },
    { name: 'a new version, no spare', listed: [HEAD, MEMBER], version: '2', reasons: ['version-replaced'] },
    { name: 'a new version, and spares', listed: [HEAD, MEMBER, ...SPARES], version: '2', reasons: [] },
    { name: 'no entry of a member', listed: [HEAD, ...SPARES], reasons: [] },
    {
      name: 'no entry of a member that announced to leave',
      isLeaving: true,
      listed: [HEAD, ...SPARES],
      reasons: ['instance-leaving'],
    },
  ];
  for (const { name, isLeaving = false, reasons, ...options } of cases) {
    const observeMember = (epoch: number) => {
      const observation = ready(epoch);
      const { status } = observation;
      return { ...observation, status: status && { ...status, leaving: isLeaving } };
    };
    t.same(await findDissolutions({ ...options, observeMember }), reasons, name);
  }
});
