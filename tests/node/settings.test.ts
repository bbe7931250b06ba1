import { readFileSync } from 'node:fs';
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

const switchCases = [
  { name: 'absent', text: '', expected: false },
  { name: 'no', text: '\n[routing]\nprompt-harm = no\n', expected: false },
  { name: 'yes', text: '\n[routing]\nprompt-harm = yes\n', expected: true },
];

// Guards against nodes whose choice of groups changes without the operator's request.
for (const { name, text, expected } of switchCases) {
  void t.test(`harm by prompts counts only if the setting asks for it: ${name}`, (t) => {
    t.equal(parseNodeSettings(`${TEXT}${text}`).routing['prompt-harm'], expected);
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

/** Expands a template as the users' platform does, with the table `zones`; all other values are those of `TEXT`. */
function expandRegions(zones: Readonly<Record<string, string>>, keepsMarkerLines: boolean): string {
  const template = readFileSync('deploy/node.ini', 'utf8');
  const regions = template.slice(template.indexOf('[regions]'));
  const marker = keepsMarkerLines ? '' : '\\n';
  return regions.replace(
    new RegExp(`\\{\\{#zones\\}\\}${marker}([^]*?)\\{\\{/zones\\}\\}${marker}`),
    (_match, body: string) =>
      Object.entries(zones)
        .map(([key, value]) => body.replace('{{@}}', key).replace('{{.}}', value))
        .join(''),
  );
}

const regionCases: readonly {
  readonly name: string;
  readonly text: string;
  readonly regions: Readonly<Record<string, string>>;
}[] = [
  { name: 'without the section', text: '', regions: {} },
  { name: 'with an empty section', text: '[regions]\n', regions: {} },
  {
    name: 'with zones whose names hold dots or digits only',
    text: '[regions]\nzone.1 = eu.north\n2 = 3\n',
    regions: { 'zone.1': 'eu.north', '2': '3' },
  },
  ...[true, false].flatMap((keepsMarkerLines) => {
    const suffix = keepsMarkerLines ? ', lines of markers kept' : '';
    const zones = { 'zone-1': 'north', 'zone-2': 'north', 'zone-3': 'south' };
    return [
      {
        name: `from the template${suffix}`,
        text: expandRegions(zones, keepsMarkerLines),
        regions: zones,
      },
      {
        name: `from the template without zones${suffix}`,
        text: expandRegions({}, keepsMarkerLines),
        regions: {},
      },
    ];
  }),
];

// Guards against a node that does not start, or takes a zone for a region of its own name, because of the settings' form.
for (const { name, text, regions } of regionCases) {
  void t.test(`regions are read: ${name}`, (t) => {
    t.same(parseNodeSettings(`${TEXT}${text}`).regions, regions);
    t.end();
  });
}

void t.test('a region that is empty is named', (t) => {
  t.throws(() => parseNodeSettings(`${TEXT}[regions]\nzone-1 =\n`), /zone-1/);
  t.end();
});
