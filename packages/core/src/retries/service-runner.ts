/** Runs a call of a plain service, on other targets where that is safe. */
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

/** A call with what decides on its repetition. */
export interface ServiceCallRequest {
  readonly service: string;
  readonly call: ServiceCall;
  readonly isIdempotent: boolean;
  /** Longest time of one attempt. */
  readonly attemptTimeoutMs: number;
  readonly fingerprint: string;
}

export interface ServiceRunnerOptions {
  readonly targets: ServiceTargets;
  readonly quarantine: Quarantine;
  readonly log: Log;
  readonly metrics?: RequestMetrics;
  readonly maxAttempts?: number;
}

type CallResult = Either<Failure, ServiceResponse>;

/** What has happened to a run so far. */
interface CallProgress {
  readonly triedTargets: Set<string>;
  attempts: number;
  /** True once some attempt may have reached a target. */
  hasReachedTarget: boolean;
  /** Last failure of a target, not of the choice of one. */
  lastFailure: Failure | undefined;
  /** True once no further attempt is allowed. */
  hasEnded: boolean;
}

const defaultMaxAttempts = 3;
const probeTimeoutMs = 500;
/** Each further attempt ends this much before the one before it. */
const attemptMarginMs = 20;

/** `no_target` comes from a circuit that opened since the choice. */
const retryableCodes = new Set([
  'target_failed',
  'target_rejected',
  'no_target',
]);

export class ServiceRunner {
  readonly #options: ServiceRunnerOptions;
  readonly #retryBudgets = new Map<string, RetryBudget>();

  constructor(options: ServiceRunnerOptions) {
    this.#options = options;
  }

  async runCall(
    run: ServiceCallRequest,
    signal: AbortSignal,
  ): Promise<CallResult> {
    this.#getRetryBudget(run.service).countRequest();
    const progress: CallProgress = {
      triedTargets: new Set(),
      attempts: 0,
      hasReachedTarget: false,
      lastFailure: undefined,
      hasEnded: false,
    };
    for (;;) {
      const result = await this.#runAttempt(run, progress, signal);
      const failure = result.swap().toMaybe().extractNullable();
      if (failure === null) return result;
      progress.hasReachedTarget ||= failure.executed === 'unknown';
      if (failure.code !== 'no_target') progress.lastFailure = failure;
      if (!this.#canRetry(run, progress, failure, signal)) {
        return Left(this.#createFinalFailure(run, progress, failure));
      }
    }
  }

  async #runAttempt(
    run: ServiceCallRequest,
    progress: CallProgress,
    signal: AbortSignal,
  ): Promise<CallResult> {
    if (run.call.deadline.hasPassed)
      return Left(createDeadlineExceededFailure());
    const { targets, quarantine } = this.#options;
    const choice = {
      service: run.service,
      excludedTargets: progress.triedTargets,
      needsClosedCircuit: !run.isIdempotent,
    };
    const candidate = targets.chooseTarget(choice).extractNullable();
    if (candidate === null)
      return Left(this.#createNoTargetFailure(run, progress));
    const { name } = candidate.service;
    const waiting = AbortSignal.any([
      signal,
      createTimeoutSignal(run.call.deadline.remainingMs),
    ]);
    const admitted = await quarantine.admitRun(run.fingerprint, waiting, name);
    const passage = admitted.extract();
    if (passage instanceof Failure) return Left(passage);
    const target = this.#selectTarget(passage, candidate, choice);
    if (target === undefined || !this.#takeRetry(run, progress, passage)) {
      passage.release();
      return Left(this.#createNoTargetFailure(run, progress));
    }
    if (passage.isIsolated) await passage.reserveTarget(target.service.name);
    // It may have been closed while quarantine was asked.
    if (targets.isUnavailable(target.service.name)) {
      passage.release();
      return this.#runAttempt(run, progress, signal);
    }
    return this.#callTarget(run, progress, target, passage, signal);
  }

  /** Takes a repetition from the budget; suspects run one by one anyway. */
  #takeRetry(
    { service }: ServiceCallRequest,
    progress: CallProgress,
    passage: RunPermit,
  ) {
    if (progress.attempts === 0 || passage.isIsolated) return true;
    const { metrics } = this.#options;
    const afforded = this.#getRetryBudget(service).takeRetry();
    if (afforded) metrics?.countRetry(service);
    else metrics?.countBudgetExhausted(service);
    return afforded;
  }

  #selectTarget(
    passage: RunPermit,
    candidate: ServiceTarget,
    choice: TargetQuery,
  ): ServiceTarget | undefined {
    const { targets } = this.#options;
    const exclude = new Set([
      ...choice.excludedTargets,
      ...passage.avoidedTargets,
    ]);
    if (passage.target !== undefined) {
      return targets.findTarget(passage.target, choice).extract();
    }
    if (passage.isIsolated) {
      return targets
        .chooseLeastBusy({ ...choice, excludedTargets: exclude })
        .alt(targets.chooseLeastBusy(choice))
        .extract();
    }
    // The candidate may have been closed while admission was asked.
    const { name } = candidate.service;
    return targets
      .findTarget(name, choice)
      .alt(targets.chooseTarget(choice))
      .extract();
  }

