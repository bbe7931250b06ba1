import {
  Counters,
  CrashSuspects,
  createRandom,
  parseConfiguration,
  RetryBudgets,
  systemClock,
  Undispatched,
} from '@monsoonreach/core';
import {
  type AtMostOnce,
  DrainWindow,
  type EntryContext,
  RequestTraces,
  ServiceCalls,
  ServiceTargets,
} from '@monsoonreach/entry';
import { type TargetAnswer, TargetCallError, TargetClient, TargetClients } from '@monsoonreach/targets';
import t from 'tap';

const HEDGE_AFTER_MS = 20;
const FAIL_AFTER_MS = 60;

const CONFIGURATION = parseConfiguration(`[deployment]
name = test
[limits]
hedge-after = ${HEDGE_AFTER_MS}ms
[service.s]
targets = 127.0.0.1:1,127.0.0.1:2
timeout = 2s
[route.r]
service = s
path = /*
idempotent = yes
[workspace.w]
token-sha256 = ${'0'.repeat(64)}
services = s
`);

const unsent = () => new TargetCallError('target-lost', true, 'The connection was refused.');
const sent = () => new TargetCallError('target-lost', false, 'The connection was lost.');

/** Fails each call, in the order in which they are sent, some time after it; refuses the connections of later ones. */
class FailingTargets extends TargetClients {
  constructor(private readonly _failures: TargetCallError[]) {
    super();
  }

  override get(address: string): TargetClient {
    const failure = this._failures.shift() ?? unsent();
    const call = async (): Promise<TargetAnswer> => {
      await new Promise((resolve) => setTimeout(resolve, FAIL_AFTER_MS));
      throw failure;
    };
    return Object.assign(new TargetClient(address), { call });
  }
}

function createCalls(failures: TargetCallError[]): ServiceCalls {
  const clock = systemClock;
  const random = createRandom(1);
  const context = {
    clock,
    counters: new Counters(),
    random,
    traces: new RequestTraces(clock),
    targets: new FailingTargets(failures),
    suspects: new CrashSuspects(clock),
    retryBudgets: new RetryBudgets({ share: () => 0 }),
    drainWindow: new DrainWindow(clock),
    configuration: () => CONFIGURATION,
  } as unknown as EntryContext;
  const targets = new ServiceTargets({ clock, random, isLeaving: () => false });
  return new ServiceCalls(context, targets, undefined as unknown as AtMostOnce);
}

// A call was refused as not run when the first of two hedged calls was not sent, though the second had been.
void t.test('a hedged call is refused as not run only if neither call was sent', async (t) => {
  const cases = [
    { name: 'neither was sent', failures: [unsent(), unsent()], kind: 'not-run' },
    { name: 'the first was sent', failures: [sent(), unsent()], kind: 'failed' },
    { name: 'the second was sent', failures: [unsent(), sent()], kind: 'failed' },
    { name: 'both were sent', failures: [sent(), sent()], kind: 'failed' },
  ];
  for (const { name, failures, kind } of cases) {
    const outcome = await createCalls(failures).call(
      {
        service: 's',
        method: 'GET',
        path: '/a',
        contentType: undefined,
        idempotencyKey: undefined,
        body: Buffer.of(),
      },
      {
        requestId: 'id',
        workspace: 'w',
        signal: new AbortController().signal,
        undispatched: new Undispatched(),
      },
    );
    t.equal(outcome.kind, kind, name);
  }
});
