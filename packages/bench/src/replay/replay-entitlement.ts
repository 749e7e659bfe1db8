/** Creates the entitlements of the requests of a trace. */
import { customerLimitsSchema } from '@medlarlever/core';
import type { Entitlement } from '@medlarlever/core';

import type { TraceRequest } from './trace.js';

/**
 * Creates an entitlement with the priority and latency limits of the request.
 * The customer limits are so high that no replay reaches them.
 */
export const createEntitlement = (request: TraceRequest): Entitlement => ({
  customer: request.customer,
  template: 'replay',
  revision: 1,
  ranking: {
    class: request.class,
    priority: request.priority,
    deadline_ms: request.deadlineMs,
    first_token_ms:
      request.kind === 'generation' ? request.firstTokenMs : request.deadlineMs,
  },
  limits: customerLimitsSchema.parse({
    in_flight: 1_000,
    queued: 1_000,
    tokens_per_minute: 1_000_000_000,
  }),
  models: [],
  operations: [],
});
