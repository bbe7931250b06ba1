import { type Clock, type Configuration, type Group, WHOLE_LEASE_MS } from '@monsoonreach/core';
import type { Observation } from './prober.js';

/** How long the requests of a group may take whose model is not configured any more, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;
/** A member that has been silent for longer takes its group's requests with it, in milliseconds. */
const MAX_MEMBER_SILENCE_MS = 2_500;

export interface GroupDrainOptions {
  readonly clock: Clock;
  readonly configuration: () => Configuration | undefined;
  readonly findObservation: (address: string) => Observation | undefined;
}

/**
 * Lets the requests in progress at a dissolved group finish before its members are stopped. Entries send it no more
 * once their leases have ended.
 */
export class GroupDrain {
  /** When each dissolved group was first seen here. */
  private readonly _startedAtMs = new Map<string, number>();

  constructor(private readonly _options: GroupDrainOptions) {}

  /** Whether the members of a dissolved group have to be left to their requests. */
  isDraining(group: Group): boolean {
    const startedAtMs = this._startOf(group);
    const leaseEndsAtMs = startedAtMs + WHOLE_LEASE_MS;
    const nowMs = this._options.clock.monotonic();
    if (nowMs >= leaseEndsAtMs + this._deadlineMsOf(group)) return false;
    const observations = group.members.map(({ address }) => this._options.findObservation(address));
    if (!group.members.every(({ boot }, index) => mayServe(group, boot, observations[index]))) return false;
    const [head] = observations;
    const isFinished = head?.status?.inFlight === 0 && head.probedAtMs >= leaseEndsAtMs;
    return !isFinished;
  }

  /** Forgets all groups but the given ones. */
  retain(groups: readonly Group[]): void {
    const ids = new Set(groups.map(({ id }) => id));
    for (const id of this._startedAtMs.keys()) if (!ids.has(id)) this._startedAtMs.delete(id);
  }

  private _startOf({ id }: Group): number {
    const startedAtMs = this._startedAtMs.get(id) ?? this._options.clock.monotonic();
    this._startedAtMs.set(id, startedAtMs);
    return startedAtMs;
  }

  private _deadlineMsOf({ model }: Group): number {
    return this._options.configuration()?.model[model]?.deadline ?? DEFAULT_DEADLINE_MS;
  }
}

/** Whether a member may still serve its group; a member that was not probed yet may. */
function mayServe(group: Group, boot: string, observation: Observation | undefined): boolean {
  const status = observation?.status;
  if (!observation || !status) return true;
  const { silence, hasConnectionFailed } = observation;
  const isLost = silence !== undefined && silence.untilMs - silence.sinceMs > MAX_MEMBER_SILENCE_MS;
  if (hasConnectionFailed || isLost || status.boot !== boot) return false;
  return status.phase === 'ready' && status.group === group.id && status.epoch === group.epoch;
}