  async #callTarget(
    run: ServiceCallRequest,
    progress: CallProgress,
    target: ServiceTarget,
    passage: RunPermit,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { service, breaker, inFlightFingerprints: inFlight } = target;
    progress.triedTargets.add(service.name);
    progress.attempts += 1;
    const deadline = computeAttemptDeadline(run, progress.attempts);
    const call = { ...run.call, deadline };
    inFlight.set(call.id, run.fingerprint);
    const result = await breaker.runCall(() =>
      service.callOperation(call, signal),
    );
    const failure = result.swap().toMaybe().extractNullable();
    const crashed =
      failure !== null && (await this.#hasCrashed(target, failure, deadline));
    if (crashed) await this.#reportCrash(target);
    else passage.release(failure === null);
    inFlight.delete(call.id);
    return result;
  }

  /** True when the connection broke and the target does not come back. */
  async #hasCrashed(
    { service }: ServiceTarget,
    failure: Failure,
    deadline: Deadline,
  ): Promise<boolean> {
    if (failure.code !== 'target_failed') return false;
    if (failure.executed === 'no' || deadline.hasPassed) return false;
    const probed = await service.probeHealth(probeTimeoutMs);
    return probed.isLeft() || this.#options.targets.isReplaced(service);
  }

  async #reportCrash({
    service,
    inFlightFingerprints: inFlight,
  }: ServiceTarget): Promise<void> {
    const { log, quarantine } = this.#options;
    const { name: target, incarnation } = service;
    const fingerprints = [...new Set(inFlight.values())];
    log.writeEvent('target_crashed', { target, incarnation });
    await quarantine.recordCrash({ target, incarnation, fingerprints });
  }

  #canRetry(
    { call, isIdempotent: idempotent }: ServiceCallRequest,
    progress: CallProgress,
    { code, executed }: Failure,
    signal: AbortSignal,
  ): boolean {
    const { maxAttempts = defaultMaxAttempts } = this.#options;
    if (signal.aborted || call.deadline.hasPassed || progress.hasEnded)
      return false;
    if (!retryableCodes.has(code)) return false;
    if (executed === 'unknown' && !idempotent) return false;
    return progress.attempts < maxAttempts;
  }

  /** The failure to report: it admits what any attempt may have done. */
  #createFinalFailure(
    { service }: ServiceCallRequest,
    progress: CallProgress,
    last: Failure,
  ) {
    const { hasReachedTarget: reached, lastFailure } = progress;
    const told = last.code === 'no_target' ? (lastFailure ?? last) : last;
    const final = reached ? told.withExecuted('unknown') : told;
    this.#options.metrics?.countRefusal(service, final);
    return final;
  }

  #createNoTargetFailure(
    { service }: ServiceCallRequest,
    progress: CallProgress,
  ): Failure {
    progress.hasEnded = true;
    return new Failure('no_target', `no target of "${service}" takes calls`, {
      retryAfterMs: this.#options.targets.getRetryAfterMs(service),
    });
  }

  #getRetryBudget(service: string): RetryBudget {
    const known = this.#retryBudgets.get(service);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.#retryBudgets.set(service, budget);
    return budget;
  }
}

const createDeadlineExceededFailure = (): Failure =>
  new Failure('deadline_exceeded', 'no time was left for another attempt');

/** Later attempts get less time, so that answers still reach the caller. */
const computeAttemptDeadline = (
  run: ServiceCallRequest,
  attempt: number,
): Deadline => {
  const { deadline } = run.call;
  const margin = attemptMarginMs * attempt;
  return deadline.limitTo(
    Math.min(run.attemptTimeoutMs, deadline.remainingMs - margin),
  );
};
