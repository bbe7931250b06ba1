import type { CallContext, ServiceRequest } from '@monsoonreach/callers';
import type { ServiceConfiguration } from '@monsoonreach/core';

/** One call of a plain service, ready to be sent. */
export interface PreparedCall {
  readonly request: ServiceRequest;
  readonly call: CallContext;
  readonly service: ServiceConfiguration;
}
