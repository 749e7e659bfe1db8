/** Stops sending to a target that fails, and tries it again one by one. */
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
  /** Failures in a row that open the circuit. */
  readonly failureThreshold?: number;
  readonly onOpen?: () => void;
  readonly onClose?: () => void;
}

const defaultFailureThreshold = 3;
const initialOpenMs = 1_000;
const maxOpenMs = 30_000;
const openPeriodJitter = 0.5;

/** True for results that speak of the target rather than of the request. */
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

  /** True while requests pass without restriction. */
  get isClosed(): boolean {
    return this.#circuitBreaker.state === CircuitState.Closed;
  }

  /** True when the open period is over and one request may try the target. */
  get canProbe(): boolean {
    return (
      this.#circuitBreaker.state === CircuitState.Open &&
      Date.now() >= this.#openUntilMs
    );
  }

  /** Milliseconds until the target may be tried again. */
  get retryAfterMs(): number {
    return this.isClosed ? 0 : Math.max(0, this.#openUntilMs - Date.now());
  }

  /** Runs a call, or refuses it at once while the circuit is open. */
  async runCall<T>(
    call: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (!this.isClosed && !this.canProbe) return Left(this.#createRefusal());
    return this.#circuitBreaker.execute(call);
  }

  #createRefusal(): Failure {
    return new Failure('no_target', 'the circuit of the target is open', {
      retryAfterMs: Math.ceil(this.retryAfterMs),
    });
  }
}
