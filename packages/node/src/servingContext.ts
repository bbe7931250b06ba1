import type { ServerResponse } from 'node:http';
import type {
  Clock,
  Counters,
  DemandMeter,
  Evacuations,
  LoadTracker,
  Random,
  Regions,
  RetryWindowBudget,
  ServingConfiguration,
  StreamPace,
  TargetCandidate,
  TargetAvailability,
  TargetHealth,
  TargetLimits,
} from '@monsoonreach/core';
import type { AnswerBuffers } from './answerBuffers.js';
import type { CrashMonitor } from './crashMonitor.js';
import type { DecisionLog } from './decisionLog.js';
import type { Placement } from './placement.js';
import type { RequestRun } from './requestRun.js';
import type { StopAdmission } from './stopAdmission.js';
import type { TargetConnections } from './targetConnections.js';
import type { TargetDirectory } from './targetDirectory.js';

/** Dependencies that all requests of a node share. */
export interface ServingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly failureDomain: string;
  readonly regions: Regions;
  readonly health: TargetHealth;
  readonly pace: StreamPace;
  readonly loads: LoadTracker;
  /** Targets that told this node to send them nothing. */
  readonly availability: TargetAvailability;
  /** Limits that targets named. */
  readonly limits: TargetLimits;
  /** Failure domains to which no requests are sent, as the operator has ordered. */
  readonly evacuations: Evacuations;
  readonly demand: DemandMeter;
  readonly retries: RetryWindowBudget;
  readonly connections: TargetConnections;
  /** Bounds what is kept of answers that are not complete. */
  readonly buffers: AnswerBuffers;
  /** Recognizes requests that crash their targets. */
  readonly crashes: CrashMonitor;
  readonly directory: TargetDirectory;
  /** Assigns requests for engine groups to targets. */
  readonly placement: Placement;
  /** Decides which requests are still given to targets while the node is stopping. */
  readonly stop: StopAdmission;
  /** Requests in progress. */
  readonly runs: Set<RequestRun>;
  readonly configuration: () => ServingConfiguration | undefined;
  /** Headers about the connection that an answer carries: names and values, alternating. */
  readonly connectionHeaders: (response: ServerResponse) => readonly string[];
  /** Called when a target was found silent, to notify peers. */
  readonly onSilentTarget: (candidate: TargetCandidate) => void;
  /** Answers with a problem document of this node. */
  readonly sendProblem: (
    response: ServerResponse,
    status: number,
    body: Readonly<Record<string, string>>,
    headers?: Readonly<Record<string, string>>,
  ) => void;
}
