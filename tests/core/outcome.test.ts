import {
  AlreadyDispatchedError,
  checkIdempotencyKey,
  CLAIM_WINDOW_MS,
  IdempotencyKeyError,
  Undispatched,
} from '@monsoonreach/core';
import t from 'tap';
import { v4 as uuidv4, v7 as uuidv7 } from 'uuid';

void t.test('a request can be refused as not run only before it is dispatched', (t) => {
  const undispatched = new Undispatched();
  t.equal(undispatched.refuse('queue-full').kind, 'not-run');
  const dispatched = undispatched.dispatch();
  t.throws(() => undispatched.refuse('queue-full'), AlreadyDispatchedError);
  t.throws(() => undispatched.dispatch(), AlreadyDispatchedError);
  t.equal(dispatched.inDoubt('target-silent').kind, 'in-doubt');
  t.equal(dispatched.provenUnsent({ isProvenUnsent: true }).refuse('no-target').kind, 'not-run');
  t.end();
});

const NOW_MS = Date.UTC(2026, 11, 4);
const keyAt = (msecs: number) => uuidv7({ msecs });

const keys = [
  { name: 'missing', key: undefined, fault: 'key-missing' },
  { name: 'empty', key: '', fault: 'key-missing' },
  { name: 'not a UUID', key: 'order-17', fault: 'key-malformed' },
  { name: 'a random UUID', key: uuidv4(), fault: 'key-malformed' },
  {
    name: 'older than the claim window',
    key: keyAt(NOW_MS - CLAIM_WINDOW_MS - 1),
    fault: 'key-expired',
  },
  { name: 'far ahead of the clock', key: keyAt(NOW_MS + 600_000), fault: 'key-ahead' },
  { name: 'right', key: keyAt(NOW_MS), fault: undefined },
] as const;

for (const { name, key, fault } of keys) {
  void t.test(`an idempotency key is accepted or refused: ${name}`, (t) => {
    const check = () => checkIdempotencyKey(key, { nowMs: NOW_MS, windowMs: CLAIM_WINDOW_MS });
    if (fault === undefined) {
      t.equal(check(), key);
      t.end();
      return;
    }
    t.throws(check, IdempotencyKeyError);
    t.throws(check, { code: fault });
    t.end();
  });
}
