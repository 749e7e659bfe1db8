/**
 * Ends a send that shows no sign of life. Only for what may be sent again:
 * anything else waits for its time.
 */
import type { TargetState } from '../targets/target-state.js';

/** How often a send is checked. */
const checkIntervalMs = 100;

/** A send is not suspected before this many times its expected duration. */
const livenessCheckFactor = 2;

/** Asks a target, on a connection of its own, whether it still answers. */
export type LivenessCheck = (target: TargetState) => Promise<boolean>;

export interface SendWatchdogOptions {
  readonly target: TargetState;
  /** Time to the first sign of life when all is well. */
  readonly expectedResponseMs: number;
  /** Silence of this send after which it is given up, whatever the target. */
  readonly stallTimeoutMs: number;
  /** Ends the send as well. */
  readonly signal: AbortSignal;
  readonly checkLiveness: LivenessCheck;
}

export class SendWatchdog {
  readonly signal: AbortSignal;
  readonly #options: SendWatchdogOptions;
  readonly #abortController = new AbortController();
  readonly #checkTimer: NodeJS.Timeout;
  #lastActivityAtMs = performance.now();
  #isCheckingLiveness = false;

  constructor(options: SendWatchdogOptions) {
    this.#options = options;
    this.signal = AbortSignal.any([
      options.signal,
      this.#abortController.signal,
    ]);
    this.#checkTimer = setInterval(() => {
      this.#checkProgress();
    }, checkIntervalMs);
  }

  /** Notes a part of the answer. */
  recordActivity(): void {
    this.#lastActivityAtMs = performance.now();
  }

  stop(): void {
    clearInterval(this.#checkTimer);
  }

  #checkProgress(): void {
    const {
      target,
      expectedResponseMs: expectedMs,
      stallTimeoutMs: stalledMs,
    } = this.#options;
    const silentMs = performance.now() - this.#lastActivityAtMs;
    if (silentMs >= stalledMs) {
      this.#abortController.abort();
      return;
    }
    const suspect = silentMs >= livenessCheckFactor * expectedMs;
    if (suspect && target.isUnresponsive && !this.#isCheckingLiveness)
      void this.#checkLiveness();
  }

  /** A target that is merely busy answers; its queue is waited for. */
  async #checkLiveness(): Promise<void> {
    const { target, checkLiveness: answers } = this.#options;
    this.#isCheckingLiveness = true;
    if (await answers(target)) target.recordActivity();
    else this.#abortController.abort();
    this.#isCheckingLiveness = false;
  }
}
