/** Hands requests to other instances while this one reaches no target. */
import type { Failure } from '@medlarlever/core';

import type { RelayRequest } from '../requests/relay-request.js';
import type { EarlierArrivals } from '../retries/request-retries.js';
import type { CallerSink } from '../relay/response-sinks.js';
import type { SendOutcome } from '../relay/target-client.js';

/** Options of a forwarded request. */
export interface ForwardOptions {
  readonly remainingMs: number;
  /** Id of the event that the caller got last; undefined if it got none. */
  readonly lastEventId: string | undefined;
  readonly earlierArrivals: EarlierArrivals;
  /** Names of the instances that have failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Aborts the request and closes its connection. */
  readonly signal: AbortSignal;
}

/** `failed`: the other instance has failed the request itself. */
export type ForwardOutcome =
  SendOutcome | { readonly kind: 'failed'; readonly failure: Failure };

/** The instance that got a request, and what came of it. */
export interface Forwarding {
  readonly instance: string;
  readonly outcome: ForwardOutcome;
}

/** Forwards requests; implementations define how the instances are reached. */
export abstract class RequestForwarder {
  /** Resolves to undefined, at once, if no other instance can take the request. */
  abstract forward(
    request: RelayRequest,
    options: ForwardOptions,
    sink: CallerSink,
  ): Promise<Forwarding | undefined>;
}
