/**
 * Runs a call of a plain service, and retries it on other targets where a
 * repeated execution is safe.
 */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { RequestMetrics } from '../metrics/request-metrics.js';
import type { RunPermit, Quarantine } from '../quarantine/quarantine.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { createTimeoutSignal } from '../shared/time.js';
import type { Deadline } from '../shared/time.js';
import type { ServiceResponse, ServiceCall } from '../target/target.js';

import { RetryBudget } from './retry-budget.js';
import type {
  ServiceTarget,
  ServiceTargets,
  TargetQuery,
} from './service-targets.js';

/** A call, with the settings that decide whether it may be retried. */
export interface ServiceCallRequest {
  readonly service: string;
  readonly call: ServiceCall;
  readonly isIdempotent: boolean;
  /** Timeout of one attempt in milliseconds. */
  readonly attemptTimeoutMs: number;
  /**
   * Identifies equal requests, for the quarantine of requests that crash
   * targets.
   */
  readonly fingerprint: string;
}

export interface ServiceRunnerOptions {
  readonly targets: ServiceTargets;
  readonly quarantine: Quarantine;
  readonly log: Log;
  readonly metrics?: RequestMetrics;
  /** Maximum number of attempts per call, including the first; 3 by default. */
  readonly maxAttempts?: number;
}

type CallResult = Either<Failure, ServiceResponse>;

/** State of a call across its attempts. */
interface CallProgress {
  readonly triedTargets: Set<string>;
  attempts: number;
  /** True after an attempt whose request may have reached a target. */
  hasReachedTarget: boolean;
  /**
   * Last failure other than `no_target`; a `no_target` failure hides the reason
   * why earlier attempts failed.
   */
  lastFailure: Failure | undefined;
  /** True when no further attempt is allowed. */
  hasEnded: boolean;
}

const defaultMaxAttempts = 3;
const probeTimeoutMs = 500;
/**
 * Milliseconds reserved before the deadline of the request for each attempt
 * made so far.
 */
const attemptMarginMs = 20;

/**
 * Failure codes that allow a retry. A call fails with `no_target` if the
 * circuit opened after the target was chosen.
 */
const retryableCodes = new Set([
  'target_failed',
  'target_rejected',
  'no_target',
]);

/** Runs calls with retries, retry budgets and quarantine. */
export class ServiceRunner {
  readonly #options: ServiceRunnerOptions;
  readonly #retryBudgets = new Map<string, RetryBudget>();

  constructor(options: ServiceRunnerOptions) {
    this.#options = options;
  }

  /**
   * Runs a call until it succeeds or may not be retried, and returns the
   * response or the failure to report to the caller.
   */
  async runCall(
    request: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<CallResult> {
    this.#getRetryBudget(request.service).countRequest();
    const progress: CallProgress = {
      triedTargets: new Set(),
      attempts: 0,
      hasReachedTarget: false,
      lastFailure: undefined,
      hasEnded: false,
    };
    for (;;) {
      const result = await this.#runAttempt(request, progress, signal);
      const failure = result.swap().toMaybe().extractNullable();
      if (failure === null) return result;
      progress.hasReachedTarget ||= failure.executed === 'unknown';
      if (failure.code !== 'no_target') progress.lastFailure = failure;
      if (!this.#canRetry(request, progress, failure, signal)) {
        return Left(this.#createFinalFailure(request, progress, failure));
      }
    }
  }

  async #runAttempt(
    request: ServiceCallRequest,
    progress: CallProgress,
    signal: AbortSignal,
  ): Promise<CallResult> {
    if (request.call.deadline.hasPassed)
      return Left(createDeadlineExceededFailure());
    const { targets, quarantine } = this.#options;
    const query = {
      service: request.service,
      excludedTargets: progress.triedTargets,
      needsClosedCircuit: !request.isIdempotent,
    };
    const candidate = targets.chooseTarget(query).extractNullable();
    if (candidate === null)
      return Left(this.#createNoTargetFailure(request, progress));
    const { name } = candidate.service;
    const admissionSignal = AbortSignal.any([
      signal,
      createTimeoutSignal(request.call.deadline.remainingMs),
    ]);
    const admission = await quarantine.admitRun(
      request.fingerprint,
      admissionSignal,
      name,
    );
    const permit = admission.extract();
    if (permit instanceof Failure) return Left(permit);
    const target = this.#selectTarget(permit, candidate, query);
    if (target === undefined || !this.#takeRetry(request, progress, permit)) {
      permit.release();
      return Left(this.#createNoTargetFailure(request, progress));
    }
    if (permit.isIsolated) await permit.reserveTarget(target.service.name);
    // The target may have become unavailable during the quarantine check.
    if (targets.isUnavailable(target.service.name)) {
      permit.release();
      return this.#runAttempt(request, progress, signal);
    }
    return this.#callTarget(request, progress, target, permit, signal);
  }

  /**
   * Takes a retry from the budget. The first attempt needs none, and isolated
   * runs need none because they run one at a time.
   */
  #takeRetry(
    { service }: ServiceCallRequest,
    progress: CallProgress,
    permit: RunPermit,
  ) {
    if (progress.attempts === 0 || permit.isIsolated) return true;
    const { metrics } = this.#options;
    const isWithinBudget = this.#getRetryBudget(service).takeRetry();
    if (isWithinBudget) metrics?.countRetry(service);
    else metrics?.countBudgetExhausted(service);
    return isWithinBudget;
  }

  #selectTarget(
    permit: RunPermit,
    candidate: ServiceTarget,
    query: TargetQuery,
  ): ServiceTarget | undefined {
    const { targets } = this.#options;
    const excludedTargets = new Set([
      ...query.excludedTargets,
      ...permit.avoidedTargets,
    ]);
    if (permit.target !== undefined) {
      return targets.findTarget(permit.target, query).extract();
    }
    if (permit.isIsolated) {
      return targets
        .chooseLeastBusy({ ...query, excludedTargets })
        .alt(targets.chooseLeastBusy(query))
        .extract();
    }
    // The candidate may have become unavailable during the quarantine check.
    const { name } = candidate.service;
    return targets
      .findTarget(name, query)
      .alt(targets.chooseTarget(query))
      .extract();
  }

  async #callTarget(
    request: ServiceCallRequest,
    progress: CallProgress,
    target: ServiceTarget,
    permit: RunPermit,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { service, breaker, inFlightFingerprints } = target;
    progress.triedTargets.add(service.name);
    progress.attempts += 1;
    const deadline = computeAttemptDeadline(request, progress.attempts);
    const call = { ...request.call, deadline };
    inFlightFingerprints.set(call.id, request.fingerprint);
    const result = await breaker.runCall(() =>
      service.callOperation(call, signal),
    );
    const failure = result.swap().toMaybe().extractNullable();
    const hasCrashed =
      failure !== null && (await this.#hasCrashed(target, failure, deadline));
    if (hasCrashed) await this.#reportCrash(target);
    else permit.release(failure === null);
    inFlightFingerprints.delete(call.id);
    return result;
  }

  /**
   * Returns true if the connection broke and the target fails the health probe
   * or was replaced by another incarnation.
   */
  async #hasCrashed(
    { service }: ServiceTarget,
    failure: Failure,
    deadline: Deadline,
  ): Promise<boolean> {
    if (failure.code !== 'target_failed') return false;
    if (failure.executed === 'no' || deadline.hasPassed) return false;
    const probeResult = await service.probeHealth(probeTimeoutMs);
    return probeResult.isLeft() || this.#options.targets.isReplaced(service);
  }

