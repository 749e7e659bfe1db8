/** Runs a call of a plain service, on other targets where that is safe. */
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { RequestMetrics } from '../metrics/request-metrics.js';
import type { Passage, Quarantine } from '../quarantine/quarantine.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { abortAfter } from '../shared/time.js';
import type { Deadline } from '../shared/time.js';
import type { ServiceAnswer, ServiceCall } from '../target/target.js';

import { RetryBudget } from './retry-budget.js';
import type {
  ServiceTarget,
  ServiceTargets,
  TargetChoice,
} from './service-targets.js';

/** A call with what decides on its repetition. */
export interface ServiceRun {
  readonly service: string;
  readonly call: ServiceCall;
  readonly idempotent: boolean;
  /** Longest time of one attempt. */
  readonly timeoutMs: number;
  readonly fingerprint: string;
}

export interface ServiceRunnerOptions {
  readonly targets: ServiceTargets;
  readonly quarantine: Quarantine;
  readonly log: Log;
  readonly metrics?: RequestMetrics;
  readonly maxAttempts?: number;
}

type Result = Either<Failure, ServiceAnswer>;

/** What has happened to a run so far. */
interface Progress {
  readonly tried: Set<string>;
  attempts: number;
  /** True once some attempt may have reached a target. */
  reached: boolean;
  /** Last failure of a target, not of the choice of one. */
  lastFailure: Failure | undefined;
  /** True once no further attempt is allowed. */
  ended: boolean;
}

const defaultMaxAttempts = 3;
const probeTimeoutMs = 500;
/** Each further attempt ends this much before the one before it. */
const returnMarginMs = 20;

/** `no_target` comes from a circuit that opened since the choice. */
const repeatableCodes = new Set([
  'target_failed',
  'target_rejected',
  'no_target',
]);

export class ServiceRunner {
  readonly #options: ServiceRunnerOptions;
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(options: ServiceRunnerOptions) {
    this.#options = options;
  }

  async run(run: ServiceRun, signal: AbortSignal): Promise<Result> {
    this.#budgetOf(run.service).earn();
    const progress: Progress = {
      tried: new Set(),
      attempts: 0,
      reached: false,
      lastFailure: undefined,
      ended: false,
    };
    for (;;) {
      const result = await this.#attempt(run, progress, signal);
      const failure = result.swap().toMaybe().extractNullable();
      if (failure === null) return result;
      progress.reached ||= failure.executed === 'unknown';
      if (failure.code !== 'no_target') progress.lastFailure = failure;
      if (!this.#mayRepeat(run, progress, failure, signal)) {
        return Left(this.#finalFailure(run, progress, failure));
      }
    }
  }

  async #attempt(
    run: ServiceRun,
    progress: Progress,
    signal: AbortSignal,
  ): Promise<Result> {
    if (run.call.deadline.passed) return Left(deadlinePassed());
    const { targets, quarantine } = this.#options;
    const choice = {
      service: run.service,
      exclude: progress.tried,
      proven: !run.idempotent,
    };
    const candidate = targets.choose(choice).extractNullable();
    if (candidate === null) return Left(this.#noTarget(run, progress));
    const { name } = candidate.service;
    const waiting = AbortSignal.any([
      signal,
      abortAfter(run.call.deadline.leftMs),
    ]);
    const admitted = await quarantine.admit(run.fingerprint, waiting, name);
    const passage = admitted.extract();
    if (passage instanceof Failure) return Left(passage);
    const target = this.#targetFor(passage, candidate, choice);
    if (target === undefined || !this.#afford(run, progress, passage)) {
      passage.release();
      return Left(this.#noTarget(run, progress));
    }
    if (passage.isolated) await passage.reserve(target.service.name);
    // It may have been closed while quarantine was asked.
    if (targets.closed(target.service.name)) {
      passage.release();
      return this.#attempt(run, progress, signal);
    }
    return this.#call(run, progress, target, passage, signal);
  }

  /** Takes a repetition from the budget; suspects run one by one anyway. */
  #afford({ service }: ServiceRun, progress: Progress, passage: Passage) {
    if (progress.attempts === 0 || passage.isolated) return true;
    const { metrics } = this.#options;
    const afforded = this.#budgetOf(service).take();
    if (afforded) metrics?.countRetry(service);
    else metrics?.countBudgetExhausted(service);
    return afforded;
  }

  #targetFor(
    passage: Passage,
    candidate: ServiceTarget,
    choice: TargetChoice,
  ): ServiceTarget | undefined {
    const { targets } = this.#options;
    const exclude = new Set([...choice.exclude, ...passage.avoid]);
    if (passage.target !== undefined) {
      return targets.find(passage.target, choice).extract();
    }
    if (passage.isolated) {
      return targets
        .chooseIdlest({ ...choice, exclude })
        .alt(targets.chooseIdlest(choice))
        .extract();
    }
    // The candidate may have been closed while admission was asked.
    const { name } = candidate.service;
    return targets.find(name, choice).alt(targets.choose(choice)).extract();
  }

