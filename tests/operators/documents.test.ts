import { readFileSync } from 'node:fs';
import { DocumentError, parseConfiguration, parseEntrySettings } from '@monsoonreach/core';
import { describeDifference, diffDocuments, generateDeployment, parseAnswers } from '@monsoonreach/operators';
import t from 'tap';

const VALID_CONFIGURATION = `[deployment]
name = d
[engine.e]
resumes = yes
[model.m]
version = 1
engine = e
deadline = 90s
`;

const faults = [
  {
    name: 'an unknown key',
    text: VALID_CONFIGURATION.replace('resumes', 'resume'),
    line: 4,
    section: 'engine.e',
    key: 'resume',
  },
  {
    name: 'a wrong unit',
    text: VALID_CONFIGURATION.replace('90s', '90 seconds'),
    line: 8,
    section: 'model.m',
    key: 'deadline',
  },
  {
    name: 'a duration without a unit',
    text: VALID_CONFIGURATION.replace('90s', '90'),
    line: 8,
    section: 'model.m',
    key: 'deadline',
  },
  {
    name: 'a switch that is neither yes nor no',
    text: VALID_CONFIGURATION.replace('= yes', '= maybe'),
    line: 4,
    section: 'engine.e',
    key: 'resumes',
  },
  {
    name: 'a missing key',
    text: VALID_CONFIGURATION.replace('version = 1\n', ''),
    line: 0,
    section: 'model.m',
    key: 'version',
  },
  {
    name: 'a reference to an engine that does not exist',
    text: VALID_CONFIGURATION.replace('engine = e', 'engine = x'),
    line: 0,
    section: 'model.m',
    key: 'engine',
  },
] as const;

for (const { name, text, line, section, key } of faults) {
  void t.test(`a fault in a configuration is reported with its place: ${name}`, (t) => {
    const error = catchError(() => parseConfiguration(text));
    t.ok(error instanceof DocumentError);
    t.match(error instanceof DocumentError && error.faults, [{ line, section, key }]);
    t.end();
  });
}

void t.test('a duration is read in milliseconds', (t) => {
  t.equal(parseConfiguration(VALID_CONFIGURATION).model['m']?.deadline, 90_000);
  t.end();
});

void t.test('settings with a host name instead of an IP address are refused', (t) => {
  const text = '[node]\npeers-address = localhost:1\n';
  t.throws(() => parseEntrySettings(text), DocumentError);
  t.end();
});

void t.test('differences are listed key by key', (t) => {
  const after =
    VALID_CONFIGURATION.replace('90s', '60s').replace('resumes = yes\n', '') + '[limits]\nmax-body = 2MiB\n';
  t.same(diffDocuments(VALID_CONFIGURATION, after).map(describeDifference), [
    '- engine.e.resumes = yes',
    '+ limits.max-body = 2MiB',
    '~ model.m.deadline = 90s -> 60s',
  ]);
  t.end();
});

for (const name of ['skorstenslaug', 'kettlehaven']) {
  void t.test(`the example's answers generate a valid configuration: ${name}`, (t) => {
    const answers = parseAnswers(readFileSync(`examples/${name}.answers.ini`, 'utf8'));
    const { configuration, tokens } = generateDeployment(answers, (workspace) => `token-${workspace}`);
    const parsed = parseConfiguration(configuration);
    t.equal(Object.keys(parsed.workspace).length, 10);
    t.equal(Object.keys(tokens).length, 10);
    t.equal(parsed.model[answers.model]?.groups, 65);
    t.ok(Object.values(parsed.route).some(({ idempotent }) => !idempotent));
    t.equal(parseConfiguration(readFileSync(`examples/${name}.ini`, 'utf8')).deployment.name, name);
    t.end();
  });
}

function catchError(run: () => unknown): unknown {
  try {
    run();
    return undefined;
  } catch (error) {
    return error;
  }
}
