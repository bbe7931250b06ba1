/** What a member says of its part in a group. */
export type MemberState = 'joining' | 'ready' | 'open' | 'closing' | 'broken';

/** An instance's part in a replica group. */
export interface GroupMembership {
  readonly group: string;
  /** Grows with each formation; a member refuses a lower one than it has seen. */
  readonly epoch: number;
  /** 0 is the head, which takes the group's requests. */
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
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Wall-clock start of the process, in milliseconds; another value is another incarnation of the same id. */
  readonly startedAtMs: number;
  readonly fabricDomain: string;
  /** Models whose weights are on the host. */
  readonly stagedModels: readonly string[];
  /** Models that it serves or joins for now. */
  readonly models: readonly string[];
  readonly membership: GroupMembership | undefined;
}
