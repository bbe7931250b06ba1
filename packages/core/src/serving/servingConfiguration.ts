/** What may be repeated of a request. A stream that cannot be resumed counts as non-idempotent. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that gets a share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of a host and a path prefix go, and within which bounds. */
export interface ServingRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** The longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** The time to the answer, or to a stream's first event, that counts as on time, in milliseconds. */
  readonly latencyObjectiveMs: number;
  /** The longest pause between two events of a stream that counts as on time, in milliseconds. */
  readonly pauseObjectiveMs: number | undefined;
  /** Targets that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 comes first. */
  readonly priority: number;
  readonly needsKey: boolean;
  readonly isResumable: boolean;
}

/** A model that groups of a service can serve. */
export interface ModelProfile {
  readonly name: string;
  /** Instances in a group. */
  readonly groupSize: number;
  /** Share of the service's work at the start, 0 to 1. */
  readonly demandShare: number;
  /** Factor on all the times of a group. */
  readonly pace: number;
  /** Time to load the weights from the weight store, in milliseconds. */
  readonly loadMs: number;
  /** Time to take up weights that are staged on the host, in milliseconds. */
  readonly warmupMs: number;
}

/** How the engines of a service spend their time; all figures are for one group. */
export interface EngineProfile {
  /** Requests in a batch. */
  readonly slots: number;
  readonly memoryTokens: number;
  /** Steps that a pass takes while requests are writing. */
  readonly stepsPerPass: number;
  readonly stepMs: number;
  readonly stepMsPerRequest: number;
  /** Further time of a step for each 1,000 tokens of context of each request. */
  readonly stepMsPerThousandTokens: number;
  readonly prefillTokensPerS: number;
  readonly prefillMsPerMillionPairs: number;
  /** Prompt tokens read in one step. */
  readonly prefillChunk: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly models: readonly ModelProfile[];
  /** Loads from the weight store that may start each second. */
  readonly loadsPerS: number;
  /** Loads that run at once at full speed. */
  readonly concurrentLoads: number;
  /** Factor on the times of a group that spans fabric domains. */
  readonly crossDomainFactor: number;
}

/** A set of targets that serve the same requests. */
export interface ServingService {
  readonly name: string;
  /** Connections that one target accepts from all callers. */
  readonly maxConnections: number;
  /** Only for services whose targets form groups. */
  readonly engine: EngineProfile | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A workspace and the keys that its callers show. */
export interface ServingWorkspace {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's priority. */
  readonly priority: number | undefined;
}

/** One whole version of what is served. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly ServingRoute[];
  readonly services: ReadonlyMap<string, ServingService>;
  readonly limits: CallerLimits;
  /** Undefined where callers need no key. */
  readonly workspaces: readonly ServingWorkspace[] | undefined;
}
