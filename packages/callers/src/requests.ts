import type { Outcome, Undispatched } from '@monsoonreach/core';

/** What surrounds every request of a caller. */
export interface CallContext {
  readonly requestId: string;
  readonly workspace: string;
  /** Aborts when the caller is gone. */
  readonly signal: AbortSignal;
  /** The right to refuse the request as not run, until it is dispatched. */
  readonly undispatched: Undispatched;
}

/** A chat completion as asked for; `body` is the caller's JSON as sent. */
export interface CompletionRequest {
  readonly model: string;
  readonly isStreaming: boolean;
  readonly body: string;
}

/** A completion's answer: a whole body, or the events of a stream without the terminal one. */
export type CompletionAnswer =
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | { readonly kind: 'stream'; readonly events: AsyncIterable<StreamPart> };

/** One part of a stream: an event's data, or the typed failure that ends it unfinished. */
export type StreamPart =
  | { readonly kind: 'event'; readonly data: string }
  | { readonly kind: 'failed'; readonly outcome: Extract<Outcome<never>, { readonly kind: 'failed' }> };

/** A call of a plain service; `path` is the rest below the service, query included. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Uint8Array;
}

/** A plain service's answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** True when it was kept from an earlier run of the same key. */
  readonly isReplayed: boolean;
}

/** What the entry does for callers. */
export interface CallerHandler {
  /** The workspace of a bearer token, or nothing. */
  authenticate(token: string): string | undefined;
  isReady(): boolean;
  maxBodyBytes(): number;
  listModels(workspace: string): readonly string[];
  complete(request: CompletionRequest, context: CallContext): Promise<Outcome<CompletionAnswer>>;
  callService(request: ServiceRequest, context: CallContext): Promise<Outcome<ServiceAnswer>>;
  /** Called once a request has ended, for counting. */
  onEnded(end: {
    readonly requestId: string;
    readonly outcome: Outcome<unknown>;
    readonly durationMs: number;
  }): void;
}
