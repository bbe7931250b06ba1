import { parseConfiguration } from '@monsoonreach/core';
import { type TargetAnswer, TargetCallError, TargetClient, TargetClients } from '@monsoonreach/targets';
import t from 'tap';
import { callService, createServiceCalls } from './serviceBench.js';

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

// A call was refused as not run when the first of two hedged calls was not sent, though the second had been.
void t.test('a hedged call is refused as not run only if neither call was sent', async (t) => {
  const cases = [
    { name: 'neither was sent', failures: [unsent(), unsent()], kind: 'not-run' },
    { name: 'the first was sent', failures: [sent(), unsent()], kind: 'failed' },
    { name: 'the second was sent', failures: [unsent(), sent()], kind: 'failed' },
    { name: 'both were sent', failures: [sent(), sent()], kind: 'failed' },
  ];
  for (const { name, failures, kind } of cases) {
    const outcome = await callService(
      createServiceCalls({ configuration: CONFIGURATION, targets: new FailingTargets(failures) }),
    );
    t.equal(outcome.kind, kind, name);
  }
});
