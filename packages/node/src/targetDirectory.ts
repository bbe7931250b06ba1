import {
  type Evacuations,
  getIncarnationKey,
  groupBy,
  GroupRoster,
  isAllowedTarget,
  type LoadTracker,
  observeGroups,
  type OwnerOption,
  type ServingConfiguration,
  type ServingService,
  type ShardOwner,
  type TargetCandidate,
  type TargetInstance,
} from '@monsoonreach/core';
import type { InstanceList } from './instanceList.js';
import type { ShardOwnership } from './shardOwnership.js';

interface KnownTarget {
  readonly key: string;
  readonly instance: TargetInstance;
  readonly failureDomains?: readonly string[];
  readonly slots: number;
  readonly engine: TargetCandidate['engine'];
}

/** Looks up the targets that accept requests for a service and a model, according to the instance list. */
export class TargetDirectory {
  private _listVersion = -1;
  private _configuration: ServingConfiguration | undefined;
  private _targetsById = new Map<string, readonly KnownTarget[]>();
  private _targetsByKey = new Map<string, KnownTarget>();
  private _keysByAddress = new Map<string, string>();
  private _ownersById = new Map<string, readonly OwnerOption[]>();
  /** State of ownership and evacuations in which the owners were looked up. */
  private _ownersVersion = '';
  private readonly _roster = new GroupRoster();

  constructor(
    private readonly _list: InstanceList,
    private readonly _loads: LoadTracker,
    private readonly _ownership: ShardOwnership,
    private readonly _evacuations?: Evacuations,
  ) {}

  /** Returns the targets with the load that this node knows. */
  findCandidates(
    configuration: ServingConfiguration,
    service: string,
    model: string | undefined,
  ): readonly TargetCandidate[] {
    this._refresh(configuration);
    return (this._targetsById.get(toTargetsId(service, model)) ?? []).map((target) =>
      this._toCandidate(target),
    );
  }

  /** Returns those of the targets for which this node assigns requests. */
  findOwnCandidates(
    configuration: ServingConfiguration,
    service: string,
    model: string,
  ): readonly TargetCandidate[] {
    this._refresh(configuration);
    return (this._targetsById.get(toTargetsId(service, model)) ?? [])
      .filter(({ instance }) => this._ownership.isOwnerOf(instance.fabricDomain))
      .map((target) => this._toCandidate(target));
  }

  /** Returns the target with this key; undefined if it does not accept requests. */
  findCandidate(configuration: ServingConfiguration, key: string): TargetCandidate | undefined {
    this._refresh(configuration);
    const target = this._targetsByKey.get(key);
    return target && this._toCandidate(target);
  }

  /**
   * Returns the owners of the shards that have targets for the model outside of excluded failure domains, in the allowed
   * ones if any are given.
   */
  findOwners(
    configuration: ServingConfiguration,
    service: string,
    model: string,
    allowedDomains?: ReadonlySet<string>,
  ): readonly OwnerOption[] {
    this._refresh(configuration);
    if (allowedDomains !== undefined) {
      const targets = this._targetsById.get(toTargetsId(service, model)) ?? [];
      return this._listOwners(targets.filter((target) => isAllowedTarget(target, allowedDomains)));
    }
    const version = `${this._ownership.stamp}/${this._evacuations?.version ?? 0}`;
    if (this._ownersVersion !== version) {
      this._ownersVersion = version;
      this._ownersById = new Map();
    }
    const id = toTargetsId(service, model);
    let owners = this._ownersById.get(id);
    if (!owners) {
      owners = this._listOwners(this._targetsById.get(id) ?? []);
      this._ownersById.set(id, owners);
    }
    return owners;
  }

  /** Returns the owner of the target with this key. */
  findOwner(key: string): ShardOwner | undefined {
    const target = this._targetsByKey.get(key);
    return target && this._ownership.findOwner(target.instance.fabricDomain);
  }

  /** Returns the owner of the group that this incarnation of an instance heads. */
  findOwnerOfIncarnation(incarnation: string): ShardOwner | undefined {
    const [key] = this.findKeysOfIncarnations(new Set([incarnation]));
    return key === undefined ? undefined : this.findOwner(key);
  }

