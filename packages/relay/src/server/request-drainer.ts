/** Counts running requests and drains them when the process stops. */
import { sleep } from '@medlarlever/core';

/**
 * Milliseconds until the load balancer has detected that this instance is not
 * ready. It checks once a second and removes an instance after two failed
 * checks; new connections may arrive until then.
 */
const balancerDetectionMs = 3_200;

/**
 * Milliseconds from the start of the drain after which only requests are accepted whose
 * deadline lies before its end. New connections come for about two seconds, and their
 * requests seldom take as long as the drain: refusing them would cost more callers than
 * the few that it cuts off. Later requests come on kept connections only, and have to be
 * completed if they are accepted.
 */
const unboundedAcceptanceMs = 2_500;

/**
 * Milliseconds before the process is killed at which the drain stops waiting, and the most
 * that they may be of the grace period. Requests are not cut before its last sixth.
 */
const shutdownReserveMs = 800;
const maxReserveShare = 0.15;

/** Milliseconds within which failures are sent to the callers that have no answer. */
const lastAnswersMs = 100;

/** Milliseconds within which a request sent before the close arrives. */
const inFlightArrivalMs = 50;

/** Tracks running requests and the progress of a drain. */
export class RequestDrainer {
  #isDraining = false;
  #isClosing = false;
  /** For each running request, the function that breaks off its answer. */
  readonly #running = new Set<() => void>();
  #onIdle: (() => void) | undefined;
  /**
   * Latest deadline of an accepted request, in milliseconds on the monotonic clock: the
   * end of the drain once the acceptance is bounded.
   */
  #latestDeadlineMs = Infinity;

  /** True after the drain has started. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** True if connections must close after their current response. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /**
   * Time in milliseconds available to a request that arrives now: until the end of the
   * drain, which cuts off what still runs. Unbounded for the first part of the drain.
   */
  get remainingMs(): number {
    return this.#latestDeadlineMs - performance.now();
  }

  /** Number of requests that are currently running. */
  get runningRequests(): number {
    return this.#running.size;
  }

  /**
   * Counts a started request, whose answer `abortAnswer` breaks off. Call the returned
   * function when the request ends.
   */
  startRequest(abortAnswer: () => void): () => void {
    // A function of its own for each request, as two may pass the same one.
    const abort = () => {
      abortAnswer();
    };
    this.#running.add(abort);
    return () => {
      this.#running.delete(abort);
      if (this.#running.size === 0) this.#onIdle?.();
    };
  }

  /**
   * Breaks off the answers that are not complete, as the process ends. The end of the process
   * would close their connections in the regular way.
   */
  abortAnswers(): void {
    for (const abort of this.#running) abort();
  }

  /**
   * Resolves when the load balancer has detected the stop and no request runs any
   * more, or `shutdownReserveMs` before `graceMs` milliseconds have passed.
   * `stopAccepting` closes idle connections. A request that arrives during the
   * close is still completed. `endUnanswered` ends the requests that still run then and
   * can be answered.
   */
  async drainRequests(
    graceMs: number,
    stopAccepting: () => void,
    endUnanswered: () => void,
  ): Promise<void> {
    this.#isDraining = true;
    const reserveMs = Math.min(shutdownReserveMs, graceMs * maxReserveShare);
    const deadlineAtMs = performance.now() + graceMs - reserveMs;
    const detectionMs = Math.min(balancerDetectionMs, graceMs / 2);
    const unboundedMs = Math.min(unboundedAcceptanceMs, detectionMs);
    await sleep(unboundedMs);
    this.#latestDeadlineMs = deadlineAtMs;
    await sleep(detectionMs - unboundedMs);
    this.#isClosing = true;
    await this.#waitUntilIdle(deadlineAtMs - performance.now());
    stopAccepting();
    await sleep(inFlightArrivalMs);
    await this.#waitUntilIdle(deadlineAtMs - performance.now());
    endUnanswered();
    await this.#waitUntilIdle(lastAnswersMs);
  }

  async #waitUntilIdle(timeoutMs: number): Promise<void> {
    if (this.#running.size === 0 || timeoutMs <= 0) return;
    const idleController = new AbortController();
    this.#onIdle = () => {
      idleController.abort();
    };
    await sleep(timeoutMs, idleController.signal);
  }
}
