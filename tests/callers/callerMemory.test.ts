import { CallerMemory, type MemoryHolder } from '@monsoonreach/callers/connections';
import type { Clock } from '@monsoonreach/core';
import t from 'tap';

/** Memory of the machine, in bytes; an eighth of it is for callers. */
const MEMORY = 8_000_000;
const MAX = MEMORY / 8;

class Holder implements MemoryHolder {
  isHeld = false;
  isEnded = false;

  constructor(private readonly _canEnd: 'yes' | 'last' | 'no' = 'yes') {}

  canEnd() {
    return this._canEnd;
  }

  end(): void {
    this.isEnded = true;
  }

  setHeld(isHeld: boolean): void {
    this.isHeld = isHeld;
  }
}

function create() {
  let nowMs = 0;
  const clock: Clock = { now: () => nowMs, monotonic: () => nowMs };
  const wait = (ms: number) => (nowMs += ms);
  return { memory: new CallerMemory(clock, MEMORY), wait };
}

// Guards against refusals that reading less would have avoided.
void t.test('reading is held before a connection is ended', (t) => {
  const { memory } = create();
  const [large, small] = [new Holder(), new Holder()];
  memory.record(large, MAX * 0.8);
  memory.record(small, 1_000);
  t.ok(large.isHeld);
  t.notOk(small.isHeld, 'a small request passes');
  t.notOk(large.isEnded);
  memory.release(large);
  t.equal(memory.totalBytes, 1_000);
  memory.record(large, MAX * 0.8);
  memory.record(large, 1_000);
  t.notOk(large.isHeld, 'it is read again');
  t.end();
});

// Guards against refusals that hit the caller that came last instead of those that fill the memory.
void t.test('the connection that holds the most for the longest time is ended first', (t) => {
  const { memory, wait } = create();
  const [early, late, last] = [new Holder(), new Holder(), new Holder()];
  memory.record(early, MAX * 0.4);
  wait(1_000);
  memory.record(late, MAX * 0.5);
  wait(100);
  memory.record(last, MAX * 0.2);
  t.same([early.isEnded, late.isEnded, last.isEnded], [true, false, false]);
  t.equal(memory.totalBytes, MAX * 0.7);
  t.end();
});

// Guards against callers that fill the memory up to the hold mark and stay, so that nobody's body is read to its end.
void t.test('a connection is ended when the hold mark is exceeded for too long', (t) => {
  const { memory, wait } = create();
  const [stuck, waiting] = [new Holder(), new Holder()];
  memory.record(stuck, MAX * 0.7);
  memory.record(waiting, MAX * 0.1);
  t.ok(waiting.isHeld);
  memory.check();
  t.notOk(stuck.isEnded);
  wait(1_000);
  memory.check();
  t.ok(stuck.isEnded);
  t.notOk(waiting.isHeld);
  t.end();
});

// Guards against an answer in progress that is cut because of the memory of other callers.
void t.test('a connection with a request that is run is not ended', (t) => {
  const { memory } = create();
  const [running, piling, reading] = [new Holder('no'), new Holder('last'), new Holder()];
  memory.record(running, MAX * 0.6);
  memory.record(piling, MAX * 0.3);
  memory.record(reading, MAX * 0.2);
  t.same([running.isEnded, piling.isEnded, reading.isEnded], [false, false, true]);
  memory.record(running, MAX * 0.8);
  t.same([running.isEnded, piling.isEnded], [false, true]);
  memory.record(running, MAX * 1.1);
  t.notOk(running.isEnded);
  t.end();
});
