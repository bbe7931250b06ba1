import type { CallContext, ServiceRequest } from '@monsoonreach/callers';
import type { ServiceConfiguration } from '@monsoonreach/core';

/** An authorized call of a plain service, with the service's configuration. */
export interface PreparedCall {
  readonly request: ServiceRequest;
  readonly call: CallContext;
  readonly service: ServiceConfiguration;
}
