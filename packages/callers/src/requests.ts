import type { Outcome, Undispatched } from '@monsoonreach/core';

/** Context of one request of a caller. */
export interface CallContext {
  readonly requestId: string;
  readonly workspace: string;
  /** Aborts when the caller's connection closes. */
  readonly signal: AbortSignal;
  /** Allows refusing the request as not run as long as it is not dispatched. */
  readonly undispatched: Undispatched;
}

/** A chat completion request; `body` is the caller's JSON, unmodified. */
export interface CompletionRequest {
  readonly model: string;
  readonly isStreaming: boolean;
  readonly body: string;
}

/** Response to a completion: a complete body, or the events of a stream excluding the terminal one. */
export type CompletionAnswer =
  | {
      readonly kind: 'whole';
      readonly status: number;
      readonly contentType: string;
      readonly body: Uint8Array;
    }
  | { readonly kind: 'stream'; readonly events: AsyncIterable<StreamPart> };

/** One part of a stream: the data of an event, or the failure that ends an incomplete stream. */
export type StreamPart =
  | { readonly kind: 'event'; readonly data: string }
  | { readonly kind: 'failed'; readonly outcome: Extract<Outcome<never>, { readonly kind: 'failed' }> };

/** A call of a plain service; `path` is the part after `/services/<service>`, including the query. */
export interface ServiceRequest {
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly idempotencyKey: string | undefined;
  readonly body: Uint8Array;
}

/** Response of a plain service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  /** True when it is the stored response of an earlier request with the same idempotency key. */
  readonly isReplayed: boolean;
}

/** Handles the requests that the caller server receives; implemented by the entry. */
export interface CallerHandler {
  /** Returns the workspace of a bearer token, or undefined if the token is unknown. */
  authenticate(token: string): string | undefined;
  isReady(): boolean;
  maxBodyBytes(): number;
  listModels(workspace: string): readonly string[];
  complete(request: CompletionRequest, context: CallContext): Promise<Outcome<CompletionAnswer>>;
  callService(request: ServiceRequest, context: CallContext): Promise<Outcome<ServiceAnswer>>;
  /** Called when a request has ended, for metrics. */
  onEnded(end: {
    readonly requestId: string;
    readonly outcome: Outcome<unknown>;
    readonly durationMs: number;
  }): void;
}
