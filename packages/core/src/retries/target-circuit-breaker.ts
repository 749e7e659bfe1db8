/**
 * Circuit breaker of a target: refuses calls after consecutive failures, and
 * probes the target with single calls.
 */
import {
  circuitBreaker,
  CircuitState,
  ConsecutiveBreaker,
  DelegateBackoff,
  handleWhenResult,
} from 'cockatiel';
import { Either, Left } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import { addJitter } from '../shared/time.js';

export interface TargetCircuitBreakerOptions {
  readonly random: () => number;
  /** Number of consecutive failures that opens the circuit. */
  readonly failureThreshold?: number;
  readonly onOpen?: () => void;
  readonly onClose?: () => void;
}

const defaultFailureThreshold = 3;
const initialOpenMs = 1_000;
const maxOpenMs = 30_000;
/** Random deviation of the open period, as a fraction of the period. */
const openPeriodJitter = 0.5;

/** Returns true for failures caused by the target, not by the request. */
const isTargetFailure = (result: unknown): boolean => {
  if (!Either.isEither(result)) return false;
  const failure = result.swap().toMaybe().extract();
  if (!(failure instanceof Failure)) return false;
  return failure.code === 'target_failed' || failure.code === 'target_rejected';
};

const computeOpenPeriodMs = (attempt: number, random: () => number): number => {
  const periodMs = Math.min(maxOpenMs, initialOpenMs * 2 ** (attempt - 1));
  return addJitter(periodMs, random, openPeriodJitter);
};

/**
 * Circuit breaker whose open period doubles from 1 s to at most 30 s and is
 * jittered, so that instances probe at different times.
 */
export class TargetCircuitBreaker {
  readonly #circuitBreaker;
  #openUntilMs = 0;

  constructor(options: TargetCircuitBreakerOptions) {
    const backoff = new DelegateBackoff<{ readonly attempt: number }>(
      ({ attempt }) => {
        const periodMs = computeOpenPeriodMs(attempt, options.random);
        this.#openUntilMs = Date.now() + periodMs;
        return periodMs;
      },
    );
    this.#circuitBreaker = circuitBreaker(handleWhenResult(isTargetFailure), {
      halfOpenAfter: backoff,
      breaker: new ConsecutiveBreaker(
        options.failureThreshold ?? defaultFailureThreshold,
      ),
    });
    this.#circuitBreaker.onBreak(() => options.onOpen?.());
    this.#circuitBreaker.onReset(() => options.onClose?.());
  }

  /** True while all calls are allowed. */
  get isClosed(): boolean {
    return this.#circuitBreaker.state === CircuitState.Closed;
  }

  /** True when the open period has ended and one call may probe the target. */
  get canProbe(): boolean {
    return (
      this.#circuitBreaker.state === CircuitState.Open &&
      Date.now() >= this.#openUntilMs
    );
  }

  /**
   * Milliseconds until the target may be tried again; 0 while the circuit is
   * closed.
   */
  get retryAfterMs(): number {
    return this.isClosed ? 0 : Math.max(0, this.#openUntilMs - Date.now());
  }

  /** Runs a call, or fails with `no_target` while the circuit is open. */
  async runCall<T>(
    call: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (!this.isClosed && !this.canProbe) return Left(this.#createRefusal());
    return this.#circuitBreaker.execute(call);
  }

  #createRefusal(): Failure {
    return new Failure(
      'no_target',
      'the circuit breaker of the target is open; retry later',
      {
        retryAfterMs: Math.ceil(this.retryAfterMs),
      },
    );
  }
}
