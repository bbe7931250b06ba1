import {
  type Clock,
  findUnlistedGroup,
  getIncarnationKey,
  observeGroups,
  type RemovedInstance,
  type ServingConfiguration,
} from '@monsoonreach/core';
import { type InstanceList, REMOVED_TTL_MS } from './instanceList.js';
import type { RemovedRow } from './peerMessages.js';

/** Largest number of instances in a digest, which is a datagram. */
const MAX_ROWS = 64;

/** Dependencies of {@link RemovedInstances}. */
export interface RemovedInstancesOptions {
  readonly list: InstanceList;
  readonly clock: Clock;
  readonly configuration: () => ServingConfiguration | undefined;
}

interface Removal {
  readonly instance: RemovedInstance;
  /** Monotonic time in milliseconds. */
  readonly removedAtMs: number;
}

/**
 * The instances that were removed from the list lately, as this node or a peer read their last entries. The nodes pass
 * on what they know, as the members of a group are listed nowhere else: a node that has just started plans groups with
 * members whose entries it has never read, and those that have read them may be gone by then.
 */
export class RemovedInstances {
  /** What peers told, by incarnation. */
  private readonly _told = new Map<string, Removal>();
  private _version = 0;
  private _members: { readonly version: string; readonly removals: readonly Removal[] } = {
    version: '',
    removals: [],
  };

  constructor(private readonly _options: RemovedInstancesOptions) {}

  /** Increases whenever a peer tells of another instance, or of another group of one. */
  get version(): number {
    return this._version;
  }

  /** Records what a peer told. */
  recordPeer(rows: readonly RemovedRow[]): void {
    const nowMs = this._options.clock.monotonic();
    for (const [key, { removedAtMs }] of this._told)
      if (nowMs - removedAtMs > REMOVED_TTL_MS) this._told.delete(key);
    for (const { ageMs, ...instance } of rows) {
      const key = getIncarnationKey(instance);
      const { epoch } = instance.membership;
      const knownEpoch = this._told.get(key)?.instance.membership?.epoch ?? -Infinity;
      if (ageMs > REMOVED_TTL_MS || knownEpoch >= epoch) continue;
      this._told.set(key, { instance, removedAtMs: nowMs - ageMs });
      this._version++;
    }
  }

  /** Returns the instances that the list of this node does not hold. */
  list(): readonly RemovedInstance[] {
    return this._listRemovals().map(({ instance }) => instance);
  }

  /** Returns the members of serving groups among them, to be told to peers. */
  describe(): RemovedRow[] {
    const version = `${this._options.list.version}/${this._version}`;
    if (this._members.version !== version)
      this._members = { version, removals: this._findMembers().slice(-MAX_ROWS) };
    const nowMs = this._options.clock.monotonic();
    return this._members.removals
      .filter(({ removedAtMs }) => nowMs - removedAtMs <= REMOVED_TTL_MS)
      .flatMap(({ instance, removedAtMs }) => toRow(instance, nowMs - removedAtMs));
  }

  private _listRemovals(): readonly Removal[] {
    const { list } = this._options;
    const removed = list.listRemoved();
    const known = new Set(removed.map(({ instance }) => describeMembership(instance)));
    const told = [...this._told.values()].filter(
      ({ instance }) => !list.get(instance.id) && !known.has(describeMembership(instance)),
    );
    return [...removed, ...told];
  }

  private _findMembers(): readonly Removal[] {
    const { list, configuration } = this._options;
    const removals = this._listRemovals();
    if (removals.length === 0) return [];
    const services = [...(configuration()?.services.values() ?? [])].filter(({ engine }) => engine);
    const groups = new Map(
      services.flatMap((service) => [...observeGroups(service, list.instances.values())]),
    );
    return removals.filter(({ instance }) => findUnlistedGroup(groups, instance) !== undefined);
  }
}

function describeMembership(instance: RemovedInstance): string {
  const { membership } = instance;
  return `${getIncarnationKey(instance)}/${membership ? `${membership.group}@${membership.epoch}` : ''}`;
}

function toRow(
  { id, address, service, fabricDomain, failureDomain, startedAtMs, state, membership }: RemovedInstance,
  ageMs: number,
): RemovedRow[] {
  if (!membership) return [];
  const { group, epoch, rank } = membership;
  return [
    {
      id,
      address,
      service,
      fabricDomain,
      startedAtMs,
      state,
      membership: { group, epoch, rank },
      ...(failureDomain === undefined ? {} : { failureDomain }),
      ageMs: Math.round(ageMs),
    },
  ];
}
