import type {
  EngineProfile,
  FormationView,
  MemberState,
  ModelProfile,
  ServingService,
  TargetInstance,
} from '@monsoonreach/core';

export const LARGE_MODEL: ModelProfile = {
  name: 'large',
  groupSize: 3,
  demandShare: 0.67,
  timeFactor: 1,
  loadMs: 16_000,
  warmupMs: 1_600,
};
export const SMALL_MODEL: ModelProfile = {
  name: 'small',
  groupSize: 2,
  demandShare: 0.33,
  timeFactor: 0.6,
  loadMs: 12_000,
  warmupMs: 1_100,
};

export const ENGINE_PROFILE: EngineProfile = {
  slots: 18,
  kvCapacityTokens: 1_710_000,
  stepsPerPass: 6,
  stepMs: 6.45,
  stepMsPerRequest: 0.14,
  stepMsPerThousandTokens: 0.0042,
  prefillTokensPerS: 56_100,
  prefillMsPerMillionPairs: 0.309,
  prefillChunk: 2_048,
  usualPromptTokens: 1_115,
  usualAnswerTokens: 152,
  models: [LARGE_MODEL, SMALL_MODEL],
  loadsPerS: 5.5,
  maxConcurrentLoads: 8,
  crossDomainFactor: 2.5,
};

export const SERVICE: ServingService = {
  name: 'engines',
  maxConnections: 400,
  healthPath: undefined,
  engine: ENGINE_PROFILE,
  coldStartMs: 0,
  coldRequestsPerS: 0,
};

/** Creates an instance of the service `engines`. */
export function createInstance(id: string, options: Partial<TargetInstance> = {}): TargetInstance {
  return {
    id,
    service: 'engines',
    address: '10.0.0.1:1',
    failureDomain: 'zone-1',
    state: 'ready',
    slots: 18,
    startedAtMs: 1,
    fabricDomain: 'fabric-1',
    stagedModels: [],
    models: [],
    membership: undefined,
    ...options,
  };
}

/** Creates the members of one group, one for each state; the first is the head. */
export function createGroupMembers(
  group: string,
  epoch: number,
  model: ModelProfile,
  states: readonly MemberState[],
): readonly TargetInstance[] {
  return states.map((state, rank) =>
    createInstance(`${group}-${rank}`, {
      stagedModels: [model.name],
      models: [model.name],
      membership: { group, epoch, rank, state },
    }),
  );
}

/** Term in which the planner plans all fabric domains. */
export const TERM = 3;

/** Creates a planner's view without faults, demand or orders in progress. */
export function createView(
  instances: readonly TargetInstance[],
  options: Partial<FormationView> = {},
): FormationView {
  return {
    nowMs: 1_000,
    services: [SERVICE],
    instances: new Map(instances.map((instance) => [instance.id, instance])),
    findTerm: () => TERM,
    instancesWithPendingOrder: new Set(),
    silentInstances: new Set(),
    refusingInstances: new Set(),
    goneInstances: new Set(),
    isHeadGone: () => false,
    isGroupStalled: () => false,
    isStallConfirmed: () => false,
    unlistedOpenHeads: [],
    findUnlistedMembers: () => [],
    isListSettled: true,
    demand: new Map(),
    plannerCount: 1,
    hasTraffic: true,
    ...options,
  };
}
