/** Readiness and the graceful end of the callers' interface. */
import { sleep } from '@medlarlever/core';

/**
 * The balancer looks once a second and takes an instance out after two
 * misses; connections may still arrive until then.
 */
const balancerDetectionMs = 3_200;

/** Time before the forced end at which what still runs is given up. */
const shutdownReserveMs = 800;

/** Time in which a request that was sent before the close has arrived. */
const inFlightArrivalMs = 50;

export class RequestDrainer {
  #isDraining = false;
  #isClosing = false;
  #runningRequests = 0;
  #onIdle: (() => void) | undefined;
  #deadlineAtMs = Infinity;

  /** True once a stop was asked for. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** True when connections end with the answer under way. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /**
   * Time that a request which arrives now can be given. Unbounded until the
   * balancer has looked away.
   */
  get remainingMs(): number {
    return this.#isClosing ? this.#deadlineAtMs - performance.now() : Infinity;
  }

  get runningRequests(): number {
    return this.#runningRequests;
  }

  /** Counts a request in; the result counts it out. */
  startRequest(): () => void {
    this.#runningRequests += 1;
    return () => {
      this.#runningRequests -= 1;
      if (this.#runningRequests === 0) this.#onIdle?.();
    };
  }

  /**
   * Resolves when the balancer has looked away and nothing runs any more.
   * `stopAccepting` closes what is idle; a request that crosses it still ends.
   */
  async drainRequests(
    graceMs: number,
    stopAccepting: () => void,
  ): Promise<void> {
    this.#isDraining = true;
    const endMs = performance.now() + graceMs - shutdownReserveMs;
    this.#deadlineAtMs = endMs;
    await sleep(Math.min(balancerDetectionMs, graceMs / 2));
    this.#isClosing = true;
    await this.#waitUntilIdle(endMs - performance.now());
    stopAccepting();
    await sleep(inFlightArrivalMs);
    await this.#waitUntilIdle(endMs - performance.now());
  }

  async #waitUntilIdle(ms: number): Promise<void> {
    if (this.#runningRequests === 0 || ms <= 0) return;
    const done = new AbortController();
    this.#onIdle = () => {
      done.abort();
    };
    await sleep(ms, done.signal);
  }
}
