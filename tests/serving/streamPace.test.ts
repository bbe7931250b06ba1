import { type StreamProgress, StreamPace } from '@monsoonreach/core';
import t from 'tap';

interface Case {
  readonly name: string;
  /** Events of the target's streams, with the time at which each came. */
  readonly events: readonly (StreamProgress & { readonly atMs: number })[];
  readonly nowMs: number;
  /** 1 by default. */
  readonly margin?: number;
  readonly minimum: number;
  readonly maximum: number;
}

/** Events of one stream, one each `intervalMs` where 70 ms are predicted. */
function createEvents(count: number, options: { readonly startMs: number; readonly intervalMs: number }) {
  const { startMs, intervalMs } = options;
  return Array.from({ length: count }, (_, index) => ({
    durationMs: intervalMs,
    predictedMs: 70,
    atMs: startMs + (index + 1) * intervalMs,
  }));
}

const cases: readonly Case[] = [
  { name: 'a target without streams', events: [], nowMs: 0, minimum: 1, maximum: 1 },
  {
    name: 'a target that is faster than a full batch',
    events: createEvents(40, { startMs: 0, intervalMs: 20 }),
    nowMs: 800,
    minimum: 1,
    maximum: 1,
  },
  {
    name: 'a target without streams, with a margin',
    events: [],
    nowMs: 0,
    margin: 1.25,
    minimum: 1.25,
    maximum: 1.25,
  },
  {
    name: 'a target that keeps its published pace, with a margin',
    events: createEvents(40, { startMs: 0, intervalMs: 70 }),
    nowMs: 2_800,
    margin: 1.25,
    minimum: 1.25,
    maximum: 1.25,
  },
  {
    name: 'a target that is faster than that by more than the margin',
    events: createEvents(40, { startMs: 0, intervalMs: 20 }),
    nowMs: 800,
    margin: 1.25,
    minimum: 1,
    maximum: 1,
  },
  {
    name: 'a target that sends two streams at half its pace, with a margin',
    events: [0, 1].flatMap(() => createEvents(60, { startMs: 0, intervalMs: 140 })),
    nowMs: 8_400,
    margin: 1.25,
    minimum: 2.25,
    maximum: 2.5,
  },
  {
    name: 'a target that sends two streams at half its pace',
    events: [0, 1].flatMap(() => createEvents(60, { startMs: 0, intervalMs: 140 })),
    nowMs: 8_400,
    minimum: 1.8,
    maximum: 2,
  },
  {
    name: 'a target that became slow three seconds ago',
    events: [
      ...createEvents(100, { startMs: 0, intervalMs: 70 }),
      ...createEvents(20, { startMs: 7_000, intervalMs: 140 }),
    ],
    nowMs: 9_800,
    minimum: 1.25,
    maximum: 1.6,
  },
  {
    name: 'a target that recovered ten seconds ago',
    events: [
      ...createEvents(40, { startMs: 0, intervalMs: 140 }),
      ...createEvents(140, { startMs: 5_600, intervalMs: 70 }),
    ],
    nowMs: 15_400,
    minimum: 1,
    maximum: 1.2,
  },
  {
    name: 'a target that was slow a minute ago',
    events: createEvents(40, { startMs: 0, intervalMs: 140 }),
    nowMs: 60_000,
    minimum: 1,
    maximum: 1.01,
  },
  {
    name: 'a target of which one event is known, after a silence',
    events: [{ durationMs: 500, predictedMs: 70, atMs: 0 }],
    nowMs: 0,
    minimum: 1.5,
    maximum: 2,
  },
  {
    name: 'a busy target that was silent for a second once',
    events: [
      ...createEvents(100, { startMs: 0, intervalMs: 70 }),
      { durationMs: 1_000, predictedMs: 70, atMs: 8_000 },
    ],
    nowMs: 8_000,
    minimum: 1.1,
    maximum: 1.3,
  },
  {
    name: 'a target whose streams were left because they were silent',
    events: [0, 100, 200].map((atMs) => ({ durationMs: 600, predictedMs: 0, atMs })),
    nowMs: 200,
    minimum: 4,
    maximum: 5,
  },
];

// Guards against a pace that one event decides, that is not forgotten, or that is better than published.
for (const { name, events, nowMs, margin, minimum, maximum } of cases) {
  void t.test(`the pace of ${name}`, (t) => {
    const pace = new StreamPace();
    for (const { atMs, ...progress } of events.toSorted((a, b) => a.atMs - b.atMs))
      pace.record('target', progress, atMs);
    const factor = pace.getFactor('target', nowMs, margin);
    t.ok(factor >= minimum && factor <= maximum, `factor ${factor}`);
    t.equal(pace.getFactor('another', nowMs), 1);
    pace.retain(new Set(['another']));
    t.equal(pace.getFactor('target', nowMs), 1);
    t.end();
  });
}
