/** Fair admission with separate queues and places for each service. */
import { LRUCache } from 'lru-cache';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Limits } from '../config/template.js';
import { Failure } from '../shared/failure.js';

import { Admission } from './admission.js';
import type { AdmissionRequest, Ticket } from './admission.js';
import { FairQueue } from './fair-queue.js';
import type { Waiting } from './fair-queue.js';
import { ServicePlaces } from './service-concurrency.js';
import { TokenBucket } from './token-bucket.js';

/** Bounds of one service at this instance. */
export interface ServiceBounds {
  readonly running: number;
  readonly queued: number;
}

export interface FairAdmissionOptions {
  readonly boundsOf: (service: string) => ServiceBounds;
  /** Expected time from getting a place to the end of the answer. */
  readonly expectedRunMs: (request: AdmissionRequest) => number;
  readonly random: () => number;
  /** Share of the customers' limits that this instance grants, 0 to 1. */
  readonly share?: () => number;
}

/** Waiting requests of a customer, for operators. */
export interface QueueLength {
  readonly service: string;
  readonly customer: string;
  readonly class: string;
  readonly waiting: number;
}

interface Place extends Waiting {
  readonly request: AdmissionRequest;
  readonly arrivedMs: number;
  readonly runMs: number;
  readonly settle: (result: Either<Failure, Ticket>) => void;
}

interface ServiceState {
  readonly queue: FairQueue<Place>;
  readonly places: ServicePlaces;
}

/** Least time after which a refused caller is told to come back. */
const minRetryMs = 100;
/** Spread of that time, so that refused callers do not return together. */
const retrySpread = 0.2;
/** Customers whose rate is remembered. */
const maxBuckets = 16_384;

export class FairAdmission extends Admission {
  readonly #options: FairAdmissionOptions;
  readonly #services = new Map<string, ServiceState>();
  readonly #buckets = new LRUCache<string, TokenBucket>({ max: maxBuckets });

  constructor(options: FairAdmissionOptions) {
    super();
    this.#options = options;
  }

  override enter(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, Ticket>> {
    if (signal.aborted) return Promise.resolve(Left(callerGone()));
    const state = this.#state(request.service);
    const refusal = this.#refuse(request, state);
    if (refusal !== undefined) return Promise.resolve(Left(refusal));
    return this.#wait(request, state, signal);
  }

  /** Looks again at the bounds, which may have grown without a release. */
  refresh(): void {
    for (const [service, state] of this.#services) {
      this.#fill(service, state);
      this.#shed(state);
    }
  }

  /** Lengths of all queues. */
  queues(): QueueLength[] {
    const lengths = new Map<string, QueueLength>();
    for (const [service, { queue }] of this.#services) {
      for (const { request } of queue.entries()) {
        const { customer, ranking } = request.entitlement;
        const key = JSON.stringify([service, customer, ranking.class]);
        const waiting = (lengths.get(key)?.waiting ?? 0) + 1;
        lengths.set(key, { service, customer, class: ranking.class, waiting });
      }
    }
    return [...lengths.values()];
  }

  #state(service: string): ServiceState {
    let state = this.#services.get(service);
    if (state === undefined) {
      state = { queue: new FairQueue(), places: new ServicePlaces() };
      this.#services.set(service, state);
    }
    return state;
  }

