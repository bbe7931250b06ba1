import { BodyBuffer } from '@monsoonreach/callers/connections';
import t from 'tap';

// Guards against a body whose chunks are kept as one object each.
void t.test('small chunks cost their content', (t) => {
  const body = new BodyBuffer();
  for (let index = 0; index < 60_000; index++) body.append(Buffer.from([index % 256]));
  t.equal(body.length, 60_000);
  t.ok(body.capacity <= 131_072, `capacity ${body.capacity}`);
  t.same(body.toBuffer(), Buffer.from(Array.from({ length: 60_000 }, (_, index) => index % 256)));
  t.equal(body.capacity, 60_000);
  t.end();
});

void t.test('a cleared body holds nothing', (t) => {
  const body = new BodyBuffer();
  body.append(Buffer.alloc(10_000));
  body.clear();
  t.same([body.length, body.capacity, body.toBuffer().length], [0, 0, 0]);
  t.end();
});
