/** One request on its way: its deadline, its story and its end. */
import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { Caller, RelayRequest } from '../requests/relay-request.js';
import type { Route } from '../routes/route-configuration.js';
import type { RelayMetrics } from '../metrics/relay-metrics.js';

export interface RequestContextOptions {
  readonly request: RelayRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly service: string;
  /** Version of the configuration that admitted the request. */
  readonly revision: number;
  readonly log: Log;
  readonly metrics: RelayMetrics;
}

export class RequestContext {
  readonly request: RelayRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly service: string;
  /** Monotonic milliseconds by which the caller has its answer. */
  readonly deadlineMs: number;
  readonly #options: RequestContextOptions;
  readonly #abortController = new AbortController();
  readonly #deadlineTimer: NodeJS.Timeout;
  readonly #onCallerDisconnect: () => void;
  #firstBytesMs: number | undefined;
  #sendCount = 0;
  #logFields: Readonly<Record<string, unknown>> = {};
  #hasEnded = false;
  /** True once a target may have begun to run the request. */
  mayHaveExecuted = false;

  constructor(options: RequestContextOptions) {
    const { request, caller, route } = options;
    this.#options = options;
    this.request = request;
    this.caller = caller;
    this.route = route;
    this.service = options.service;
    const patienceMs = Math.min(
      request.callerTimeoutMs ?? Infinity,
      route.timeoutMs,
    );
    this.deadlineMs = request.arrivedAtMs + patienceMs;
    this.#deadlineTimer = setTimeout(() => {
      this.#abortController.abort();
    }, this.remainingMs);
    this.#onCallerDisconnect = () => {
      this.#abortController.abort();
    };
    caller.disconnectSignal.addEventListener(
      'abort',
      this.#onCallerDisconnect,
      { once: true },
    );
    // A timer of no time would fire only after the first send.
    if (caller.disconnectSignal.aborted || this.remainingMs === 0)
      this.#abortController.abort();
  }

  /** Aborts at the deadline and when the caller leaves. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  get remainingMs(): number {
    return Math.max(0, this.deadlineMs - performance.now());
  }

  get elapsedMs(): number {
    return performance.now() - this.request.arrivedAtMs;
  }

  get sendCount(): number {
    return this.#sendCount;
  }

  /** Notes that the request goes to a target. */
  recordSend(): void {
    this.#sendCount += 1;
  }

  /** Notes the first bytes of the answer. */
  recordFirstBytes(): void {
    this.#firstBytesMs ??= this.elapsedMs;
  }

  /** Keeps facts of the last placement for the line at the end. */
  addLogFields(facts: Readonly<Record<string, unknown>>): void {
    this.#logFields = { ...this.#logFields, ...facts };
  }

  /** Tells a decision about this request that deviates from the plain course. */
  logEvent(
    name: 'attempt_failed' | 'request_resent',
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#options.log.writeEvent(name, { request: this.request.id, ...fields });
  }

  /** The answer went out whole. */
  completeRequest(status: number, target: string): void {
    this.#endRequest('answered', { status, target });
  }

  /** Ends with a failure, or breaks the answer off if it has begun. */
  failRequest(failure: Failure): void {
    if (this.#hasEnded) return;
    const left = this.caller.disconnectSignal.aborted;
    const final = left ? createCallerGoneFailure() : failure;
    this.#endRequest(final.code, {
      reason: final.message,
      executed: final.executed,
    });
    if (left) return;
    if (this.caller.hasStarted) this.caller.abortResponse();
    else this.caller.sendFailure(final);
  }

  /** The failure that an ended signal stands for. */
  createDeadlineFailure(): Failure {
    return new Failure('deadline_exceeded', 'the deadline passed', {
      executed: this.mayHaveExecuted ? 'unknown' : 'no',
    });
  }

  #endRequest(
    outcome: string,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    if (this.#hasEnded) return;
    this.#hasEnded = true;
    clearTimeout(this.#deadlineTimer);
    this.caller.disconnectSignal.removeEventListener(
      'abort',
      this.#onCallerDisconnect,
    );
    const { log, metrics, revision } = this.#options;
    const totalMs = Math.round(this.elapsedMs);
    const firstMs = Math.round(this.#firstBytesMs ?? totalMs);
    metrics.recordRequestEnd(this.route, outcome, firstMs, totalMs);
    log.writeEvent(
      outcome === 'answered' ? 'request_answered' : 'request_ended',
      {
        request: this.request.id,
        route: this.route.name,
        service: this.service,
        outcome,
        first_ms: firstMs,
        total_ms: totalMs,
        sends: this.#sendCount,
        revision,
        ...this.#logFields,
        ...fields,
      },
    );
  }
}

const createCallerGoneFailure = (): Failure =>
  new Failure('caller_gone', 'the caller closed the connection', {
    executed: 'unknown',
  });
