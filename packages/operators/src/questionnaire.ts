import {
  listField,
  numberField,
  parseConfiguration,
  parseDocument,
  sha256,
  textField,
} from '@monsoonreach/core';
import { randomBytes } from 'node:crypto';
import * as z from 'zod';

/** A question, the key of its answer and the default answer. */
export interface Question {
  readonly key: string;
  readonly prompt: string;
  readonly defaultAnswer?: string;
}

/** Questions about a new deployment, in the order asked. */
export const QUESTIONS: readonly Question[] = [
  { key: 'name', prompt: 'What is the name of the deployment?' },
  { key: 'model', prompt: 'Which model name do callers request?', defaultAnswer: 'assistant' },
  { key: 'version', prompt: 'Which version of the model is loaded?', defaultAnswer: '1' },
  { key: 'groups', prompt: 'How many replica groups serve the model?', defaultAnswer: '2' },
  { key: 'instances-per-group', prompt: 'How many instances does one group span?', defaultAnswer: '2' },
  {
    key: 'engine-checks-orders',
    prompt: 'Do the engines refuse orders with an outdated fencing token? (yes/no)',
    defaultAnswer: 'no',
  },
  {
    key: 'engine-resumes',
    prompt: 'Can the engines resume a stream that another group began? (yes/no)',
    defaultAnswer: 'no',
  },
  { key: 'service', prompt: 'What is the name of the booking service?', defaultAnswer: 'booking' },
  {
    key: 'service-targets',
    prompt: 'At which addresses does the service run? (ip:port, separated by commas)',
  },
  {
    key: 'order-paths',
    prompt: 'Which paths of the service must be executed at most once? (separated by commas)',
    defaultAnswer: '/orders',
  },
  { key: 'large-workspaces', prompt: 'Which workspaces are large? (separated by commas)', defaultAnswer: '' },
  { key: 'small-workspaces', prompt: 'Which workspaces are small? (separated by commas)', defaultAnswer: '' },
  {
    key: 'matters-more',
    prompt: 'Which costs more, group downtime or stranded accelerators? (downtime/stranded)',
    defaultAnswer: 'downtime',
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

/** Parsed answers to the questionnaire. */
export type QuestionnaireAnswers = Readonly<z.infer<typeof answersSchema>>;

/** A generated configuration, which contains only the hashes of the tokens, and the token of each workspace. */
export interface GeneratedDeployment {
  readonly configuration: string;
  readonly tokens: Readonly<Record<string, string>>;
}

const LARGE_WORKSPACE_WEIGHT = 4;
const LARGE_WORKSPACE_CONCURRENCY = 512;
const SMALL_WORKSPACE_CONCURRENCY = 128;
const TOKEN_BYTES = 24;

/** @throws DocumentError listing each missing or invalid answer. */
export function parseAnswers(text: string): QuestionnaireAnswers {
  return parseDocument(text, answersSchema);
}

/** Generates a configuration and one token per workspace. */
export function generateDeployment(
  answers: QuestionnaireAnswers,
  createToken: (workspace: string) => string = () => randomBytes(TOKEN_BYTES).toString('base64url'),
): GeneratedDeployment {
  const workspaces = [...answers['large-workspaces'], ...answers['small-workspaces']];
  const tokens = Object.fromEntries(workspaces.map((workspace) => [workspace, createToken(workspace)]));
  const sections = [
    formatDeploymentSection(answers),
    formatEngineSection(answers),
    formatModelSection(answers),
    ...formatServiceSections(answers),
    ...workspaces.map((workspace) => formatWorkspaceSection(workspace, tokens[workspace] ?? '', answers)),
  ];
  const configuration = `${sections.join('\n\n')}\n`;
  parseConfiguration(configuration);
  return { configuration, tokens };
}

function formatDeploymentSection(answers: QuestionnaireAnswers): string {
  const prefersDowntime = answers['matters-more'] === 'downtime';
  return formatSection('deployment', {
    name: answers.name,
    'downtime-weight': prefersDowntime ? '100' : '1',
    'stranded-weight': prefersDowntime ? '0.1' : '1',
  });
}

function formatEngineSection(answers: QuestionnaireAnswers): string {
  return formatSection('engine.engines', {
    'checks-fencing': answers['engine-checks-orders'],
    resumes: answers['engine-resumes'],
  });
}

function formatModelSection(answers: QuestionnaireAnswers): string {
  return formatSection(`model.${answers.model}`, {
    version: answers.version,
    engine: 'engines',
    groups: String(answers.groups),
    'instances-per-group': String(answers['instances-per-group']),
  });
}

function formatServiceSections(answers: QuestionnaireAnswers): readonly string[] {
  const { service } = answers;
  const orders = answers['order-paths'].map((path, index) =>
    formatSection(`route.${service}-order-${index + 1}`, { service, method: 'POST', path, idempotent: 'no' }),
  );
  const lookups = formatSection(`route.${service}-lookups`, {
    service,
    method: 'GET',
    path: '/*',
    idempotent: 'yes',
  });
  return [formatSection(`service.${service}`, { targets: answers['service-targets'] }), ...orders, lookups];
}

function formatWorkspaceSection(workspace: string, token: string, answers: QuestionnaireAnswers): string {
  const isLarge = answers['large-workspaces'].includes(workspace);
  return formatSection(`workspace.${workspace}`, {
    'token-sha256': sha256(token),
    weight: String(isLarge ? LARGE_WORKSPACE_WEIGHT : 1),
    concurrency: String(isLarge ? LARGE_WORKSPACE_CONCURRENCY : SMALL_WORKSPACE_CONCURRENCY),
    models: answers.model,
    services: answers.service,
  });
}

function formatSection(name: string, values: Readonly<Record<string, string>>): string {
  const lines = Object.entries(values).map(([key, value]) => `${key} = ${value}`);
  return [`[${name}]`, ...lines].join('\n');
}
