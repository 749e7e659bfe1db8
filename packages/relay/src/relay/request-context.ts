/** State of one request: its deadline, log fields and outcome. */
import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { StreamOrigin } from '../origins/stream-origin.js';
import type { Caller, RelayRequest } from '../requests/relay-request.js';
import type { Customer, Route } from '../routes/route-configuration.js';
import type { TargetRecord } from '../targets/target-record.js';
import type { RelayMetrics } from '../metrics/relay-metrics.js';

/** The request, its route and the log and metrics for its outcome. */
export interface RequestContextOptions {
  readonly request: RelayRequest;
  readonly caller: Caller;
  readonly route: Route;
  /** Name of the service that was picked for the request. */
  readonly service: string;
  /** Where the stream began that the caller takes up again. */
  readonly origin?: StreamOrigin;
  /** The customer whose key was checked; undefined if the request needs none. */
  readonly customer?: Customer;
  /** Version of the configuration under which the request was admitted. */
  readonly revision: number;
  readonly log: Log;
  readonly metrics: RelayMetrics;
}

/** Tracks one request until it is answered or has failed. */
export class RequestContext {
  readonly request: RelayRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly service: string;
  /** Deadline of the answer, in milliseconds of the monotonic clock. */
  readonly deadlineMs: number;
  readonly #options: RequestContextOptions;
  readonly #abortController = new AbortController();
  readonly #deadlineTimer: NodeJS.Timeout;
  readonly #onCallerDisconnect: () => void;
  #firstBytesMs: number | undefined;
  #sendCount = 0;
  #prefillCount = 0;
  #hasReachedTarget = false;
  #isCutShort = false;
  #logFields: Readonly<Record<string, unknown>> = {};
  #hasEnded = false;
  /** True once a target may have begun to run the request. */
  mayHaveExecuted = false;
  /** Where the stream began, once that is fixed; undefined for a new stream. */
  origin: StreamOrigin | undefined;

  constructor(options: RequestContextOptions) {
    const { request, caller, route } = options;
    this.#options = options;
    this.request = request;
    this.caller = caller;
    this.route = route;
    this.service = options.service;
    this.origin = options.origin;
    const timeoutMs = Math.min(
      request.callerTimeoutMs ?? Infinity,
      route.timeoutMs,
    );
    this.deadlineMs = request.arrivedAtMs + timeoutMs;
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
    // A timer with a delay of 0 would fire only after the first send.
    if (caller.disconnectSignal.aborted || this.remainingMs === 0)
      this.#abortController.abort();
  }

  /** Aborts at the deadline and when the caller disconnects. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** Milliseconds until the deadline; 0 once it has passed. */
  get remainingMs(): number {
    return Math.max(0, this.deadlineMs - performance.now());
  }

  /** Milliseconds since the request began to arrive. */
  get elapsedMs(): number {
    return performance.now() - this.request.arrivedAtMs;
  }

  /** Priority of the request: that of the customer, if it has one, or of the route. */
  get rank(): number {
    return this.#options.customer?.rank ?? this.route.rank;
  }

  /** True once the request has been answered or has failed. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** Number of sends to targets so far, without prefills. */
  get sendCount(): number {
    return this.#sendCount;
  }

  /** Counts a send of the request to a target. */
  recordSend(): void {
    if (this.#sendCount > 0) this.#recordRepeat('run');
    this.#sendCount += 1;
    this.#hasReachedTarget = true;
  }

  /** Notes that the prompt of the request is sent to a target. */
  recordPrefill(): void {
    if (this.#prefillCount > 0) this.#recordRepeat('prefill');
    this.#prefillCount += 1;
    this.#hasReachedTarget = true;
  }

  /** Records the time of the first bytes of the answer; later calls do nothing. */
  recordFirstBytes(): void {
    this.#firstBytesMs ??= this.elapsedMs;
  }

  /** Adds fields to the log event that is written when the request ends. */
  addLogFields(fields: Readonly<Record<string, unknown>>): void {
    this.#logFields = { ...this.#logFields, ...fields };
  }

  /** Logs a failed attempt or a resend of this request. */
  logEvent(
    name: 'attempt_failed' | 'request_resent' | 'request_forwarded',
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#options.log.writeEvent(name, { request: this.request.id, ...fields });
  }

  /** Ends the request after its complete answer was sent to the caller. */
  completeRequest(status: number, target: TargetRecord): void {
    const { id, softwareVersion } = target;
    this.#endRequest('answered', {
      status,
      target: id,
      version: softwareVersion,
    });
  }

