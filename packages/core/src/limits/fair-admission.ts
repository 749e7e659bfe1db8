/**
 * Admission control with a separate fair queue and a separate concurrency limit
 * for each service.
 */
import { LRUCache } from 'lru-cache';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { CustomerLimits } from '../config/template.js';
import { Failure } from '../shared/failure.js';

import { Admission } from './admission.js';
import type { AdmissionRequest, AdmissionPermit } from './admission.js';
import { FairQueue } from './fair-queue.js';
import type { FairQueueEntry } from './fair-queue.js';
import { ServiceConcurrency } from './service-concurrency.js';
import { TokenBucket } from './token-bucket.js';

/** Limits of one service at this instance. */
export interface ServiceLimits {
  readonly maxRunning: number;
  readonly maxQueued: number;
}

export interface FairAdmissionOptions {
  readonly getServiceLimits: (service: string) => ServiceLimits;
  /**
   * Estimates the time in milliseconds from the admission of a request to the
   * end of its answer.
   */
  readonly estimateRunMs: (request: AdmissionRequest) => number;
  readonly random: () => number;
  /**
   * Returns the fraction of the limits of each customer that this instance
   * grants, from 0 to 1.
   */
  readonly getLimitShare?: () => number;
}

/** Number of queued requests of a customer, shown to operators. */
export interface QueueLength {
  readonly service: string;
  readonly customer: string;
  readonly class: string;
  readonly waiting: number;
}

interface QueuedRequest extends FairQueueEntry {
  readonly request: AdmissionRequest;
  readonly arrivedAtMs: number;
  readonly expectedRunMs: number;
  readonly settle: (result: Either<Failure, AdmissionPermit>) => void;
}

interface ServiceState {
  readonly queue: FairQueue<QueuedRequest>;
  readonly concurrency: ServiceConcurrency;
}

/**
 * Minimum retry time in an `overloaded` or `rate_limited` failure, in
 * milliseconds.
 */
const minRetryAfterMs = 100;
/**
 * Maximum random fraction added to the retry time, so that refused callers do
 * not all retry at once.
 */
const retryAfterJitter = 0.2;
/** Maximum number of customers whose token bucket is kept. */
const maxTokenBuckets = 16_384;

/**
 * Admits requests in the order of a fair queue, within the limits of their
 * service and customer.
 */
