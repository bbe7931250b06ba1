import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import {
  Counters,
  createRandom,
  DemandMeter,
  Evacuations,
  LoadTracker,
  RetryWindowBudget,
  type ServingConfiguration,
  type ServingRoute,
  StreamPace,
  systemClock,
  type TargetCandidate,
  type TargetChoice,
  TargetAvailability,
  TargetHealth,
  TargetLimits,
} from '@monsoonreach/core';
import {
  AnswerBuffers,
  CrashMonitor,
  DecisionLog,
  type Placement,
  RequestRun,
  sendProblem,
  type ServingContext,
  StopAdmission,
  type TargetDirectory,
  TargetConnections,
} from '@monsoonreach/node';
import { decodeCallerRequest } from '@monsoonreach/platform';
import { createInstance, ENGINE_PROFILE, LARGE_MODEL, SERVICE } from '../serving/fixtures.js';
import { RawCaller, type RawHandler, RawTarget } from '../support/rawHttp.js';

/** A route whose streams may be resumed, with two attempts. */
export const ROUTE: ServingRoute = {
  name: 'stream',
  host: '127.0.0.1',
  pathPrefix: '/',
  kind: 'stream',
  isResumable: true,
  isKeyRequired: false,
  services: [{ service: SERVICE.name, weight: 1 }],
  maxAttempts: 2,
  timeoutMs: 3_000,
  latencyObjectiveMs: 250,
  pauseObjectiveMs: 250,
  priority: 1,
};

/** Bound on all incomplete answers together, in bytes. */
const MAX_BUFFERED_BYTES = 100_000;

const CONFIGURATION = { services: new Map() } as unknown as ServingConfiguration;

/** One node's requests at two groups, without a store; `place` assigns the groups. */
export class GroupFixture {
  readonly targets = [new RawTarget(), new RawTarget()] as const;
  /** Keys of the groups that were reported as silent. */
  readonly reported: string[] = [];
  place: Placement['place'] = () => undefined;
  /** Groups that the node knows. */
  candidates: readonly (0 | 1)[] = [0, 1];
  /** What the node's list shows of a group by now; nothing by default. */
  findCandidate: (key: string) => TargetCandidate | undefined = () => undefined;
  route = ROUTE;
  /** The second member of each group is in a failure domain of its own: `zone-2` and `zone-3`. */
  readonly evacuations = new Evacuations(systemClock);
  retries = new RetryWindowBudget({ share: 0.2, slack: 130, windowMs: 10_000 }, () => 1);
  /** Replaces the search for a crash of a lost group. */
  examineLoss: (() => Promise<void>) | undefined;
  /** Replaced by tests that let the node stop. */
  stop = this._createStop();
  private readonly _runs = new Set<RequestRun>();
  private readonly _server = createServer((request, response) => {
    new RequestRun({
      context: this._context,
      request,
      response,
      caller: decodeCallerRequest(request.headers),
      route: this.route,
      workspace: undefined,
      urgency: 5,
      body: undefined,
      startedAtMs: systemClock.monotonic(),
    }).start();
  });
  private readonly _context = this._createContext();

  async start(): Promise<void> {
    for (const target of this.targets) await target.start();
    await new Promise<void>((resolve) => this._server.listen(0, '127.0.0.1', resolve));
    setInterval(() => {
      for (const run of this._runs) run.checkProgress(systemClock.monotonic());
    }, 50).unref();
  }

  choose(index: 0 | 1): TargetChoice {
    return { kind: 'chosen', candidate: this._createCandidate(this.targets[index], index), predictedMs: 50 };
  }

  caller(): RawCaller {
    return new RawCaller(`127.0.0.1:${(this._server.address() as AddressInfo).port}`);
  }

  reset(handle: RawHandler): void {
    for (const target of this.targets) target.reset(handle);
  }

  private _createCandidate({ address }: RawTarget, index: number): TargetCandidate {
    return {
      key: `group-${index}`,
      instance: { ...createInstance(`head-${index}`), address },
      failureDomains: ['zone-1', `zone-${index + 2}`],
      slots: 8,
      engine: { profile: ENGINE_PROFILE, model: LARGE_MODEL },
      load: { requests: 0, contextTokens: 0, pendingPromptTokens: 0 },
    };
  }

  /** Lets the node stop: its requests are abandoned in `remainingMs`, and the balancer no longer connects. */
  beginStop(remainingMs: number): void {
    this.stop = this._createStop();
    this.stop.begin(systemClock.monotonic() + remainingMs);
    this.stop.leaveRotation();
  }

  endStop(): void {
    this.stop = this._createStop();
  }

  private _createStop(): StopAdmission {
    return new StopAdmission({
      clock: systemClock,
      configuration: () => CONFIGURATION,
      hasAlternative: () => false,
    });
  }

  private _createContext(): ServingContext {
    const fixture = () => this;
    const counters = new Counters();
    const log = new DecisionLog('node', 'hidden', systemClock, counters);
    const crashes = new CrashMonitor({
      address: '127.0.0.1:1',
      clock: systemClock,
      counters,
      log,
      findListed: () => undefined,
      send: () => undefined,
      broadcast: () => undefined,
    });
    const examineLoss = crashes.examineLoss.bind(crashes);
    crashes.examineLoss = (...loss) => this.examineLoss?.() ?? examineLoss(...loss);
    return {
      clock: systemClock,
      random: createRandom(1),
      counters,
      log,
      buffers: new AnswerBuffers(MAX_BUFFERED_BYTES),
      crashes,
      failureDomain: 'zone-1',
      regions: new Map(),
      health: new TargetHealth(),
      pace: new StreamPace(),
      loads: new LoadTracker(),
      limits: new TargetLimits(systemClock, () => 1),
      availability: new TargetAvailability(systemClock),
      evacuations: this.evacuations,
      demand: new DemandMeter(),
      get retries() {
        return fixture().retries;
      },
      connections: new TargetConnections(systemClock),
      directory: {
        findCandidates: () =>
          this.candidates.map((index) => this._createCandidate(this.targets[index], index)),
        findCandidate: (_configuration: ServingConfiguration, key: string) => this.findCandidate(key),
      } as unknown as TargetDirectory,
      placement: {
        recordMisdirection: () => undefined,
        place: (...options: Parameters<Placement['place']>) => {
          this.place(...options);
        },
      } as unknown as Placement,
      get stop() {
        return fixture().stop;
      },
      runs: this._runs,
      configuration: () => CONFIGURATION,
      connectionHeaders: () => [],
      onSilentTarget: ({ key }) => {
        this.reported.push(key);
      },
      sendProblem: (response, status, body, headers) => {
        sendProblem([], response, status, body, headers);
      },
    };
  }
}

/** A request of id `a`, on a connection of its own. */
export const REQUEST =
  'GET /a HTTP/1.1\r\nHost: 127.0.0.1\r\nAttempt-Id: a\r\nModel: m\r\nToken-Count: 100,40\r\nConnection: close\r\n\r\n';
export const withDeadline = (ms: number) => REQUEST.replace('\r\n\r\n', `\r\nDeadline-Ms: ${ms}\r\n\r\n`);
/** Rest of the head of a stream's answer to the request of id `a`. */
export const CHUNKED = 'Server-Seal: s\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n';
export const toChunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
export const toEvent = (id: number) => `id: ${id}\ndata: ${id}\n\n`;
