import type { NodeAnswer, NodeStatus } from './nodeClient.js';

/** One model's groups. */
export interface ModelSummary {
  readonly model: string;
  readonly standing: number;
  readonly whole: number;
}

/** What all nodes together say. */
export interface FleetSummary {
  readonly nodes: readonly {
    readonly address: string;
    readonly role: string;
    readonly isReady: boolean;
    readonly configuration: number;
  }[];
  readonly silent: readonly string[];
  readonly models: readonly ModelSummary[];
  /** Groups that stand in the log but that no steward sees whole. */
  readonly down: readonly string[];
  /** Accelerators of live instances that hold no whole group. */
  readonly strandedAccelerators: number;
  readonly leaving: readonly string[];
  /** Refusals and failures by `run/reason`, over all entries. */
  readonly refusals: Readonly<Record<string, number>>;
}

/** Puts the nodes' answers together. */
export function summarise(answers: readonly NodeAnswer[]): FleetSummary {
  const statuses = answers.flatMap((answer) => (answer.kind === 'answered' ? [answer] : []));
  const stewards = statuses.map(({ status }) => status).filter(({ role }) => role === 'steward');
  const newest = [...stewards].sort((a, b) => b.groups.length - a.groups.length)[0];
  const whole = new Set(stewards.flatMap((steward) => steward.whole));
  const standing = newest?.groups.filter(({ isDissolved }) => !isDissolved) ?? [];
  const instances = newest?.instances ?? [];
  const working = new Set(standing.filter(({ id }) => whole.has(id)).flatMap(({ members }) => members));
  const stranded = instances.filter(({ kind, address }) => kind === 'engine' && !working.has(address));
  return {
    nodes: statuses.map(({ address, status }) => ({
      address,
      role: status.role,
      isReady: status.isReady,
      configuration: status.configuration,
    })),
    silent: answers.filter(({ kind }) => kind === 'silent').map(({ address }) => address),
    models: summariseModels(standing, whole),
    down: standing.filter(({ id }) => !whole.has(id)).map(({ id }) => id),
    strandedAccelerators: stranded.reduce((sum, { accelerators }) => sum + accelerators, 0),
    leaving: instances.filter(({ state }) => state === 'leaving').map(({ address }) => address),
    refusals: sumRefusals(statuses.map(({ status }) => status)),
  };
}

function summariseModels(
  standing: NodeStatus['groups'],
  whole: ReadonlySet<string>,
): readonly ModelSummary[] {
  const models = [...new Set(standing.map(({ model }) => model))].sort();
  return models.map((model) => {
    const own = standing.filter((group) => group.model === model);
    return { model, standing: own.length, whole: own.filter(({ id }) => whole.has(id)).length };
  });
}

function sumRefusals(statuses: readonly NodeStatus[]): Readonly<Record<string, number>> {
  const sums: Record<string, number> = {};
  for (const { counters } of statuses) {
    for (const [series, count] of Object.entries(counters)) {
      const match = /^monsoonreach_refusals_total\{run="([^"]+)",reason="([^"]+)"\}$/.exec(series);
      if (!match) continue;
      const key = `${match[1]}/${match[2]}`;
      sums[key] = (sums[key] ?? 0) + count;
    }
  }
  return sums;
}

/** The summary as lines for a person. */
export function describeSummary(summary: FleetSummary): readonly string[] {
  const lines = summary.nodes.map(
    ({ address, role, isReady, configuration }) =>
      `${role.padEnd(8)} ${address.padEnd(22)} ${isReady ? 'ready' : 'not ready'}, configuration ${configuration}`,
  );
  for (const address of summary.silent) lines.push(`silent   ${address}`);
  for (const { model, standing, whole } of summary.models) {
    lines.push(`model    ${model}: ${whole} of ${standing} groups whole`);
  }
  for (const group of summary.down) lines.push(`down     group ${group}`);
  lines.push(`stranded ${summary.strandedAccelerators} accelerators hold no whole group`);
  for (const address of summary.leaving) lines.push(`leaving  ${address}`);
  for (const [reason, count] of Object.entries(summary.refusals).sort())
    lines.push(`refused  ${reason}: ${count}`);
  return lines;
}
