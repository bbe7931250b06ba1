import { TargetHealth } from '@monsoonreach/core';
import t from 'tap';

type Finding = 'silent' | 'unreachable';

/** What a node finds of a target, each time right after the suspicion before has ended, and how long the last one lasts. */
const cases: readonly { readonly findings: readonly Finding[]; readonly suspectMs: number }[] = [
  { findings: ['silent'], suspectMs: 700 },
  { findings: ['silent', 'silent', 'silent'], suspectMs: 2_800 },
  { findings: ['unreachable'], suspectMs: 700 },
  { findings: ['unreachable', 'unreachable', 'unreachable'], suspectMs: 700 },
  { findings: ['silent', 'unreachable', 'unreachable'], suspectMs: 700 },
  { findings: ['unreachable', 'unreachable', 'silent'], suspectMs: 700 },
];

for (const { findings, suspectMs } of cases) {
  // Guards against requests that are refused for seconds after a node has regained its paths to the targets.
  void t.test(`a target is suspect for ${suspectMs} ms: ${findings.join(', then ')}`, (t) => {
    const health = new TargetHealth();
    let nowMs = 0;
    let beganAtMs = 0;
    for (const finding of findings) {
      beganAtMs = nowMs;
      if (finding === 'silent') health.recordSilence('group', nowMs);
      else health.recordUnreachable('group', nowMs);
      while (health.isSuspect('group', nowMs)) nowMs += 10;
    }
    t.equal(nowMs - beganAtMs, suspectMs);
    t.end();
  });
}
