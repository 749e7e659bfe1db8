/** One request on its way: its deadline, its story and its end. */
import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { Caller, RelayRequest } from '../requests/relay-request.js';
import type { Route } from '../routes/route-configuration.js';
import type { RelayMetrics } from '../metrics/relay-metrics.js';

export interface JourneyOptions {
  readonly request: RelayRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly service: string;
  /** Version of the configuration that admitted the request. */
  readonly revision: number;
  readonly log: Log;
  readonly metrics: RelayMetrics;
}

export class Journey {
  readonly request: RelayRequest;
  readonly caller: Caller;
  readonly route: Route;
  readonly service: string;
  /** Monotonic milliseconds by which the caller has its answer. */
  readonly deadlineMs: number;
  readonly #options: JourneyOptions;
  readonly #ending = new AbortController();
  readonly #timer: NodeJS.Timeout;
  readonly #onLeft: () => void;
  #firstEventMs: number | undefined;
  #sends = 0;
  #facts: Readonly<Record<string, unknown>> = {};
  #ended = false;
  /** True once a target may have begun to run the request. */
  mayHaveRun = false;

  constructor(options: JourneyOptions) {
    const { request, caller, route } = options;
    this.#options = options;
    this.request = request;
    this.caller = caller;
    this.route = route;
    this.service = options.service;
    const patienceMs = Math.min(
      request.patienceMs ?? Infinity,
      route.timeoutMs,
    );
    this.deadlineMs = request.arrivedMs + patienceMs;
    this.#timer = setTimeout(() => {
      this.#ending.abort();
    }, this.leftMs);
    this.#onLeft = () => {
      this.#ending.abort();
    };
    caller.left.addEventListener('abort', this.#onLeft, { once: true });
    // A timer of no time would fire only after the first send.
    if (caller.left.aborted || this.leftMs === 0) this.#ending.abort();
  }

  /** Aborts at the deadline and when the caller leaves. */
  get signal(): AbortSignal {
    return this.#ending.signal;
  }

  get leftMs(): number {
    return Math.max(0, this.deadlineMs - performance.now());
  }

  get elapsedMs(): number {
    return performance.now() - this.request.arrivedMs;
  }

  get sends(): number {
    return this.#sends;
  }

  /** Notes that the request goes to a target. */
  sent(): void {
    this.#sends += 1;
  }

  /** Notes the first bytes of the answer. */
  firstBytes(): void {
    this.#firstEventMs ??= this.elapsedMs;
  }

  /** Keeps facts of the last placement for the line at the end. */
  note(facts: Readonly<Record<string, unknown>>): void {
    this.#facts = { ...this.#facts, ...facts };
  }

  /** Tells a decision about this request that deviates from the plain course. */
  tell(
    name: 'attempt_failed' | 'request_resent',
    fields: Readonly<Record<string, unknown>>,
  ): void {
    this.#options.log.event(name, { request: this.request.id, ...fields });
  }

  /** The answer went out whole. */
  answered(status: number, target: string): void {
    this.#end('answered', { status, target });
  }

  /** Ends with a failure, or breaks the answer off if it has begun. */
  fail(failure: Failure): void {
    if (this.#ended) return;
    const left = this.caller.left.aborted;
    const final = left ? callerGone() : failure;
    this.#end(final.code, { reason: final.message, executed: final.executed });
    if (left) return;
    if (this.caller.begun) this.caller.breakOff();
    else this.caller.refuse(final);
  }

  /** The failure that an ended signal stands for. */
  expired(): Failure {
    return new Failure('deadline_exceeded', 'the deadline passed', {
      executed: this.mayHaveRun ? 'unknown' : 'no',
    });
  }

  #end(outcome: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.#ended) return;
    this.#ended = true;
    clearTimeout(this.#timer);
    this.caller.left.removeEventListener('abort', this.#onLeft);
    const { log, metrics, revision } = this.#options;
    const totalMs = Math.round(this.elapsedMs);
    const firstMs = Math.round(this.#firstEventMs ?? totalMs);
    metrics.ended(this.route, outcome, firstMs, totalMs);
    log.event(outcome === 'answered' ? 'request_answered' : 'request_ended', {
      request: this.request.id,
      route: this.route.name,
      service: this.service,
      outcome,
      first_ms: firstMs,
      total_ms: totalMs,
      sends: this.#sends,
      revision,
      ...this.#facts,
      ...fields,
    });
  }
}

const callerGone = (): Failure =>
  new Failure('caller_gone', 'the caller closed the connection', {
    executed: 'unknown',
  });
