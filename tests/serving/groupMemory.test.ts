import {
  type BatchLoad,
  chooseTarget,
  createRandom,
  hasMemoryFor,
  type TargetCandidate,
  TargetHealth,
} from '@monsoonreach/core';
import t from 'tap';
import { createInstance, ENGINE_PROFILE, LARGE_MODEL } from './fixtures.js';

/** 4 slots; each answer is expected to have 100 tokens. */
const PROFILE = { ...ENGINE_PROFILE, slots: 4, usualAnswerTokens: 100, kvCapacityTokens: 10_000 };

function createLoad(requests: number, contextTokens: number): BatchLoad {
  return { requests, contextTokens, pendingPromptTokens: 0 };
}

interface MemoryCase {
  readonly name: string;
  readonly load: BatchLoad;
  readonly promptTokens: number;
  readonly answerTokens?: number;
  readonly fits: boolean;
}

// Guards against groups that get more tokens than their memory holds, though they have free slots.
const memoryCases: readonly MemoryCase[] = [
  { name: 'an idle group accepts any prompt', load: createLoad(0, 0), promptTokens: 50_000, fits: true },
  {
    name: 'prompts that fill the memory exactly',
    load: createLoad(1, 4_800),
    promptTokens: 5_000,
    fits: true,
  },
  { name: 'one token too many', load: createLoad(1, 4_801), promptTokens: 5_000, fits: false },
  {
    name: 'an expected answer that does not fit',
    load: createLoad(1, 4_800),
    promptTokens: 5_000,
    answerTokens: 101,
    fits: false,
  },
  {
    name: 'the answers of the running requests',
    load: createLoad(3, 6_600),
    promptTokens: 3_001,
    fits: false,
  },
  { name: 'a waiting request holds no memory', load: createLoad(4, 9_000), promptTokens: 2_900, fits: true },
  {
    name: 'a waiting request that will not fit',
    load: createLoad(4, 9_600),
    promptTokens: 2_501,
    fits: false,
  },
];

for (const { name, load, promptTokens, answerTokens = 100, fits } of memoryCases) {
  void t.test(`memory of a group: ${name}`, (t) => {
    t.equal(hasMemoryFor(PROFILE, load, { promptTokens, answerTokens }), fits);
    t.end();
  });
}

interface ChoiceCase {
  readonly name: string;
  readonly loads: Readonly<Record<string, BatchLoad>>;
  readonly promptTokens: number;
  readonly isContinuing?: boolean;
  readonly chosen: string;
}

const choiceCases: readonly ChoiceCase[] = [
  {
    name: 'a long prompt goes to a busier group whose memory holds it',
    loads: { a: createLoad(1, 9_000), b: createLoad(3, 900) },
    promptTokens: 2_000,
    chosen: 'b',
  },
  {
    name: 'below its memory, the less busy group is chosen as before',
    loads: { a: createLoad(1, 7_000), b: createLoad(3, 900) },
    promptTokens: 2_000,
    chosen: 'a',
  },
  {
    name: 'no group is chosen when no memory holds the prompt',
    loads: { a: createLoad(1, 9_000), b: createLoad(2, 9_000) },
    promptTokens: 2_000,
    chosen: 'all-full',
  },
  {
    name: 'a resumed answer queues all the same',
    loads: { a: createLoad(1, 9_000), b: createLoad(2, 9_000) },
    promptTokens: 2_000,
    isContinuing: true,
    chosen: 'a',
  },
  {
    name: 'a prompt beyond any memory goes to an idle group',
    loads: { a: createLoad(1, 100), b: createLoad(0, 0) },
    promptTokens: 20_000,
    chosen: 'b',
  },
];

for (const { name, loads, promptTokens, isContinuing = false, chosen } of choiceCases) {
  void t.test(`load pattern, requests that exceed the memory: ${name}`, (t) => {
    const candidates = Object.entries(loads).map(([key, load]): TargetCandidate => ({
      key,
      instance: createInstance(key),
      slots: PROFILE.slots,
      engine: { profile: PROFILE, model: LARGE_MODEL },
      load,
    }));
    const choice = chooseTarget(candidates, {
      nowMs: 1_000,
      random: createRandom(1),
      health: new TargetHealth(),
      failureDomain: 'zone-1',
      size: { promptTokens, answerTokens: 100 },
      tried: new Set(),
      isExact: true,
      isContinuing,
    });
    t.equal(choice.kind === 'chosen' ? choice.candidate.key : choice.reason, chosen);
    t.end();
  });
}
