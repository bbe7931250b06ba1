/** Base of every failure that the system raises; `code` is stable and is counted. */
export abstract class MonsoonreachError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}

/** A document, setting or message does not have the shape that is required. */
export class ValidationError extends MonsoonreachError {
  readonly code = 'validation';
}

/** A wait ended because its time was over. */
export class DeadlineExceededError extends MonsoonreachError {
  readonly code = 'deadline-exceeded';
}

/** A wait ended because somebody cancelled it. */
export class CancelledError extends MonsoonreachError {
  readonly code = 'cancelled';
}

/** The platform's log did not answer; an append may or may not have taken effect. */
export class LogUnavailableError extends MonsoonreachError {
  readonly code = 'log-unavailable';
}

/** Records between the reader's position and the start of the log are gone and no checkpoint covers them. */
export class LogGapError extends MonsoonreachError {
  readonly code = 'log-gap';
}

/** A record carries a format newer than this program knows. */
export class UnsupportedFormatError extends MonsoonreachError {
  readonly code = 'unsupported-format';
}

/** An append was not stored before its deadline, and is known never to be stored. */
export class AppendNotSentError extends MonsoonreachError {
  readonly code = 'append-not-sent';
}

/** An append was not confirmed before its deadline and may yet take effect. */
export class AppendUnknownError extends MonsoonreachError {
  readonly code = 'append-unknown';
}
