import * as z from 'zod';
import { DocumentError, type DocumentFault, parseDocument } from './document.js';
import {
  addressListField,
  durationField,
  listField,
  numberField,
  sizeField,
  switchField,
  textField,
} from './fields.js';
import { DEFAULT_RETRY_SHARE } from './retries.js';

const MAX_COUNT = 100_000;
const MAX_WEIGHT = 1_000;

const count = (min: number, fallback: number) => numberField({ min, max: MAX_COUNT }).default(fallback);
const weight = numberField({ min: 0, max: MAX_WEIGHT, isWhole: false });

const deploymentSchema = z.strictObject({
  name: textField,
  /** Cost of one second of one group's downtime, relative to `stranded-weight`. */
  'downtime-weight': weight.default(1),
  /** Cost of one accelerator-second without a group. */
  'stranded-weight': weight.default(1),
  /** Maximum number of concurrent loads from the weight store. */
  'weight-store-loads': count(1, 4),
  /** How long to wait for an unreachable instance before a repair is considered. */
  'return-grace': durationField.default(3_000),
});

const engineSchema = z.strictObject({
  'honours-priority': switchField.default(false),
  resumes: switchField.default(false),
  cancels: switchField.default(true),
  'exports-cache': switchField.default(false),
  'imports-cache': switchField.default(false),
  'checks-fencing': switchField.default(false),
  /** Maximum time that an order may be in transit. */
  'order-timeout': durationField.default(2_000),
});

const modelSchema = z.strictObject({
  version: textField,
  engine: textField,
  groups: count(1, 1),
  'instances-per-group': numberField({ min: 1, max: 64 }).default(1),
  'group-concurrency': count(1, 8),
  'first-token-timeout': durationField.default(10_000),
  'token-timeout': durationField.default(5_000),
  deadline: durationField.default(120_000),
});

const serviceSchema = z.strictObject({
  targets: addressListField,
  'target-concurrency': count(1, 16),
  timeout: durationField.default(5_000),
});

const routeSchema = z.strictObject({
  service: textField,
  method: textField.default('GET'),
  /** A path below `/services/<service>`; a trailing `*` matches any rest. */
  path: textField,
  idempotent: switchField,
});

const workspaceSchema = z.strictObject({
  'token-sha256': textField.refine((value) => /^[0-9a-f]{64}$/.test(value), {
    message: 'allowed: the SHA-256 of the token as 64 hexadecimal digits',
  }),
  weight: numberField({ min: 0.01, max: MAX_WEIGHT, isWhole: false }).default(1),
  concurrency: count(1, 256),
  /** Passed to engines that honour it; higher goes first. */
  priority: numberField({ min: 0, max: 9 }).default(0),
  models: listField.default([]),
  services: listField.default([]),
});

const limitsSchema = z.strictObject({
  'max-body': sizeField.default(1_048_576),
  'queue-per-workspace': count(1, 64),
  'retry-share': numberField({ min: 0, max: 1, isWhole: false }).default(DEFAULT_RETRY_SHARE),
  'hedge-after': durationField.optional(),
});

const configurationSchema = z.strictObject({
  deployment: deploymentSchema,
  limits: limitsSchema.prefault({}),
  engine: z.record(z.string(), engineSchema).default({}),
  model: z.record(z.string(), modelSchema).default({}),
  service: z.record(z.string(), serviceSchema).default({}),
  route: z.record(z.string(), routeSchema).default({}),
  workspace: z.record(z.string(), workspaceSchema).default({}),
});

/** A complete, validated configuration. */
export type Configuration = Readonly<z.infer<typeof configurationSchema>>;
/** A model that groups of instances serve. */
export type ModelConfiguration = Readonly<z.infer<typeof modelSchema>>;
/** A plain service with its targets. */
export type ServiceConfiguration = Readonly<z.infer<typeof serviceSchema>>;
/** A workspace: its token, its limits, and the models and services it may call. */
export type WorkspaceConfiguration = Readonly<z.infer<typeof workspaceSchema>>;
/** Capabilities of one kind of engine, as declared by operators. */
export type EngineConfiguration = Readonly<z.infer<typeof engineSchema>>;
/** A method and path of a plain service. */
export type RouteConfiguration = Readonly<z.infer<typeof routeSchema>>;

/**
 * Parses and validates a complete configuration.
 * @throws DocumentError that lists every fault, including dangling references.
 */
export function parseConfiguration(text: string): Configuration {
  const configuration = parseDocument(text, configurationSchema);
  const faults = findDanglingReferences(configuration);
  if (faults.length > 0) throw new DocumentError(faults);
  return configuration;
}

/** The engine of a model; `parseConfiguration` ensures that it exists. */
export function engineOf(configuration: Configuration, model: ModelConfiguration): EngineConfiguration {
  return configuration.engine[model.engine] ?? engineSchema.parse({});
}

function findDanglingReferences(configuration: Configuration): readonly DocumentFault[] {
  const faults: DocumentFault[] = [];
  const checkReference = (
    section: string,
    key: string,
    name: string,
    known: Readonly<Record<string, unknown>>,
  ) => {
    if (Object.hasOwn(known, name)) return;
    const allowed = Object.keys(known).join(', ') || 'none is defined';
    faults.push({ section, key, line: 0, message: `found "${name}"; allowed: ${allowed}` });
  };
  for (const [name, model] of Object.entries(configuration.model)) {
    checkReference(`model.${name}`, 'engine', model.engine, configuration.engine);
  }
  for (const [name, route] of Object.entries(configuration.route)) {
    checkReference(`route.${name}`, 'service', route.service, configuration.service);
  }
  for (const [name, workspace] of Object.entries(configuration.workspace)) {
    for (const model of workspace.models)
      checkReference(`workspace.${name}`, 'models', model, configuration.model);
    for (const service of workspace.services) {
      checkReference(`workspace.${name}`, 'services', service, configuration.service);
    }
  }
  return faults;
}
