/** A member's state as it announces it. */
export type MemberState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** Whether a head in this state accepts requests or still processes some. */
export function isServingState(state: MemberState | undefined): boolean {
  return state === 'open' || state === 'closing';
}

/** An instance's membership in a replica group. */
export interface GroupMembership {
  readonly group: string;
  /** Increases with each formation; a member refuses an epoch lower than the highest it has seen. */
  readonly epoch: number;
  /** 0 is the head, which accepts the group's requests. */
  readonly rank: number;
  readonly state: MemberState;
}

/** A target as it announces itself. */
export interface TargetInstance {
  readonly id: string;
  readonly service: string;
  /** `ip:port`. */
  readonly address: string;
  readonly failureDomain: string;
  readonly state: 'ready' | 'leaving';
  /** Number of requests that it runs concurrently. */
  readonly slots: number;
  /** Wall-clock start of the process, in milliseconds; identifies the incarnation. */
  readonly startedAtMs: number;
  readonly fabricDomain: string;
  /** Names of models whose weights are on the host. */
  readonly stagedModels: readonly string[];
  /** Names of models that it serves or is joining a group for. */
  readonly models: readonly string[];
  readonly membership: GroupMembership | undefined;
}

/** Identifies one start of an instance, which knows nothing of what it was before. */
export function getIncarnationKey({ id, startedAtMs }: Pick<TargetInstance, 'id' | 'startedAtMs'>): string {
  return `${id}#${startedAtMs}`;
}

/** Where a target runs: an instance, or the head of a group and what is known of its members. */
export interface TargetLocation {
  readonly instance: Pick<TargetInstance, 'failureDomain'>;
  /** Failure domains of the head and the known members; undefined for ungrouped instances. */
  readonly failureDomains?: readonly string[] | undefined;
}

/** Failure domains in which a target works on its requests. */
export function listFailureDomains({ instance, failureDomains }: TargetLocation): readonly string[] {
  return failureDomains ?? [instance.failureDomain];
}