export class FairAdmission extends Admission {
  readonly #options: FairAdmissionOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #tokenBuckets = new LRUCache<string, TokenBucket>({
    max: maxTokenBuckets,
  });

  constructor(options: FairAdmissionOptions) {
    super();
    this.#options = options;
  }

  override acquirePermit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, AdmissionPermit>> {
    if (signal.aborted) return Promise.resolve(Left(createCallerGoneFailure()));
    const state = this.#getServiceState(request.service);
    const refusal = this.#findRefusal(request, state);
    if (refusal !== undefined) return Promise.resolve(Left(refusal));
    return this.#enqueueRequest(request, state, signal);
  }

  /**
   * Admits and refuses queued requests by the current limits, which can change
   * without a request ending.
   */
  updateQueues(): void {
    for (const [service, state] of this.#services) {
      this.#admitQueued(service, state);
      this.#shedLateRequests(state);
    }
  }

  /**
   * Returns the number of queued requests for each service, customer and class.
   */
  listQueues(): QueueLength[] {
    const lengths = new Map<string, QueueLength>();
    for (const [service, { queue }] of this.#services) {
      for (const { request } of queue.listEntries()) {
        const { customer, ranking } = request.entitlement;
        const key = JSON.stringify([service, customer, ranking.class]);
        const waiting = (lengths.get(key)?.waiting ?? 0) + 1;
        lengths.set(key, { service, customer, class: ranking.class, waiting });
      }
    }
    return [...lengths.values()];
  }

  #getServiceState(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = { queue: new FairQueue(), concurrency: new ServiceConcurrency() };
      this.#services.set(service, state);
    }
    return state;
  }

  /**
   * Returns the failure if the request must be refused before it enters the
   * queue.
   */
  #findRefusal(
    request: AdmissionRequest,
    state: ServiceState,
  ): Failure | undefined {
    const { customer, limits } = request.entitlement;
    if (request.deadline.hasPassed) return createDeadlineExceededFailure();
    if (!this.#mustWait(request, state)) return this.#takeTokens(request);
    const waitMs = this.#estimateWaitMs(request, state);
    if (
      state.queue.size >=
      this.#options.getServiceLimits(request.service).maxQueued
    ) {
      return this.#createOverloadedFailure(
        `the queue of service "${request.service}" is full; retry later`,
        waitMs,
      );
    }
    if (state.queue.countWaiting(customer) >= limits.queued) {
      return this.#createOverloadedFailure(
        `the queue of customer "${customer}" is full; retry later`,
        waitMs,
      );
    }
    return this.#takeTokens(request);
  }

  #takeTokens(request: AdmissionRequest): Failure | undefined {
    const waitMs = this.#getTokenBucket(request).takeTokens(
      countTokens(request),
    );
    if (waitMs === 0) return undefined;
    return new Failure(
      'rate_limited',
      `customer "${request.entitlement.customer}" has reached its limit of tokens per minute; retry later`,
      {
        retryAfterMs: this.#addRetryJitter(waitMs),
      },
    );
  }

  #getTokenBucket(request: AdmissionRequest): TokenBucket {
    const { customer, limits } = request.entitlement;
    const rate = limits.tokens_per_minute * this.#getLimitShare();
    const bucket = this.#tokenBuckets.get(customer);
    if (bucket !== undefined) {
      bucket.setRate(rate);
      return bucket;
    }
    const newBucket = new TokenBucket(rate);
    this.#tokenBuckets.set(customer, newBucket);
    return newBucket;
  }

  #enqueueRequest(
    request: AdmissionRequest,
    state: ServiceState,
    signal: AbortSignal,
  ): Promise<Either<Failure, AdmissionPermit>> {
    return new Promise(resolve => {
      const { customer, ranking } = request.entitlement;
      const runMs = this.#options.estimateRunMs(request);
      const deadlineMs = request.deadline.atMs;
      const rejectEntry = (failure: Failure) => {
        if (!state.queue.removeEntry(entry)) return;
        this.#getTokenBucket(request).returnTokens(countTokens(request));
        entry.settle(Left(failure));
      };
      const onAbort = () => {
        rejectEntry(createCallerGoneFailure());
      };
      const entry: QueuedRequest = {
        request,
        customer,
        priority: ranking.priority,
        deadlineMs,
        cost: runMs,
        expectedRunMs: runMs,
        arrivedAtMs: Date.now(),
        settle: result => {
          clearTimeout(timer);
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      const latestStartMs = Math.max(0, deadlineMs - runMs - Date.now());
      const timer = setTimeout(() => {
        rejectEntry(this.#createUnreachableFailure(entry, state));
      }, latestStartMs);
      signal.addEventListener('abort', onAbort, { once: true });
      state.queue.addEntry(entry);
      this.#admitQueued(request.service, state);
      this.#shedLateRequests(state);
    });
  }

  /** Admits queued requests until the service reaches its limit. */
  #admitQueued(service: string, state: ServiceState): void {
    const canRun = (entry: QueuedRequest) =>
      !this.#isCustomerAtLimit(entry.request, state);
    while (
      state.concurrency.runningCount <
      this.#options.getServiceLimits(service).maxRunning
    ) {
      const entry = state.queue.takeNext(canRun);
      if (entry === undefined) return;
      entry.settle(Right(this.#createPermit(entry, state)));
    }
  }

  #createPermit(entry: QueuedRequest, state: ServiceState): AdmissionPermit {
    const { service } = entry.request;
    const endRequest = state.concurrency.startRequest(entry.customer);
    const release = () => {
      if (!endRequest()) return;
      this.#admitQueued(service, state);
      this.#shedLateRequests(state);
    };
    return { waitedMs: Date.now() - entry.arrivedAtMs, release };
  }

  /** Refuses the queued requests that can no longer meet their deadline. */
  #shedLateRequests(state: ServiceState): void {
    for (const entry of [...state.queue.listEntries()]) {
      const maxWaitMs = entry.deadlineMs - Date.now() - entry.expectedRunMs;
      if (this.#estimateWaitMs(entry.request, state) <= maxWaitMs) continue;
      state.queue.removeEntry(entry);
      this.#getTokenBucket(entry.request).returnTokens(
        countTokens(entry.request),
      );
      entry.settle(Left(this.#createUnreachableFailure(entry, state)));
    }
  }

  #mustWait(request: AdmissionRequest, state: ServiceState): boolean {
    const { maxRunning } = this.#options.getServiceLimits(request.service);
    return (
      state.concurrency.runningCount >= maxRunning ||
      this.#isCustomerAtLimit(request, state)
    );
  }

  /**
   * Estimates the time in milliseconds until a new or queued request is
   * admitted.
   */
  #estimateWaitMs(request: AdmissionRequest, state: ServiceState): number {
    const { customer, limits, ranking } = request.entitlement;
    const averageRunMs =
      state.concurrency.averageRunMs ?? this.#options.estimateRunMs(request);
    let waitMs = 0;
    if (this.#isCustomerAtLimit(request, state)) {
      const ownTurns = state.queue.countWaiting(customer) + 1;
      waitMs = (ownTurns * averageRunMs) / this.#computeInFlightLimit(limits);
    }
    const { maxRunning } = this.#options.getServiceLimits(request.service);
    if (state.concurrency.runningCount >= maxRunning) {
      const entry = {
        customer,
        priority: ranking.priority,
        deadlineMs: request.deadline.atMs,
        cost: 0,
      };
      const turns = state.queue.countAhead(entry) + 1;
      waitMs = Math.max(waitMs, (turns * averageRunMs) / maxRunning);
    }
    return waitMs;
  }

  #createUnreachableFailure(
    entry: QueuedRequest,
    state: ServiceState,
  ): Failure {
    const waitMs = this.#estimateWaitMs(entry.request, state);
    return this.#createOverloadedFailure(
      'the request cannot complete before its deadline; retry later or extend the deadline',
      waitMs,
    );
  }

  #createOverloadedFailure(message: string, waitMs: number): Failure {
    return new Failure('overloaded', message, {
      retryAfterMs: this.#addRetryJitter(waitMs),
    });
  }

  #addRetryJitter(waitMs: number): number {
    const jitterFactor = 1 + retryAfterJitter * this.#options.random();
    return Math.ceil(Math.max(minRetryAfterMs, waitMs) * jitterFactor);
  }

  /**
   * Returns true if the customer has reached its limit at this service.
   * Requests are counted for each service separately, so that a service that
   * hangs does not block the requests of the customer to other services.
   */
  #isCustomerAtLimit(request: AdmissionRequest, state: ServiceState): boolean {
    const { customer, limits } = request.entitlement;
    return (
      state.concurrency.countRunning(customer) >=
      this.#computeInFlightLimit(limits)
    );
  }

  #computeInFlightLimit(limits: CustomerLimits): number {
    return Math.max(1, Math.ceil(limits.in_flight * this.#getLimitShare()));
  }

  #getLimitShare(): number {
    return this.#options.getLimitShare?.() ?? 1;
  }
}

const countTokens = (request: AdmissionRequest): number =>
  request.promptTokens + request.outputTokens;

const createCallerGoneFailure = () =>
  new Failure(
    'caller_gone',
    'the caller closed the connection before the request was admitted',
  );

const createDeadlineExceededFailure = () =>
  new Failure(
    'deadline_exceeded',
    'the deadline passed before the request was admitted',
  );
