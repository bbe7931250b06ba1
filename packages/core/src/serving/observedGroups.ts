import { findModelOfGroup } from './groupName.js';
import type { ModelProfile, ServingService } from './servingConfiguration.js';
import { isServingState, type TargetInstance } from './targetInstance.js';

/** A replica group as announced by its members. */
export interface ObservedGroup {
  readonly name: string;
  readonly epoch: number;
  readonly service: string;
  /** Undefined while no member announces a model of the service. */
  readonly model: ModelProfile | undefined;
  /** Undefined when the head is not listed. */
  readonly head: TargetInstance | undefined;
  /** Listed members, by rank. */
  readonly members: readonly TargetInstance[];
}

/** Derives the groups of a service from its instances' memberships, by `groupId`. */
export function observeGroups(
  service: ServingService,
  instances: Iterable<TargetInstance>,
): ReadonlyMap<string, ObservedGroup> {
  const members = new Map<string, TargetInstance[]>();
  for (const instance of instances) {
    if (instance.service !== service.name || !instance.membership) continue;
    const id = groupId(instance.membership);
    const known = members.get(id);
    if (known) known.push(instance);
    else members.set(id, [instance]);
  }
  return new Map([...members].map(([id, group]) => [id, toGroup(service, group)]));
}

/** Identifies one epoch of a group. */
export function groupId(membership: { readonly group: string; readonly epoch: number }): string {
  return `${membership.group}@${membership.epoch}`;
}

function toGroup(service: ServingService, unsorted: readonly TargetInstance[]): ObservedGroup {
  const members = [...unsorted].sort((a, b) => getRank(a) - getRank(b));
  const name = members[0]?.membership?.group ?? '';
  const modelName = members.find(({ models }) => models.length > 0)?.models[0] ?? findModelOfGroup(name);
  return {
    name,
    epoch: members[0]?.membership?.epoch ?? 0,
    service: service.name,
    model: service.engine?.models.find(({ name }) => name === modelName),
    head: members.find((member) => getRank(member) === 0),
    members,
  };
}

function getRank(instance: TargetInstance): number {
  return instance.membership?.rank ?? Infinity;
}

/** Whether every rank of the group is listed, ready or already open, and none is leaving. */
export function isWhole(group: ObservedGroup): boolean {
  if (!group.model || group.members.length !== group.model.groupSize) return false;
  return group.members.every(
    ({ membership, state }, rank) =>
      state === 'ready' &&
      membership?.rank === rank &&
      (membership.state === 'ready' || membership.state === 'open'),
  );
}

/** Whether the head accepts requests or still processes some. */
export function isHeadServing(group: ObservedGroup): boolean {
  return isServingState(group.head?.membership?.state);
}