  async #reportCrash({
    service,
    inFlightFingerprints,
  }: ServiceTarget): Promise<void> {
    const { log, quarantine } = this.#options;
    const { name: target, incarnation } = service;
    const fingerprints = [...new Set(inFlightFingerprints.values())];
    log.writeEvent('target_crashed', { target, incarnation });
    await quarantine.recordCrash({ target, incarnation, fingerprints });
  }

  #canRetry(
    { call, isIdempotent }: ServiceCallRequest,
    progress: CallProgress,
    { code, executed }: Failure,
    signal: AbortSignal,
  ): boolean {
    const { maxAttempts = defaultMaxAttempts } = this.#options;
    if (signal.aborted || call.deadline.hasPassed || progress.hasEnded)
      return false;
    if (!retryableCodes.has(code)) return false;
    if (executed === 'unknown' && !isIdempotent) return false;
    return progress.attempts < maxAttempts;
  }

  /**
   * Creates the failure to report to the caller. It has `executed: "unknown"`
   * if any attempt may have reached a target.
   */
  #createFinalFailure(
    { service }: ServiceCallRequest,
    progress: CallProgress,
    latestFailure: Failure,
  ) {
    const { hasReachedTarget, lastFailure } = progress;
    const reported =
      latestFailure.code === 'no_target'
        ? (lastFailure ?? latestFailure)
        : latestFailure;
    const finalFailure = hasReachedTarget
      ? reported.withExecuted('unknown')
      : reported;
    this.#options.metrics?.countRefusal(service, finalFailure);
    return finalFailure;
  }

  #createNoTargetFailure(
    { service }: ServiceCallRequest,
    progress: CallProgress,
  ): Failure {
    progress.hasEnded = true;
    return new Failure(
      'no_target',
      `no target of service "${service}" accepts another attempt; retry later`,
      {
        retryAfterMs: this.#options.targets.getRetryAfterMs(service),
      },
    );
  }

  #getRetryBudget(service: string): RetryBudget {
    const existing = this.#retryBudgets.get(service);
    if (existing !== undefined) return existing;
    const budget = new RetryBudget();
    this.#retryBudgets.set(service, budget);
    return budget;
  }
}

const createDeadlineExceededFailure = (): Failure =>
  new Failure(
    'deadline_exceeded',
    'the deadline passed before another attempt; extend the deadline',
  );

/**
 * Computes the deadline of an attempt. Later attempts end earlier, so that
 * their answer reaches the caller before the deadline of the request.
 */
const computeAttemptDeadline = (
  request: ServiceCallRequest,
  attempt: number,
): Deadline => {
  const { deadline } = request.call;
  const marginMs = attemptMarginMs * attempt;
  return deadline.limitTo(
    Math.min(request.attemptTimeoutMs, deadline.remainingMs - marginMs),
  );
};
