/** Base class of the errors that the system throws; `code` is stable and is counted. */
export abstract class MonsoonreachError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A document, setting or message does not match the required schema. */
export class ValidationError extends MonsoonreachError {
  readonly code = 'validation';
}

/** A wait timed out. */
export class DeadlineExceededError extends MonsoonreachError {
  readonly code = 'deadline-exceeded';
}

/** A wait was cancelled. */
export class CancelledError extends MonsoonreachError {
  readonly code = 'cancelled';
}

/** The platform's log did not answer; an append may or may not have taken effect. */
export class LogUnavailableError extends MonsoonreachError {
  readonly code = 'log-unavailable';
}

/**
 * Records between the reader's position and the start of the log are no longer retained, and no checkpoint
 * covers them.
 */
export class LogGapError extends MonsoonreachError {
  readonly code = 'log-gap';
}

/** A record has a newer format than this program supports. */
export class UnsupportedFormatError extends MonsoonreachError {
  readonly code = 'unsupported-format';
}

/** An append was not stored before its deadline, and certainly will not be stored later. */
export class AppendNotSentError extends MonsoonreachError {
  readonly code = 'append-not-sent';
}

/** An append was not confirmed before its deadline and may still take effect. */
export class AppendUnknownError extends MonsoonreachError {
  readonly code = 'append-unknown';
}