  async #call(
    run: ServiceRun,
    progress: Progress,
    target: ServiceTarget,
    passage: Passage,
    signal: AbortSignal,
  ): Promise<Result> {
    const { service, breaker, inFlight } = target;
    progress.tried.add(service.name);
    progress.attempts += 1;
    const deadline = attemptDeadline(run, progress.attempts);
    const call = { ...run.call, deadline };
    inFlight.set(call.id, run.fingerprint);
    const result = await breaker.run(() => service.call(call, signal));
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
    if (failure.executed === 'no' || deadline.passed) return false;
    const probed = await service.probe(probeTimeoutMs);
    return probed.isLeft() || this.#options.targets.replaced(service);
  }

  async #reportCrash({ service, inFlight }: ServiceTarget): Promise<void> {
    const { log, quarantine } = this.#options;
    const { name: target, incarnation } = service;
    const fingerprints = [...new Set(inFlight.values())];
    log.event('target_crashed', { target, incarnation });
    await quarantine.crashed({ target, incarnation, fingerprints });
  }

  #mayRepeat(
    { call, idempotent }: ServiceRun,
    progress: Progress,
    { code, executed }: Failure,
    signal: AbortSignal,
  ): boolean {
    const { maxAttempts = defaultMaxAttempts } = this.#options;
    if (signal.aborted || call.deadline.passed || progress.ended) return false;
    if (!repeatableCodes.has(code)) return false;
    if (executed === 'unknown' && !idempotent) return false;
    return progress.attempts < maxAttempts;
  }

  /** The failure to report: it admits what any attempt may have done. */
  #finalFailure({ service }: ServiceRun, progress: Progress, last: Failure) {
    const { reached, lastFailure } = progress;
    const told = last.code === 'no_target' ? (lastFailure ?? last) : last;
    const final = reached ? told.withExecuted('unknown') : told;
    this.#options.metrics?.countRefusal(service, final);
    return final;
  }

  #noTarget({ service }: ServiceRun, progress: Progress): Failure {
    progress.ended = true;
    return new Failure('no_target', `no target of "${service}" takes calls`, {
      retryAfterMs: this.#options.targets.retryAfterMs(service),
    });
  }

  #budgetOf(service: string): RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const budget = new RetryBudget();
    this.#budgets.set(service, budget);
    return budget;
  }
}

const deadlinePassed = (): Failure =>
  new Failure('deadline_exceeded', 'no time was left for another attempt');

/** Later attempts get less time, so that answers still reach the caller. */
const attemptDeadline = (run: ServiceRun, attempt: number): Deadline => {
  const { deadline } = run.call;
  const margin = returnMarginMs * attempt;
  return deadline.within(Math.min(run.timeoutMs, deadline.leftMs - margin));
};