  /** Returns the keys of the targets at these addresses. */
  findKeys(addresses: readonly string[]): readonly string[] {
    return addresses.flatMap((address) => this._keysByAddress.get(address) ?? []);
  }

  /** Returns the keys of the targets whose requests these incarnations of instances take. */
  findKeysOfIncarnations(incarnations: ReadonlySet<string>): readonly string[] {
    if (incarnations.size === 0) return [];
    return [...this._targetsByKey.values()].flatMap(({ key, instance }) =>
      incarnations.has(getIncarnationKey(instance)) ? [key] : [],
    );
  }

  /** Returns the keys of all targets that accept requests. */
  listKeys(configuration: ServingConfiguration): ReadonlySet<string> {
    this._refresh(configuration);
    return new Set(this._targetsByKey.keys());
  }

  private _refresh(configuration: ServingConfiguration): void {
    if (this._listVersion === this._list.version && this._configuration === configuration) return;
    this._listVersion = this._list.version;
    this._configuration = configuration;
    this._targetsById = new Map();
    this._ownersById = new Map();
    for (const service of configuration.services.values()) {
      for (const [id, targets] of this._findTargets(service)) this._targetsById.set(id, targets);
    }
    this._roster.retainGroupsOf(this._list.instances.values(), this._list.currentAtMs);
    this._targetsByKey = new Map(
      [...this._targetsById.values()].flatMap((targets) => targets.map((target) => [target.key, target])),
    );
    this._keysByAddress = new Map(
      [...this._targetsByKey.values()].map(({ key, instance }) => [instance.address, key]),
    );
  }

  private _toCandidate(target: KnownTarget): TargetCandidate {
    return { ...target, load: this._loads.getLoad(target.key) };
  }

  private _listOwners(targets: readonly KnownTarget[]): readonly OwnerOption[] {
    const phases = new Map(targets.map((target) => [target, this._evacuations?.findPhaseOf(target)]));
    const byOwner = groupBy(
      targets.filter((target) => phases.get(target) !== 'excluded'),
      ({ instance }) => this._ownership.findOwner(instance.fabricDomain)?.address ?? '',
    );
    return [...byOwner].flatMap(([address, owned]) => {
      if (address === '') return [];
      const inService = owned.filter((target) => phases.get(target) === undefined);
      const isAvoided = inService.length === 0;
      const capacity = (isAvoided ? owned : inService).reduce((sum, { slots }) => sum + slots, 0);
      return [isAvoided ? { address, capacity, isAvoided } : { address, capacity }];
    });
  }

  private _findTargets(service: ServingService): ReadonlyMap<string, readonly KnownTarget[]> {
    const { engine } = service;
    if (!engine || engine.models.length === 0)
      return new Map([[toTargetsId(service.name, undefined), this._findPlainTargets(service)]]);
    const byModel = new Map<string, KnownTarget[]>();
    for (const [key, group] of observeGroups(service, this._list.instances.values())) {
      const { head, model } = group;
      this._roster.record(group, group.members);
      if (!head || !model || head.state !== 'ready') continue;
      if (head.membership?.state !== 'open') continue;
      // A head whose members have left, while it was silent, goes on accepting requests that cannot run.
      if (this._roster.hasMemberLeft(group, this._list.instances)) continue;
      const id = toTargetsId(service.name, model.name);
      const failureDomains = this._roster.listFailureDomains(group);
      const target = {
        key,
        instance: head,
        failureDomains,
        slots: engine.slots,
        engine: { profile: engine, model },
      };
      byModel.set(id, [...(byModel.get(id) ?? []), target]);
    }
    return byModel;
  }

  private _findPlainTargets(service: ServingService): readonly KnownTarget[] {
    return [...this._list.instances.values()]
      .filter((instance) => instance.service === service.name && instance.state === 'ready')
      .map((instance) => ({
        key: getIncarnationKey(instance),
        instance,
        slots: instance.slots,
        engine: undefined,
      }));
  }
}

function toTargetsId(service: string, model: string | undefined): string {
  return model === undefined ? service : `${service}/${model}`;
}
