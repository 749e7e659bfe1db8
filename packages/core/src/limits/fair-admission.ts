/** Fair admission with separate queues and places for each service. */
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

/** Bounds of one service at this instance. */
export interface ServiceLimits {
  readonly maxRunning: number;
  readonly maxQueued: number;
}

export interface FairAdmissionOptions {
  readonly getServiceLimits: (service: string) => ServiceLimits;
  /** Expected time from getting a place to the end of the answer. */
  readonly estimateRunMs: (request: AdmissionRequest) => number;
  readonly random: () => number;
  /** Share of the customers' limits that this instance grants, 0 to 1. */
  readonly getLimitShare?: () => number;
}

/** Waiting requests of a customer, for operators. */
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

/** Least time after which a refused caller is told to come back. */
const minRetryAfterMs = 100;
/** Spread of that time, so that refused callers do not return together. */
const retryAfterJitter = 0.2;
/** Customers whose rate is remembered. */
const maxTokenBuckets = 16_384;

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

  /** Looks again at the bounds, which may have grown without a release. */
  updateQueues(): void {
    for (const [service, state] of this.#services) {
      this.#admitQueued(service, state);
      this.#shedLateRequests(state);
    }
  }

  /** Lengths of all queues. */
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

  /** The failure of a request that is not even queued. */
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
        `the queue of ${request.service} is full`,
        waitMs,
      );
    }
    if (state.queue.countWaiting(customer) >= limits.queued) {
      return this.#createOverloadedFailure(
        'the queue of the customer is full',
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
    return new Failure('rate_limited', 'the customer used up its tokens', {
      retryAfterMs: this.#addRetryJitter(waitMs),
    });
  }

  #getTokenBucket(request: AdmissionRequest): TokenBucket {
    const { customer, limits } = request.entitlement;
    const rate = limits.tokens_per_minute * this.#getLimitShare();
    const bucket = this.#tokenBuckets.get(customer);
    if (bucket !== undefined) {
      bucket.setRate(rate);
      return bucket;
    }
    const created = new TokenBucket(rate);
    this.#tokenBuckets.set(customer, created);
    return created;
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
      const give = (failure: Failure) => {
        if (!state.queue.removeEntry(place)) return;
        this.#getTokenBucket(request).returnTokens(countTokens(request));
        place.settle(Left(failure));
      };
      const onAbort = () => {
        give(createCallerGoneFailure());
      };
      const place: QueuedRequest = {
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
        give(this.#createUnreachableFailure(place, state));
      }, latestStartMs);
      signal.addEventListener('abort', onAbort, { once: true });
      state.queue.addEntry(place);
      this.#admitQueued(request.service, state);
      this.#shedLateRequests(state);
    });
  }

  /** Gives free places to those whose turn it is. */
  #admitQueued(service: string, state: ServiceState): void {
    const mayRun = (place: QueuedRequest) =>
      !this.#isCustomerAtLimit(place.request, state);
    while (
      state.concurrency.runningCount <
      this.#options.getServiceLimits(service).maxRunning
    ) {
      const place = state.queue.takeNext(mayRun);
      if (place === undefined) return;
      place.settle(Right(this.#createPermit(place, state)));
    }
  }

  #createPermit(place: QueuedRequest, state: ServiceState): AdmissionPermit {
    const { service } = place.request;
    const giveBack = state.concurrency.startRequest(place.customer);
    const release = () => {
      if (!giveBack()) return;
      this.#admitQueued(service, state);
      this.#shedLateRequests(state);
    };
    return { waitedMs: Date.now() - place.arrivedAtMs, release };
  }

  /** Refuses those whose deadline has become unreachable. */
  #shedLateRequests(state: ServiceState): void {
    for (const place of [...state.queue.listEntries()]) {
      const leftMs = place.deadlineMs - Date.now() - place.expectedRunMs;
      if (this.#estimateWaitMs(place.request, state) <= leftMs) continue;
      state.queue.removeEntry(place);
      this.#getTokenBucket(place.request).returnTokens(
        countTokens(place.request),
      );
      place.settle(Left(this.#createUnreachableFailure(place, state)));
    }
  }

  #mustWait(request: AdmissionRequest, state: ServiceState): boolean {
    const { maxRunning: running } = this.#options.getServiceLimits(
      request.service,
    );
    return (
      state.concurrency.runningCount >= running ||
      this.#isCustomerAtLimit(request, state)
    );
  }

  /** Expected time until the request, new or queued, gets a place. */
  #estimateWaitMs(request: AdmissionRequest, state: ServiceState): number {
    const { customer, limits, ranking } = request.entitlement;
    const holdMs =
      state.concurrency.averageRunMs ?? this.#options.estimateRunMs(request);
    let waitMs = 0;
    if (this.#isCustomerAtLimit(request, state)) {
      const own = state.queue.countWaiting(customer) + 1;
      waitMs = (own * holdMs) / this.#computeInFlightLimit(limits);
    }
    const { maxRunning: running } = this.#options.getServiceLimits(
      request.service,
    );
    if (state.concurrency.runningCount >= running) {
      const entry = {
        customer,
        priority: ranking.priority,
        deadlineMs: request.deadline.atMs,
        cost: 0,
      };
      const turns = state.queue.countAhead(entry) + 1;
      waitMs = Math.max(waitMs, (turns * holdMs) / running);
    }
    return waitMs;
  }

  #createUnreachableFailure(
    place: QueuedRequest,
    state: ServiceState,
  ): Failure {
    const waitMs = this.#estimateWaitMs(place.request, state);
    return this.#createOverloadedFailure(
      'the deadline can no longer be met',
      waitMs,
    );
  }

  #createOverloadedFailure(message: string, waitMs: number): Failure {
    return new Failure('overloaded', message, {
      retryAfterMs: this.#addRetryJitter(waitMs),
    });
  }

  #addRetryJitter(waitMs: number): number {
    const spread = 1 + retryAfterJitter * this.#options.random();
    return Math.ceil(Math.max(minRetryAfterMs, waitMs) * spread);
  }

  /** Each service has its own count, so that a hung one holds up no other. */
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
  new Failure('caller_gone', 'the caller has gone');

const createDeadlineExceededFailure = () =>
  new Failure('deadline_exceeded', 'the deadline passed before any work');
