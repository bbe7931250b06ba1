/** Silence of a started stream after which its target is suspect, as a multiple of the pause objective. */
const PAUSE_FACTOR = 1.2;
/** The same as a multiple of the usual pause between two events at the target, which may be slow. */
const USUAL_PAUSE_FACTOR = 2;
/** Minimum silence before an attempt is suspect, in milliseconds: a few passes of a full batch. */
const MIN_SILENCE_MS = 250;
/** Maximum wait for the first event, as a multiple of the predicted time. */
const FIRST_EVENT_FACTOR = 3;
/** Silence of one stream at a responsive target after which its connection is suspect, as a multiple of the bound. */
const SINGLE_STREAM_FACTOR = 3;

/** Nodes that must find a target silent before that concerns others than themselves. */
const MIN_SILENCE_REPORTERS = 2;

/** Why an attempt ended without an answer to forward. */
export type CallOutcomeReason =
  | 'silent'
  | 'unreachable'
  | 'unsent'
  | 'target-lost'
  | 'malformed'
  | 'truncated'
  | 'wrong-echo'
  | 'not-an-answer'
  | 'answer-too-large'
  | 'event-too-large'
  | 'failed-by-target'
  | 'refused-by-target'
  | 'unconfirmed-refusal'
  | 'misdirected';

/** Observations of a waiting attempt; times are in milliseconds. */
export interface SilenceEvidence {
  /** Time since the attempt's last event, its head or its start; since its last bytes if it is no stream. */
  readonly silentMs: number;
  /** Time since the last progress of any request at the target, or since this attempt's start. */
  readonly targetSilentMs: number;
  readonly hasBegun: boolean;
  /** Predicted time to the first bytes. */
  readonly predictedMs: number;
  readonly pauseObjectiveMs: number;
  /** Usual pause between two events of a stream at this target; 0 if unknown. */
  readonly usualPauseMs: number;
  /** A non-streaming call sends nothing until it is done, so its silence does not indicate a silent target. */
  readonly isPlainCall: boolean;
}

/**
 * Classifies a silent attempt: whether its target has stopped, or only its connection.
 *
 * A group that lost a member keeps accepting requests while all its streams stall for seconds.
 */
export function classifySilence(evidence: SilenceEvidence): 'wait' | 'target-silent' | 'connection-silent' {
  const boundMs = evidence.hasBegun
    ? Math.max(
        MIN_SILENCE_MS,
        evidence.pauseObjectiveMs * PAUSE_FACTOR,
        evidence.usualPauseMs * USUAL_PAUSE_FACTOR,
      )
    : Math.max(MIN_SILENCE_MS, evidence.predictedMs * FIRST_EVENT_FACTOR);
  if (evidence.silentMs < boundMs) return 'wait';
  if (evidence.isPlainCall) return 'connection-silent';
  if (evidence.targetSilentMs >= boundMs) return 'target-silent';
  return evidence.silentMs >= boundMs * SINGLE_STREAM_FACTOR ? 'connection-silent' : 'wait';
}

/** What the nodes of the fleet find about one target. */
export interface FleetFindings {
  /** Nodes that have found the target silent lately. */
  readonly reporters: ReadonlySet<string>;
  /** Nodes that have requests at the target. */
  readonly users: Iterable<string>;
  /** Number of nodes, this one included. */
  readonly nodeCount: number;
}

/** Whether a target is silent for most of the nodes that can tell, rather than for a few that have lost their paths to it. */
export function isSilentForMost({ reporters, users, nodeCount }: FleetFindings): boolean {
  if (reporters.size < Math.min(MIN_SILENCE_REPORTERS, nodeCount)) return false;
  const contradictions = [...users].filter((node) => !reporters.has(node));
  return reporters.size > contradictions.length;
}
