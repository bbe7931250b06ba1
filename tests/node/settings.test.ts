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

// Guards against a deployment without evacuations whose settings are refused.
void t.test('the bound evacuation is optional', (t) => {
  t.equal(parseNodeSettings(TEXT).bounds.evacuation, undefined);
  t.equal(parseNodeSettings(`${TEXT}evacuation = 5000ms\n`).bounds.evacuation, 5_000);
  t.throws(() => parseNodeSettings(`${TEXT}evacuation = 5000\n`), /evacuation/);
  t.end();
});

void t.test('a setting that is missing or wrong is named', (t) => {
  t.throws(() => parseNodeSettings(TEXT.replace(/^retry-slack = .*$/m, 'retry-slack = many')), DocumentError);
  t.throws(() => parseNodeSettings(TEXT.replace(/^retry-slack = .*\n/m, '')), /retry-slack/);
  t.end();
});