  /** Ends the request after an answer that another instance has got for it. */
  completeForwarded(status: number, instance: string): void {
    this.#endRequest('answered', { status, forwarded_to: instance });
  }

  /**
   * Ends the request with a failure: sends the failure to the caller, or aborts the
   * answer if part of it was sent.
   */
  failRequest(failure: Failure): void {
    if (this.#hasEnded) return;
    const isCallerGone = this.caller.disconnectSignal.aborted;
    const reportedFailure = isCallerGone ? createCallerGoneFailure() : failure;
    this.#endRequest(reportedFailure.code, {
      reason: reportedFailure.message,
      executed: reportedFailure.executed,
    });
    if (isCallerGone) return;
    if (this.caller.hasStarted) this.caller.abortResponse();
    else this.caller.sendFailure(reportedFailure);
  }

  /** Ends the request because its caller reads slowly and the buffers are full. */
  giveWay(): void {
    const wasAnswered = this.#hasEnded;
    this.failRequest(createSlowCallerFailure());
    if (wasAnswered) this.caller.abortResponse();
    this.#abortController.abort();
  }

  /** Gives up the current send; to be called once the request has ended. */
  abortSend(): void {
    this.#abortController.abort();
  }

  /**
   * Ends the request because the process ends, unless its answer has begun: a failure is
   * an answer, and a connection that is cut is none.
   */
  cutShort(): void {
    if (this.#hasEnded || this.caller.hasStarted) return;
    this.#isCutShort = true;
    this.#abortController.abort();
  }

  /** Creates the failure to report after `signal` has aborted. */
  createDeadlineFailure(): Failure {
    if (this.#isCutShort)
      return createShutdownFailure(
        this.mayHaveExecuted || this.#hasReachedTarget,
      );
    return new Failure(
      'deadline_exceeded',
      'the deadline of the request passed before its answer was complete',
      {
        executed: this.mayHaveExecuted ? 'unknown' : 'no',
      },
    );
  }

  #recordRepeat(step: 'prefill' | 'run'): void {
    this.#options.metrics.recordRepeat(this.service, step);
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
    const { customer } = this.request;
    if (customer !== undefined)
      metrics.recordCustomerRequestEnd(customer, outcome, firstMs);
    log.writeEvent(
      outcome === 'answered' ? 'request_answered' : 'request_ended',
      {
        request: this.request.id,
        route: this.route.name,
        customer,
        service: this.service,
        outcome,
        first_ms: firstMs,
        total_ms: totalMs,
        sends: this.#sendCount,
        revision,
        resumes: this.request.resumedRequestId,
        after_event: this.request.resumeAfterEventId,
        ...this.#logFields,
        ...fields,
      },
    );
  }
}

const createShutdownFailure = (mayHaveExecuted: boolean): Failure =>
  new Failure(
    'shutting_down',
    'the instance shut down before the answer was complete',
    { executed: mayHaveExecuted ? 'unknown' : 'no' },
  );

const createSlowCallerFailure = (): Failure =>
  new Failure(
    'slow_caller',
    'the caller read slowly while the buffers of the instance were full; take the stream up again or retry later',
    { executed: 'unknown' },
  );

const createCallerGoneFailure = (): Failure =>
  new Failure(
    'caller_gone',
    'the caller closed the connection before the answer was complete',
    {
      executed: 'unknown',
    },
  );
