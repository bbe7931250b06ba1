import type { Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { CompletionAnswer } from '@monsoonreach/callers';
import {
  type Configuration,
  Counters,
  CrashSuspects,
  createRandom,
  type Outcome,
  RetryBudgets,
  systemClock,
  Undispatched,
  WHOLE_LEASE_MS,
} from '@monsoonreach/core';
import {
  Completions,
  DrainWindow,
  type EntryContext,
  GroupDirectory,
  RequestTraces,
} from '@monsoonreach/entry';
import { TargetClients } from '@monsoonreach/targets';
import { listen, readText } from '../standins/http.js';
import { ControlStream, createConfiguration } from '../steward/stewardFixtures.js';

export const OTHER_MEMBER = '127.0.0.1:1';

/** A head that holds each answer until the test ends it, or answers at once. */
export class Head {
  readonly answers = new Map<string, ServerResponse>();
  private _answersAtOnce = false;
  private _server: Server | undefined;

  async start(): Promise<string> {
    this._server = await listen(async (request, response) => {
      const text = await readText(request);
      response.setHeader('x-request-id', String(request.headers['x-request-id']));
      if (this._answersAtOnce) response.end('data: {}\n\ndata: [DONE]\n\n');
      else this.answers.set(text, response);
    }, 0);
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}`;
  }

  async awaitAnswer(body: string): Promise<ServerResponse> {
    for (;;) {
      const response = this.answers.get(body);
      if (response) return response;
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  }

  /** Answers every later request as soon as it arrives. */
  answerAtOnce(): void {
    this._answersAtOnce = true;
  }

  /** Resets the connections of all requests that it holds. */
  resetConnections(): void {
    for (const { socket } of this.answers.values()) socket?.resetAndDestroy();
    this.answers.clear();
  }

  /** Refuses new connections; those in use stay open. */
  refuseConnections(): void {
    this._server?.close();
  }

  stop(): void {
    this._server?.closeAllConnections();
    this._server?.close();
  }
}

function createEngineConfiguration(resumes: boolean): Configuration {
  const configuration = createConfiguration({ checksFencing: true });
  const engines = Object.entries(configuration.engine).map(
    ([name, engine]) => [name, { ...engine, resumes }] as const,
  );
  return { ...configuration, engine: Object.fromEntries(engines) };
}

export interface BenchOptions {
  readonly resumes?: boolean;
  readonly groups?: number;
}

/** Completions at groups of two, whose heads are real. */
export class Bench {
  readonly head = new Head();
  readonly heads: readonly Head[];
  readonly stream = new ControlStream();
  readonly suspects: CrashSuspects;
  readonly directory: GroupDirectory;
  private readonly _targets = new TargetClients();
  private readonly _completions: Completions;
  private readonly _epochs = new Map<string, number>();

  constructor({ resumes = false, groups = 1 }: BenchOptions = {}) {
    const clock = systemClock;
    const configuration = createEngineConfiguration(resumes);
    this.heads = [this.head, ...Array.from({ length: groups - 1 }, () => new Head())];
    this.suspects = new CrashSuspects(clock);
    this.directory = new GroupDirectory({
      clock,
      groups: () => this.stream.groups,
      configuration: () => configuration,
      isLeaving: () => false,
      regionOf: () => 'r',
    });
    this.directory.onLost((group) => this.suspects.recordGroupLoss(group));
    this.directory.onWhole((group, seenAtMs) => {
      this.suspects.recordWholeGroup(group, seenAtMs);
    });
    const fleet = { membership: { members: () => [] } } as unknown as EntryContext['fleet'];
    const context: EntryContext = {
      clock,
      counters: new Counters(),
      random: createRandom(1),
      traces: new RequestTraces(clock),
      targets: this._targets,
      directory: this.directory,
      suspects: this.suspects,
      retryBudgets: new RetryBudgets({ share: () => 0 }),
      fleet,
      drainWindow: new DrainWindow(clock),
      configuration: () => configuration,
      recordRequestLoss: (fingerprint, group) => this.suspects.recordRequestLoss(fingerprint, group),
    };
    this._completions = new Completions(context, 'r');
  }

  /** Starts the heads of the groups `g`, `g2` and so on. */
  async start(): Promise<void> {
    for (const [index, head] of this.heads.entries()) {
      const group = index === 0 ? 'g' : `g${index + 1}`;
      const member = index === 0 ? OTHER_MEMBER : `127.0.0.1:${index + 1}`;
      this._epochs.set(group, this.stream.form(group, [await head.start(), member]));
    }
    this.reportWhole();
  }

  /** Applies a steward's report that all members have just been seen. */
  reportWhole(): void {
    const leases = [...this._epochs].map(([group, epoch]) => ({
      $typeName: 'monsoonreach.v1.GroupLease' as const,
      group,
      epoch: BigInt(epoch),
      remainingMs: WHOLE_LEASE_MS,
      inFlight: 0,
      loadAgeMs: 0,
      missing: [],
    }));
    this.directory.renewLeases(systemClock.monotonic(), leases);
  }

  complete(
    body: string,
    signal: AbortSignal = new AbortController().signal,
  ): Promise<Outcome<CompletionAnswer>> {
    return this._completions.complete(
      { model: 'm', isStreaming: true, body },
      { requestId: `id-${body}`, workspace: 'w', signal, undispatched: new Undispatched() },
    );
  }

  async stop(): Promise<void> {
    await this._targets.close();
    for (const head of this.heads) head.stop();
  }
}

/** The parts of a stream after its first event, which the head has sent. */
export async function readParts(outcome: Outcome<CompletionAnswer>): Promise<readonly string[]> {
  if (outcome.kind !== 'answered' || outcome.answer.kind !== 'stream') throw new Error('There is no stream.');
  const parts: string[] = [];
  for await (const part of outcome.answer.events) parts.push(part.kind === 'event' ? part.data : part.kind);
  return parts;
}
