import {
  listField,
  numberField,
  parseConfiguration,
  parseDocument,
  sha256,
  textField,
} from '@monsoonreach/core';
import { randomBytes } from 'node:crypto';
import { z } from 'zod';

/** One question of the questionnaire. */
export interface Question {
  readonly key: string;
  readonly prompt: string;
  readonly fallback?: string;
}

/** What a new team is asked, in this order. */
export const QUESTIONS: readonly Question[] = [
  { key: 'name', prompt: 'What is the deployment called?' },
  { key: 'model', prompt: 'By what name do callers ask for the model?', fallback: 'assistant' },
  { key: 'version', prompt: 'Which version of it is loaded?', fallback: '1' },
  { key: 'groups', prompt: 'How many replica groups are to serve it?', fallback: '2' },
  { key: 'instances-per-group', prompt: 'How many instances does one group span?', fallback: '2' },
  {
    key: 'engine-checks-orders',
    prompt: 'Do the engines refuse orders with an old fencing number? (yes/no)',
    fallback: 'no',
  },
  { key: 'engine-resumes', prompt: 'Can the engines resume a stream elsewhere? (yes/no)', fallback: 'no' },
  { key: 'service', prompt: 'What is the booking service called?', fallback: 'booking' },
  { key: 'service-targets', prompt: 'At which addresses does it run? (ip:port, separated by commas)' },
  {
    key: 'order-paths',
    prompt: 'Which of its paths must never run twice? (separated by commas)',
    fallback: '/orders',
  },
  { key: 'large-workspaces', prompt: 'Which workspaces are large? (separated by commas)', fallback: '' },
  { key: 'small-workspaces', prompt: 'Which workspaces are small? (separated by commas)', fallback: '' },
  {
    key: 'matters-more',
    prompt: 'What matters more, group downtime or stranded accelerators? (downtime/stranded)',
    fallback: 'downtime',
  },
];

const answersSchema = z.strictObject({
  name: textField,
  model: textField.default('assistant'),
  version: textField.default('1'),
  groups: numberField({ min: 1, max: 100_000 }).default(2),
  'instances-per-group': numberField({ min: 1, max: 64 }).default(2),
  'engine-checks-orders': z.coerce
    .string()
    .pipe(z.enum(['yes', 'no', 'true', 'false']))
    .default('no'),
  'engine-resumes': z.coerce
    .string()
    .pipe(z.enum(['yes', 'no', 'true', 'false']))
    .default('no'),
  service: textField.default('booking'),
  'service-targets': textField,
  'order-paths': listField.default(['/orders']),
  'large-workspaces': listField.default([]),
  'small-workspaces': listField.default([]),
  'matters-more': z.enum(['downtime', 'stranded']).default('downtime'),
});

/** The answers of a new team. */
export type Answers = Readonly<z.infer<typeof answersSchema>>;

/** What the questionnaire gives: a configuration, and the tokens that callers of each workspace need. */
export interface GeneratedDeployment {
  readonly configuration: string;
  readonly tokens: Readonly<Record<string, string>>;
}

const LARGE_WEIGHT = 4;
const LARGE_CONCURRENCY = 512;
const SMALL_CONCURRENCY = 128;
const TOKEN_BYTES = 24;

/** @throws DocumentError that names each answer that is missing or wrong. */
export function parseAnswers(text: string): Answers {
  return parseDocument(text, answersSchema);
}

/** Generates the configuration; `createToken` gives each workspace a token of its own. */
export function generateDeployment(
  answers: Answers,
  createToken: (workspace: string) => string = () => randomBytes(TOKEN_BYTES).toString('base64url'),
): GeneratedDeployment {
  const workspaces = [...answers['large-workspaces'], ...answers['small-workspaces']];
  const tokens = Object.fromEntries(workspaces.map((workspace) => [workspace, createToken(workspace)]));
  const sections = [
    deploymentSection(answers),
    engineSection(answers),
    modelSection(answers),
    ...serviceSections(answers),
    ...workspaces.map((workspace) => workspaceSection(workspace, tokens[workspace] ?? '', answers)),
  ];
  const configuration = `${sections.join('\n\n')}\n`;
  parseConfiguration(configuration);
  return { configuration, tokens };
}

function deploymentSection(answers: Answers): string {
  const prefersDowntime = answers['matters-more'] === 'downtime';
  return section('deployment', {
    name: answers.name,
    'downtime-weight': prefersDowntime ? '100' : '1',
    'stranded-weight': prefersDowntime ? '0.1' : '1',
  });
}

function engineSection(answers: Answers): string {
  return section('engine.engines', {
    'checks-fencing': answers['engine-checks-orders'],
    resumes: answers['engine-resumes'],
  });
}

function modelSection(answers: Answers): string {
  return section(`model.${answers.model}`, {
    version: answers.version,
    engine: 'engines',
    groups: String(answers.groups),
    'instances-per-group': String(answers['instances-per-group']),
  });
}

function serviceSections(answers: Answers): readonly string[] {
  const { service } = answers;
  const orders = answers['order-paths'].map((path, index) =>
    section(`route.${service}-order-${index + 1}`, { service, method: 'POST', path, idempotent: 'no' }),
  );
  const lookups = section(`route.${service}-lookups`, {
    service,
    method: 'GET',
    path: '/*',
    idempotent: 'yes',
  });
  return [section(`service.${service}`, { targets: answers['service-targets'] }), ...orders, lookups];
}

function workspaceSection(workspace: string, token: string, answers: Answers): string {
  const isLarge = answers['large-workspaces'].includes(workspace);
  return section(`workspace.${workspace}`, {
    'token-sha256': sha256(token),
    weight: String(isLarge ? LARGE_WEIGHT : 1),
    concurrency: String(isLarge ? LARGE_CONCURRENCY : SMALL_CONCURRENCY),
    models: answers.model,
    services: answers.service,
  });
}

function section(name: string, values: Readonly<Record<string, string>>): string {
  const lines = Object.entries(values).map(([key, value]) => `${key} = ${value}`);
  return [`[${name}]`, ...lines].join('\n');
}
