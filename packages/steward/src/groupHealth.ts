import type { Group, GroupHealth, InstanceAssignment } from '@monsoonreach/core';
import type { Observation } from './prober.js';

/** Health of a group by the last probes of its members. */
export function assessGroup(
  group: Group,
  findObservation: (address: string) => Observation | undefined,
): GroupHealth {
  const members = group.members.map(({ address, boot }) => ({
    address,
    boot,
    observation: findObservation(address),
  }));
  const missing = members.flatMap(({ address, observation }) =>
    observation?.silence === undefined
      ? []
      : [{ address, unreachableForMs: observation.silence.untilMs - observation.silence.sinceMs }],
  );
  const reachable = members.filter(({ observation }) => observation?.silence === undefined);
  const restarted = reachable
    .filter(({ boot, observation }) => hasDiverged(group, boot, observation))
    .map(({ address }) => address);
  const isReady = ({ observation }: (typeof members)[number]) =>
    observation?.status?.phase === 'ready' && observation.status.group === group.id;
  const phase =
    missing.length + restarted.length > 0 ? 'broken' : members.every(isReady) ? 'whole' : 'loading';
  return { phase, missing, restarted };
}

/**
 * Whether a member runs under another boot id, or for another group or epoch, than the log records. A status read
 * before it was assigned to the group tells nothing of that.
 */
function hasDiverged(group: Group, boot: string, observation: Observation | undefined): boolean {
  const status = observation?.status;
  if (!status || observation.basis.position !== group.epoch) return false;
  if (status.boot !== boot) return true;
  return status.group !== null && (status.group !== group.id || status.epoch !== group.epoch);
}

/** Whether a status read since the release of an instance shows that it restarted or is busy. */
export function isReleaseOutdated(
  assignment: InstanceAssignment | undefined,
  observation: Observation | undefined,
): boolean {
  const status = observation?.status;
  if (assignment?.kind !== 'released' || !status) return false;
  if (observation.basis.position !== assignment.position) return false;
  return status.boot !== assignment.boot || status.phase !== 'idle' || status.group !== null;
}
