import { DocumentError } from '@monsoonreach/core';
import { parseNodeSettings } from '@monsoonreach/node';
import t from 'tap';
import { formatSettings } from '../platform/platformFleet.js';

const TEXT = formatSettings({
  name: 'node-1',
  domain: 'zone-1',
  store: '127.0.0.1:1',
  front: 2,
  readiness: 3,
  peers: 4,
  metrics: 5,
  log: 'json',
});

interface FractionCase {
  readonly section: 'bounds' | 'callers';
  readonly key: string;
  readonly text: string;
  readonly value: number;
}

const fractionCases: readonly FractionCase[] = [
  { section: 'bounds', key: 'key-trust', text: '5000.5ms', value: 5_000.5 },
  { section: 'bounds', key: 'retry-share', text: '0.25', value: 0.25 },
  { section: 'bounds', key: 'retry-window', text: '7.5s', value: 7_500 },
  { section: 'bounds', key: 'retry-slack', text: '39.08', value: 39.08 },
  { section: 'callers', key: 'drain-timeout', text: '8.25s', value: 8_250 },
];

for (const { section, key, text, value } of fractionCases) {
  void t.test(`the bound ${key} may be a fraction`, (t) => {
    const settings = parseNodeSettings(TEXT.replace(new RegExp(`^${key} = .*$`, 'm'), `${key} = ${text}`));
    t.equal((settings[section] as Readonly<Record<string, unknown>>)[key], value);
    t.end();
  });
}

const coldCases = [
  { lines: '', expected: { 'cold-overrun': undefined, 'cold-slack': undefined } },
  {
    lines: 'cold-overrun = 1.5\ncold-slack = 5\n',
    expected: { 'cold-overrun': 1.5, 'cold-slack': 5 },
  },
  { lines: 'cold-overrun = 2\n', expected: { 'cold-overrun': 2, 'cold-slack': undefined } },
  { lines: 'cold-overrun = much\n', expected: undefined },
  { lines: 'cold-slack = -1\n', expected: undefined },
] as const;

// Guards against a node that does not start on a deployment without cold targets, or that ignores a wrong bound.
for (const { lines, expected } of coldCases) {
  void t.test(`the bound on cold targets: ${JSON.stringify(lines)}`, (t) => {
    const text = TEXT.replace(/^(retry-slack = .*)$/m, `$1\n${lines}`);
    if (expected) t.match(parseNodeSettings(text).bounds, expected);
    else t.throws(() => parseNodeSettings(text), DocumentError);
    t.end();
  });
}

void t.test('a setting that is missing or wrong is named', (t) => {
  t.throws(() => parseNodeSettings(TEXT.replace(/^retry-slack = .*$/m, 'retry-slack = many')), DocumentError);
  t.throws(() => parseNodeSettings(TEXT.replace(/^retry-slack = .*\n/m, '')), /retry-slack/);
  t.end();
});
