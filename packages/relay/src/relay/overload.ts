/**
 * Refusal of requests while the instance is behind. It is decided before a request's body
 * is read and decoded, so that a burst that the instance can't serve costs little, and
 * heartbeats, readiness and changes of the configuration keep their turn.
 */
import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { RelayMetrics } from '../metrics/relay-metrics.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';

/**
 * Event loop delay above which requests are rejected: their answers would be late,
 * while other instances may be idle.
 */
const maxEventLoopDelayMs = 500;

/** Returns the failure of a request that arrives now; undefined if it is served. */
export const findOverload = (eventLoopDelayMs: number): Failure | undefined => {
  if (eventLoopDelayMs <= maxEventLoopDelayMs) return undefined;
  const retryAfterMs = eventLoopDelayMs;
  const reason = `the event loop of the instance is ${Math.round(eventLoopDelayMs)} ms behind; retry later`;
  return new Failure('overloaded', reason, { retryAfterMs });
};

/** What is known of a request before it is decoded. */
export interface UndecodedRequest {
  readonly id: string;
  readonly host: string;
  readonly url: string;
}

/** Dependencies of {@link OverloadGuard}. */
export interface OverloadGuardOptions {
  readonly routes: RouteTableHolder;
  readonly metrics: RelayMetrics;
  readonly log: Log;
  /** Current event loop delay of this process. */
  readonly getEventLoopDelayMs: () => number;
}

/** Refuses requests that have only begun to arrive. */
export class OverloadGuard {
  constructor(private readonly options: OverloadGuardOptions) {}

  /**
   * Returns the failure to answer with, which is then recorded; undefined if the request
   * is to be served. Requests without a route get the usual answer.
   */
  refuse(getRequest: () => UndecodedRequest): Failure | undefined {
    const { routes, metrics, log, getEventLoopDelayMs } = this.options;
    const delayMs = getEventLoopDelayMs();
    const failure = findOverload(delayMs);
    if (failure === undefined) return undefined;
    const { id, host, url } = getRequest();
    const route = routes.currentTable?.findRoute(host, url);
    if (route === undefined) return undefined;
    const totalMs = Math.round(delayMs);
    metrics.recordRequestEnd(route, failure.code, totalMs, totalMs);
    log.writeEvent('request_ended', {
      request: id,
      route: route.name,
      outcome: failure.code,
      first_ms: totalMs,
      total_ms: totalMs,
      sends: 0,
      revision: routes.version,
      reason: failure.message,
      executed: failure.executed,
    });
    return failure;
  }
}
