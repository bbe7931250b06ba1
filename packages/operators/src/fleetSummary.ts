import type { NodeStatusResult, NodeStatus } from './nodeClient.js';

/** Number of groups of one model: in the log (`standing`), and reported whole by a steward (`whole`). */
export interface ModelSummary {
  readonly model: string;
  readonly standing: number;
  readonly whole: number;
}

/** Status of the fleet, aggregated over the responses of all nodes. */
export interface FleetSummary {
  readonly nodes: readonly {
    readonly address: string;
    readonly role: string;
    readonly isReady: boolean;
    readonly configuration: number;
  }[];
  /** Addresses of the nodes that did not respond. */
  readonly silent: readonly string[];
  readonly models: readonly ModelSummary[];
  /** Groups that exist in the log but that no steward reports as whole. */
  readonly down: readonly string[];
  /** Accelerators of live instances that belong to no whole group. */
  readonly strandedAccelerators: number;
  /** Addresses of the targets marked as leaving. */
  readonly leaving: readonly string[];
  /** Refusals and failures by `run/reason`, summed over all entries. */
  readonly refusals: Readonly<Record<string, number>>;
}

/** Aggregates the status of all nodes; groups and instances come from the steward that knows the most groups. */
export function summariseFleet(results: readonly NodeStatusResult[]): FleetSummary {
  const responses = results.flatMap((result) => (result.kind === 'answered' ? [result] : []));
  const stewards = responses.map(({ status }) => status).filter(({ role }) => role === 'steward');
  const mostComplete = [...stewards].sort((a, b) => b.groups.length - a.groups.length)[0];
  const wholeGroups = new Set(stewards.flatMap((steward) => steward.whole));
  const activeGroups = mostComplete?.groups.filter(({ isDissolved }) => !isDissolved) ?? [];
  const instances = mostComplete?.instances ?? [];
  const servingInstances = new Set(
    activeGroups.filter(({ id }) => wholeGroups.has(id)).flatMap(({ members }) => members),
  );
  const strandedInstances = instances.filter(
    ({ kind, address }) => kind === 'engine' && !servingInstances.has(address),
  );
  return {
    nodes: responses.map(({ address, status }) => ({
      address,
      role: status.role,
      isReady: status.isReady,
      configuration: status.configuration,
    })),
    silent: results.filter(({ kind }) => kind === 'silent').map(({ address }) => address),
    models: summariseModels(activeGroups, wholeGroups),
    down: activeGroups.filter(({ id }) => !wholeGroups.has(id)).map(({ id }) => id),
    strandedAccelerators: strandedInstances.reduce((sum, { accelerators }) => sum + accelerators, 0),
    leaving: instances.filter(({ state }) => state === 'leaving').map(({ address }) => address),
    refusals: sumRefusals(responses.map(({ status }) => status)),
  };
}

function summariseModels(
  activeGroups: NodeStatus['groups'],
  wholeGroups: ReadonlySet<string>,
): readonly ModelSummary[] {
  const models = [...new Set(activeGroups.map(({ model }) => model))].sort();
  return models.map((model) => {
    const modelGroups = activeGroups.filter((group) => group.model === model);
    return {
      model,
      standing: modelGroups.length,
      whole: modelGroups.filter(({ id }) => wholeGroups.has(id)).length,
    };
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

/** Formats the summary as lines of text. */
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
  lines.push(`stranded ${summary.strandedAccelerators} accelerators belong to no whole group`);
  for (const address of summary.leaving) lines.push(`leaving  ${address}`);
  for (const [reason, count] of Object.entries(summary.refusals).sort())
    lines.push(`refused  ${reason}: ${count}`);
  return lines;
}
