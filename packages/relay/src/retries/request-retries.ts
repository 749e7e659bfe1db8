/** Counts the sends of one request against the retry budget of its service. */
import { z } from 'zod';

import type { RetryBudget, RetryPermit } from './retry-budget.js';

/** What of a request has arrived at targets before. */
export const earlierArrivalsSchema = z.object({
  /** True if a target has got the request, other than for the prefill below. */
  hasArrived: z.boolean(),
  /** True if a target has prefilled the prompt. That prefill is no arrival. */
  hasPrefilled: z.boolean(),
});
export type EarlierArrivals = z.infer<typeof earlierArrivalsSchema>;

/** Nothing of a request has arrived before. */
export const noArrivals: EarlierArrivals = {
  hasArrived: false,
  hasPrefilled: false,
};

/** What is sent to a target: the prompt, for a prefill alone, or the whole request. */
export type SendStep = 'prefill' | 'run';

/** What became of a send: a prefill was `prefilled`, or nothing was `unsent`. */
export type SendResult = 'arrived' | 'prefilled' | 'unsent';

/**
 * The first arrival of a request at a target is free, and so is its first prefill that
 * succeeds; each further arrival takes a retry. It counts when it is sent.
 */
export class RequestRetries {
  readonly #reserved: RetryPermit[] = [];
  #hasArrived: boolean;
  #hasPrefilled: boolean;

  constructor(
    private readonly budget: RetryBudget,
    earlier = noArrivals,
  ) {
    this.#hasArrived = earlier.hasArrived;
    this.#hasPrefilled = earlier.hasPrefilled;
  }

  /** What has arrived so far. */
  get arrivals(): EarlierArrivals {
    return { hasArrived: this.#hasArrived, hasPrefilled: this.#hasPrefilled };
  }

  /** True if the request can be sent once more after the current send has failed. */
  get canRepeat(): boolean {
    const missingCount = this.#repeatCost - this.#reserved.length;
    return missingCount <= 0 || this.budget.remainingRetries >= missingCount;
  }

  /** Reserves what `canRepeat` asks for; false if the budget is exhausted. */
  reserveRepeat(): boolean {
    return this.canRepeat && this.#reserve(this.#repeatCost);
  }

  /** Reserves one retry, if none is, and returns true; false if the budget is exhausted. */
  reserveRetry(): boolean {
    return this.#reserve(1);
  }

  /**
   * Reserves the retries for the step, and for the run that follows a prefill; false if the
   * budget is exhausted.
   */
  reserveFor(step: SendStep): boolean {
    const repeatsPrefill = step === 'prefill' && this.#hasPrefilled;
    return this.#reserve(Number(repeatsPrefill) + Number(this.#hasArrived));
  }

  /**
   * Counts a send for which `reserveFor` has returned true. The returned function is to be
   * called with its result.
   */
  startSend(): (result: SendResult) => void {
    const permit = this.#hasArrived ? this.#reserved.pop() : undefined;
    permit?.use();
    return result => {
      const isFree = result === 'prefilled' && !this.#hasPrefilled;
      if (result === 'prefilled') this.#hasPrefilled = true;
      if (result === 'unsent' || isFree) this.#takeBack(permit);
      else this.#hasArrived = true;
    };
  }

  /** Treats the request as arrived, as it may have been sent elsewhere. */
  recordPossibleArrival(): void {
    this.#hasArrived = true;
  }

  /** Gives back the retries that were not sent. */
  release(): void {
    for (const permit of this.#reserved.splice(0)) permit.release();
  }

  /** Retries that a repeat takes at most: a run, and a prefill before it if there was one. */
  get #repeatCost(): number {
    return 1 + Number(this.#hasPrefilled);
  }

  #reserve(count: number): boolean {
    while (this.#reserved.length < count) {
      const permit = this.budget.tryReserveRetry();
      if (permit === undefined) return false;
      this.#reserved.push(permit);
    }
    return true;
  }

  #takeBack(permit: RetryPermit | undefined): void {
    if (permit === undefined) return;
    permit.undoUse();
    this.#reserved.push(permit);
  }
}
