import { EventFramer } from '@monsoonreach/core';
import t from 'tap';

interface Case {
  readonly name: string;
  readonly text: string;
  /** Complete events with the comments before them. */
  readonly events: readonly string[];
  readonly lastId?: string;
  readonly isInsideEvent: boolean;
}

const cases: readonly Case[] = [
  { name: 'one event', text: 'data: a\n\n', events: ['data: a\n\n'], isInsideEvent: false },
  {
    name: 'two events and the beginning of a third',
    text: 'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda',
    events: ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n'],
    lastId: '2',
    isInsideEvent: true,
  },
  {
    name: 'an event that lacks its blank line',
    text: 'id:7\ndata: a\n\ndata: b\n',
    events: ['id:7\ndata: a\n\n'],
    lastId: '7',
    isInsideEvent: true,
  },
  {
    name: 'lines that end with a carriage return',
    text: 'id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n',
    events: ['id: 1\r\ndata: a\r\n\r\n', 'data: b\r\n\r\n'],
    lastId: '1',
    isInsideEvent: false,
  },
  {
    name: 'comments before, inside and after an event',
    text: ': c\n\n:c\ndata: a\n: c\n\n: c\n\n',
    events: [': c\n\n:c\ndata: a\n: c\n\n'],
    isInsideEvent: false,
  },
  { name: 'the beginning of a comment', text: ': c', events: [], isInsideEvent: true },
  { name: 'blank lines', text: '\n\n\n', events: [], isInsideEvent: false },
  { name: 'an id in the data', text: 'data: id: 5\n\n', events: ['data: id: 5\n\n'], isInsideEvent: false },
];

for (const { name, text, events, lastId, isInsideEvent } of cases) {
  for (const size of [1, 2, 3, 7, text.length]) {
    void t.test(`${name}, in pieces of ${size} bytes`, (t) => {
      const framer = new EventFramer();
      const bytes = Buffer.from(text);
      let forwarded = '';
      let count = 0;
      let id: string | undefined;
      for (let at = 0; at < bytes.length; at += size) {
        const batch = framer.push(bytes.subarray(at, at + size));
        if (!batch) continue;
        forwarded += batch.bytes.toString();
        count += batch.eventCount;
        id = batch.lastId ?? id;
      }
      t.equal(forwarded, events.join(''));
      t.equal(count, events.length);
      t.equal(id, lastId);
      t.equal(framer.isInsideEvent, isInsideEvent);
      t.equal(framer.takePending().toString(), text.slice(forwarded.length));
      t.end();
    });
  }
}

// Guards against a target that occupies the processor with an event that never ends.
void t.test('an event in many small pieces takes linear time', (t) => {
  const piece = Buffer.from('x');
  const measureMs = (count: number) => {
    const framer = new EventFramer();
    framer.push(Buffer.from('data: '));
    const startedAtMs = performance.now();
    for (let index = 0; index < count; index++) framer.push(piece);
    t.equal(framer.pendingBytes, 6 + count);
    return performance.now() - startedAtMs;
  };
  measureMs(1_000);
  t.ok(measureMs(262_144) < 2_000);
  t.end();
});
