import { estimateFinish, type ServingConfiguration, type ServingRoute } from '@monsoonreach/core';
import t from 'tap';
import { LARGE_MODEL, SERVICE, SMALL_MODEL } from './fixtures.js';

const ROUTE: ServingRoute = {
  name: 'route',
  host: 'host',
  pathPrefix: '/',
  kind: 'stream',
  services: [{ service: SERVICE.name, weight: 1 }],
  timeoutMs: 8_000,
  latencyObjectiveMs: 400,
  pauseObjectiveMs: 250,
  maxAttempts: 2,
  priority: 1,
  isKeyRequired: false,
  isResumable: true,
};
const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [ROUTE],
  services: new Map([
    [SERVICE.name, SERVICE],
    [
      'plain',
      {
        name: 'plain',
        maxConnections: 10,
        healthPath: undefined,
        engine: undefined,
        coldStartMs: 0,
        coldRequestsPerS: 0,
      },
    ],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  workspaces: undefined,
};
const PLAIN = {
  kind: 'non-idempotent',
  services: [{ service: 'plain', weight: 1 }],
  timeoutMs: 1_000,
} as const;

interface Case {
  readonly name: string;
  readonly route?: Partial<ServingRoute>;
  readonly model?: string;
  readonly answerTokens?: number;
  readonly timeoutMs?: number;
  readonly elapsedMs?: number;
  readonly pace?: number;
  readonly firstEventMs?: number;
  readonly remainingMs: number;
  readonly isInRotation?: boolean;
  readonly canFinish: boolean;
}

const inRotation = { isInRotation: true } as const;

const cases: readonly Case[] = [
  { name: 'a short stream', answerTokens: 24, remainingMs: 320, ...inRotation, canFinish: true },
  {
    name: 'a short stream just before the end',
    answerTokens: 24,
    remainingMs: 300,
    ...inRotation,
    canFinish: false,
  },
  { name: 'a usual stream', answerTokens: 174, remainingMs: 2_100, ...inRotation, canFinish: true },
  {
    name: 'a usual stream that waits half a second for a slot',
    answerTokens: 174,
    firstEventMs: 500,
    remainingMs: 2_500,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a usual stream that waits so long with 2.4 s left',
    answerTokens: 174,
    firstEventMs: 500,
    remainingMs: 2_400,
    ...inRotation,
    canFinish: false,
  },
  {
    name: 'a usual stream of a target at two thirds of its pace',
    answerTokens: 174,
    pace: 1.5,
    remainingMs: 3_100,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a usual stream of such a target with 3 s left',
    answerTokens: 174,
    pace: 1.5,
    remainingMs: 3_000,
    ...inRotation,
    canFinish: false,
  },
  {
    name: 'a usual stream with 2 s left',
    answerTokens: 174,
    remainingMs: 2_000,
    ...inRotation,
    canFinish: false,
  },
  { name: 'the longest stream', answerTokens: 462, remainingMs: 5_400, ...inRotation, canFinish: true },
  {
    name: 'the longest stream with 5.3 s left',
    answerTokens: 462,
    remainingMs: 5_300,
    ...inRotation,
    canFinish: false,
  },
  {
    name: 'a long stream of a faster model',
    model: SMALL_MODEL.name,
    answerTokens: 462,
    remainingMs: 3_200,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a long stream of a faster model with 3.1 s left',
    model: SMALL_MODEL.name,
    answerTokens: 462,
    remainingMs: 3_100,
    ...inRotation,
    canFinish: false,
  },
  {
    name: 'a stream of an unknown model within its timeout',
    model: 'x',
    remainingMs: 8_000,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a stream of an unknown model beyond it',
    model: 'x',
    remainingMs: 7_900,
    ...inRotation,
    canFinish: false,
  },
  {
    name: 'a stream whose caller gives up before the end',
    answerTokens: 462,
    timeoutMs: 3_000,
    remainingMs: 3_000,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a stream that names no size within its timeout',
    answerTokens: 0,
    remainingMs: 8_000,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a stream that names no size beyond it',
    answerTokens: 0,
    remainingMs: 7_900,
    ...inRotation,
    canFinish: false,
  },
  { name: 'late, a short stream that may be slower', answerTokens: 24, remainingMs: 7_500, canFinish: false },
  { name: 'late, the longest stream', answerTokens: 462, remainingMs: 7_500, canFinish: false },
  { name: 'late, a stream within its timeout', answerTokens: 462, remainingMs: 8_000, canFinish: true },
  {
    name: 'late, a stream whose caller gives up before the end',
    answerTokens: 462,
    timeoutMs: 3_000,
    remainingMs: 3_000,
    canFinish: true,
  },
  {
    name: 'late, a stream whose caller gives up just after the end',
    answerTokens: 24,
    timeoutMs: 3_000,
    remainingMs: 2_900,
    canFinish: false,
  },
  {
    name: 'late, a stream whose body took most of the time that its caller allows',
    answerTokens: 24,
    timeoutMs: 3_000,
    elapsedMs: 2_500,
    remainingMs: 500,
    canFinish: true,
  },
  { name: 'a call within its timeout', route: PLAIN, remainingMs: 1_000, canFinish: true },
  {
    name: 'a call within its timeout in rotation',
    route: PLAIN,
    remainingMs: 1_000,
    ...inRotation,
    canFinish: true,
  },
  {
    name: 'a call whose body took most of its timeout',
    route: PLAIN,
    elapsedMs: 500,
    remainingMs: 500,
    canFinish: true,
  },
  { name: 'a call beyond its timeout', route: PLAIN, remainingMs: 900, canFinish: false },
  {
    name: 'a call beyond its timeout in rotation',
    route: PLAIN,
    remainingMs: 900,
    ...inRotation,
    canFinish: false,
  },
];

// Guards against requests that are taken in a stop and cut, and against refusals of those that end in time.
for (const testCase of cases) {
  const {
    name,
    route,
    model = LARGE_MODEL.name,
    answerTokens = 100,
    timeoutMs,
    elapsedMs = 0,
    pace,
    firstEventMs,
  } = testCase;
  void t.test(`a stopping node ${testCase.canFinish ? 'accepts' : 'refuses'} ${name}`, (t) => {
    const request = {
      route: { ...ROUTE, ...route },
      model,
      size: { promptTokens: 1_460, answerTokens },
      timeoutMs,
      elapsedMs,
      ...(pace === undefined ? {} : { pace }),
      ...(firstEventMs === undefined ? {} : { firstEventMs }),
    };
    const { remainingMs, isInRotation = false, canFinish } = testCase;
    t.equal(estimateFinish(request, CONFIGURATION, { remainingMs, isInRotation }).canFinish, canFinish);
    t.end();
  });
}
