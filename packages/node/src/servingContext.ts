import type { ServerResponse } from 'node:http';
import type {
  Clock,
  Counters,
  DemandMeter,
  LoadBook,
  Random,
  RetryAllowance,
  ServingConfiguration,
  TargetCandidate,
  TargetHealth,
} from '@monsoonreach/core';
import type { DecisionLog } from './decisionLog.js';
import type { Placement } from './placement.js';
import type { RequestRun } from './requestRun.js';
import type { TargetConnections } from './targetConnections.js';
import type { TargetDirectory } from './targetDirectory.js';

/** What all requests of a node share. */
export interface ServingContext {
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly log: DecisionLog;
  readonly failureDomain: string;
  readonly health: TargetHealth;
  readonly loads: LoadBook;
  readonly demand: DemandMeter;
  readonly retries: RetryAllowance;
  readonly connections: TargetConnections;
  readonly directory: TargetDirectory;
  /** Gives requests to engine groups their target. */
  readonly placement: Placement;
  /** Requests in progress. */
  readonly runs: Set<RequestRun>;
  readonly configuration: () => ServingConfiguration | undefined;
  /** Headers that every answer carries for its connection: names and values in turn. */
  readonly connectionHeaders: () => readonly string[];
  readonly onSilentTarget: (candidate: TargetCandidate) => void;
  /** Answers with a small JSON document of this node's own. */
  readonly answerPlainly: (
    response: ServerResponse,
    status: number,
    body: Readonly<Record<string, string>>,
    headers?: Readonly<Record<string, string>>,
  ) => void;
}
