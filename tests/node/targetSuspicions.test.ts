import { systemClock, TargetHealth } from '@monsoonreach/core';
import { TargetSuspicions } from '@monsoonreach/node';
import t from 'tap';

type Finding = 'silent' | 'refuses' | 'progress';

/** What a node finds of a target, in order, and whether its peers' requests avoid the target then. */
const cases: readonly {
  readonly findings: readonly Finding[];
  readonly isSilentForMost: boolean;
  readonly isAvoided: boolean;
}[] = [
  { findings: [], isSilentForMost: true, isAvoided: false },
  { findings: ['silent'], isSilentForMost: false, isAvoided: false },
  { findings: ['silent'], isSilentForMost: true, isAvoided: true },
  { findings: ['refuses'], isSilentForMost: false, isAvoided: true },
  { findings: ['silent', 'refuses'], isSilentForMost: false, isAvoided: true },
  { findings: ['refuses', 'silent'], isSilentForMost: false, isAvoided: true },
  { findings: ['silent', 'refuses', 'progress'], isSilentForMost: true, isAvoided: false },
  { findings: ['refuses', 'progress', 'silent'], isSilentForMost: false, isAvoided: false },
];

// Guards against peers' requests that are assigned to a target that refuses, since this node found it silent as well.
void t.test('targets that requests of peers avoid', (t) => {
  for (const { findings, isSilentForMost, isAvoided } of cases) {
    const health = new TargetHealth();
    const nowMs = systemClock.monotonic();
    const record: Readonly<Record<Finding, () => unknown>> = {
      silent: () => health.recordSilence('group', nowMs),
      refuses: () => health.recordRefusal('group', nowMs),
      progress: () => {
        health.recordProgress('group', nowMs);
      },
    };
    for (const finding of findings) record[finding]();
    const suspicions = new TargetSuspicions({
      clock: systemClock,
      health,
      isSilentForMost: () => isSilentForMost,
    });
    const name = `${findings.join(', then ') || 'nothing found'}, silent for ${isSilentForMost ? 'most' : 'one'}`;
    t.equal(suspicions.judgeForPeers().isSuspect('group', nowMs), isAvoided, name);
  }
  t.end();
});
