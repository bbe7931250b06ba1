import { ManualClock, systemClock } from '@monsoonreach/core';
import { StartGate } from '@monsoonreach/node';
import t from 'tap';

async function measureMs(action: () => Promise<void>): Promise<number> {
  const startedAtMs = systemClock.monotonic();
  await action();
  return systemClock.monotonic() - startedAtMs;
}

void t.test(
  'load pattern, callers return while a node starts: requests wait until it is ready',
  async (t) => {
    const gate = new StartGate(systemClock);
    setTimeout(() => {
      gate.open();
    }, 50);
    const waitedMs = await measureMs(() => gate.pass());
    t.ok(waitedMs >= 45, `${waitedMs} ms`);
    t.ok((await measureMs(() => gate.pass())) < 30, 'an open gate holds nothing');
  },
);

void t.test('requests are not held for longer than the start may take', async (t) => {
  const gate = new StartGate(systemClock);
  await gate.pass();
  t.ok((await measureMs(() => gate.pass())) < 30);
});

void t.test('a node that has been running for long without a configuration refuses at once', async (t) => {
  const clock = new ManualClock();
  const gate = new StartGate(clock);
  clock.advance(10_000);
  t.ok((await measureMs(() => gate.pass())) < 30);
});

// Guards against one listener for each held request, which warned of a leak as soon as eleven requests were held.
void t.test('load pattern, callers return while a node starts: held requests share one wait', async (t) => {
  const warnings: Error[] = [];
  const record = (warning: Error) => warnings.push(warning);
  process.on('warning', record);
  const gate = new StartGate(systemClock);
  const held = Array.from({ length: 50 }, () => gate.pass());
  setTimeout(() => {
    gate.open();
  }, 20);
  t.ok((await measureMs(async () => void (await Promise.all(held)))) < 400);
  process.off('warning', record);
  t.same(warnings, []);
});
