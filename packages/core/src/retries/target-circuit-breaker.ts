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
import { jittered } from '../shared/time.js';

export interface TargetBreakerOptions {
  readonly random: () => number;
  /** Failures in a row that open the circuit. */
  readonly threshold?: number;
  readonly onOpen?: () => void;
  readonly onClose?: () => void;
}

const defaultThreshold = 3;
const firstOpenMs = 1_000;
const maxOpenMs = 30_000;
const openJitter = 0.5;

/** True for results that speak of the target rather than of the request. */
const blamesTarget = (result: unknown): boolean => {
  if (!Either.isEither(result)) return false;
  const failure = result.swap().toMaybe().extract();
  if (!(failure instanceof Failure)) return false;
  return failure.code === 'target_failed' || failure.code === 'target_rejected';
};

const openPeriod = (attempt: number, random: () => number): number => {
  const periodMs = Math.min(maxOpenMs, firstOpenMs * 2 ** (attempt - 1));
  return jittered(periodMs, random, openJitter);
};

export class TargetBreaker {
  readonly #policy;
  #closedAgainMs = 0;

  constructor(options: TargetBreakerOptions) {
    const backoff = new DelegateBackoff<{ readonly attempt: number }>(
      ({ attempt }) => {
        const periodMs = openPeriod(attempt, options.random);
        this.#closedAgainMs = Date.now() + periodMs;
        return periodMs;
      },
    );
    this.#policy = circuitBreaker(handleWhenResult(blamesTarget), {
      halfOpenAfter: backoff,
      breaker: new ConsecutiveBreaker(options.threshold ?? defaultThreshold),
    });
    this.#policy.onBreak(() => options.onOpen?.());
    this.#policy.onReset(() => options.onClose?.());
  }

  /** True while requests pass without restriction. */
  get closed(): boolean {
    return this.#policy.state === CircuitState.Closed;
  }

  /** True when the open period is over and one request may try the target. */
  get probing(): boolean {
    return (
      this.#policy.state === CircuitState.Open &&
      Date.now() >= this.#closedAgainMs
    );
  }

  /** Milliseconds until the target may be tried again. */
  get retryAfterMs(): number {
    return this.closed ? 0 : Math.max(0, this.#closedAgainMs - Date.now());
  }

  /** Runs a call, or refuses it at once while the circuit is open. */
  async run<T>(
    call: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    if (!this.closed && !this.probing) return Left(this.#refusal());
    return this.#policy.execute(call);
  }

  #refusal(): Failure {
    return new Failure('no_target', 'the circuit of the target is open', {
      retryAfterMs: Math.ceil(this.retryAfterMs),
    });
  }
}
