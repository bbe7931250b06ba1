/** Determines which requests may be retried. A stream that cannot be resumed counts as non-idempotent. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service and its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Routing rules and limits for requests to a host and path prefix. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Longest time that a caller waits, in milliseconds. */
  readonly timeoutMs: number;
  /** Objective for the time to the answer, or to a stream's first event, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** Objective for the longest pause between two events of a stream, in milliseconds. */
  readonly pauseObjectiveMs: number | undefined;
  /** Maximum number of targets that one request is sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isKeyRequired: boolean;
  readonly isResumable: boolean;
  /** Regions in which its requests may be run; any if undefined. */
  readonly homes?: readonly string[] | undefined;
}

/** A model that groups of a service can serve. */
export interface ModelProfile {
  readonly name: string;
  /** Number of instances in a group. */
  readonly groupSize: number;
  /** Share of the service's work assumed before there is traffic, 0 to 1. */
  readonly demandShare: number;
  /** Factor on all durations of a group; above 1 is slower. */
  readonly timeFactor: number;
  /** Time to load the weights from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time to load weights that are staged on the host into the engine, in milliseconds. */
  readonly warmupMs: number;
}

/** Performance model of a service's engines; all values are for one group. */
export interface EngineProfile {
  /** Maximum number of requests in a batch. */
  readonly slots: number;
  /** Capacity of the KV cache in tokens. */
  readonly kvCapacityTokens: number;
  /** Decode steps per scheduling pass. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Additional time of a step for each 1,000 context tokens of the batch. */
  readonly stepMsPerThousandTokens: number;
  readonly prefillTokensPerS: number;
  readonly prefillMsPerMillionPairs: number;
  /** Prompt tokens processed in one step. */
  readonly prefillChunk: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly models: readonly ModelProfile[];
  /** Loads from the weight store that may start per second. */
  readonly loadsPerS: number;
  /** Concurrent loads that the weight store serves at full speed. */
  readonly maxConcurrentLoads: number;
  /** Factor on the durations of a group that spans fabric domains. */
  readonly crossDomainFactor: number;
}

/** A set of targets that serve the same requests. */
export interface ServingService {
  readonly name: string;
  /** Connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Path at which a target answers whether it serves; undefined when it has none. */
  readonly healthPath: string | undefined;
  /** Only for services whose targets form groups. */
  readonly engine: EngineProfile | undefined;
  /** Time for which a target is cold after its start, in milliseconds; 0 if targets are never cold. */
  readonly coldStartMs: number;
  /** Requests per second that a cold target tolerates from all nodes together; 0 if that is not bounded. */
  readonly coldRequestsPerS: number;
}

/** Limits on a caller's requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace and the API keys of its callers. */
export interface ServingWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Overrides the route's priority. */
  readonly priority: number | undefined;
  /** Regions in which its requests may be run, besides the route's homes; any if undefined. */
  readonly homes?: readonly string[] | undefined;
}

/** One complete version of the serving configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly services: ReadonlyMap<string, ServingService>;
  readonly limits: CallerLimits;
  /** Undefined where callers need no key. */
  readonly workspaces: readonly ServingWorkspace[] | undefined;
}