  /** The failure of a request that is not even queued. */
  #refuse(request: AdmissionRequest, state: ServiceState): Failure | undefined {
    const { customer, limits } = request.entitlement;
    if (request.deadline.passed) return deadlineExceeded();
    if (!this.#mustWait(request, state)) return this.#takeRate(request);
    const waitMs = this.#waitMs(request, state);
    if (state.queue.size >= this.#options.boundsOf(request.service).queued) {
      return this.#overloaded(
        `the queue of ${request.service} is full`,
        waitMs,
      );
    }
    if (state.queue.waitingOf(customer) >= limits.queued) {
      return this.#overloaded('the queue of the customer is full', waitMs);
    }
    return this.#takeRate(request);
  }

  #takeRate(request: AdmissionRequest): Failure | undefined {
    const waitMs = this.#bucket(request).take(tokensOf(request));
    if (waitMs === 0) return undefined;
    return new Failure('rate_limited', 'the customer used up its tokens', {
      retryAfterMs: this.#spread(waitMs),
    });
  }

  #bucket(request: AdmissionRequest): TokenBucket {
    const { customer, limits } = request.entitlement;
    const rate = limits.tokens_per_minute * this.#share();
    const bucket = this.#buckets.get(customer);
    if (bucket !== undefined) {
      bucket.setRate(rate);
      return bucket;
    }
    const created = new TokenBucket(rate);
    this.#buckets.set(customer, created);
    return created;
  }

  #wait(
    request: AdmissionRequest,
    state: ServiceState,
    signal: AbortSignal,
  ): Promise<Either<Failure, Ticket>> {
    return new Promise(resolve => {
      const { customer, ranking } = request.entitlement;
      const runMs = this.#options.expectedRunMs(request);
      const deadlineMs = request.deadline.atMs;
      const give = (failure: Failure) => {
        if (!state.queue.remove(place)) return;
        this.#bucket(request).giveBack(tokensOf(request));
        place.settle(Left(failure));
      };
      const onAbort = () => {
        give(callerGone());
      };
      const place: Place = {
        request,
        customer,
        priority: ranking.priority,
        deadlineMs,
        cost: runMs,
        runMs,
        arrivedMs: Date.now(),
        settle: result => {
          clearTimeout(timer);
          signal.removeEventListener('abort', onAbort);
          resolve(result);
        },
      };
      const latestStartMs = Math.max(0, deadlineMs - runMs - Date.now());
      const timer = setTimeout(() => {
        give(this.#unreachable(place, state));
      }, latestStartMs);
      signal.addEventListener('abort', onAbort, { once: true });
      state.queue.add(place);
      this.#fill(request.service, state);
      this.#shed(state);
    });
  }

  /** Gives free places to those whose turn it is. */
  #fill(service: string, state: ServiceState): void {
    const mayRun = (place: Place) => !this.#customerBusy(place.request, state);
    while (state.places.total < this.#options.boundsOf(service).running) {
      const place = state.queue.take(mayRun);
      if (place === undefined) return;
      place.settle(Right(this.#ticket(place, state)));
    }
  }

  #ticket(place: Place, state: ServiceState): Ticket {
    const { service } = place.request;
    const giveBack = state.places.take(place.customer);
    const release = () => {
      if (!giveBack()) return;
      this.#fill(service, state);
      this.#shed(state);
    };
    return { waitedMs: Date.now() - place.arrivedMs, release };
  }

  /** Refuses those whose deadline has become unreachable. */
  #shed(state: ServiceState): void {
    for (const place of [...state.queue.entries()]) {
      const leftMs = place.deadlineMs - Date.now() - place.runMs;
      if (this.#waitMs(place.request, state) <= leftMs) continue;
      state.queue.remove(place);
      this.#bucket(place.request).giveBack(tokensOf(place.request));
      place.settle(Left(this.#unreachable(place, state)));
    }
  }

  #mustWait(request: AdmissionRequest, state: ServiceState): boolean {
    const { running } = this.#options.boundsOf(request.service);
    return state.places.total >= running || this.#customerBusy(request, state);
  }

  /** Expected time until the request, new or queued, gets a place. */
  #waitMs(request: AdmissionRequest, state: ServiceState): number {
    const { customer, limits, ranking } = request.entitlement;
    const holdMs = state.places.holdMs ?? this.#options.expectedRunMs(request);
    let waitMs = 0;
    if (this.#customerBusy(request, state)) {
      const own = state.queue.waitingOf(customer) + 1;
      waitMs = (own * holdMs) / this.#inFlight(limits);
    }
    const { running } = this.#options.boundsOf(request.service);
    if (state.places.total >= running) {
      const entry = {
        customer,
        priority: ranking.priority,
        deadlineMs: request.deadline.atMs,
        cost: 0,
      };
      const turns = state.queue.ahead(entry) + 1;
      waitMs = Math.max(waitMs, (turns * holdMs) / running);
    }
    return waitMs;
  }

  #unreachable(place: Place, state: ServiceState): Failure {
    const waitMs = this.#waitMs(place.request, state);
    return this.#overloaded('the deadline can no longer be met', waitMs);
  }

  #overloaded(message: string, waitMs: number): Failure {
    return new Failure('overloaded', message, {
      retryAfterMs: this.#spread(waitMs),
    });
  }

  #spread(waitMs: number): number {
    const spread = 1 + retrySpread * this.#options.random();
    return Math.ceil(Math.max(minRetryMs, waitMs) * spread);
  }

  /** Each service has its own count, so that a hung one holds up no other. */
  #customerBusy(request: AdmissionRequest, state: ServiceState): boolean {
    const { customer, limits } = request.entitlement;
    return state.places.runningOf(customer) >= this.#inFlight(limits);
  }

  #inFlight(limits: Limits): number {
    return Math.max(1, Math.ceil(limits.in_flight * this.#share()));
  }

  #share(): number {
    return this.#options.share?.() ?? 1;
  }
}

const tokensOf = (request: AdmissionRequest): number =>
  request.promptTokens + request.outputTokens;

const callerGone = () => new Failure('caller_gone', 'the caller has gone');

const deadlineExceeded = () =>
  new Failure('deadline_exceeded', 'the deadline passed before any work');
