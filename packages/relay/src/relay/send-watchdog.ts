/**
 * Ends a send that shows no sign of life. Only for what may be sent again:
 * anything else waits for its time.
 */
import type { TargetState } from '../targets/target-state.js';

/** How often a send is checked. */
const checkMs = 100;

/** A send is not suspected before this many times its expected duration. */
const darkPatienceFactor = 2;

/** Asks a target, on a connection of its own, whether it still answers. */
export type LivenessCheck = (target: TargetState) => Promise<boolean>;

export interface SendWatchOptions {
  readonly target: TargetState;
  /** Time to the first sign of life when all is well. */
  readonly expectedMs: number;
  /** Silence of this send after which it is given up, whatever the target. */
  readonly stalledMs: number;
  /** Ends the send as well. */
  readonly signal: AbortSignal;
  readonly answers: LivenessCheck;
}

export class SendWatch {
  readonly signal: AbortSignal;
  readonly #options: SendWatchOptions;
  readonly #silent = new AbortController();
  readonly #timer: NodeJS.Timeout;
  #heardAtMs = performance.now();
  #asking = false;

  constructor(options: SendWatchOptions) {
    this.#options = options;
    this.signal = AbortSignal.any([options.signal, this.#silent.signal]);
    this.#timer = setInterval(() => {
      this.#check();
    }, checkMs);
  }

  /** Notes a part of the answer. */
  heard(): void {
    this.#heardAtMs = performance.now();
  }

  end(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    const { target, expectedMs, stalledMs } = this.#options;
    const silentMs = performance.now() - this.#heardAtMs;
    if (silentMs >= stalledMs) {
      this.#silent.abort();
      return;
    }
    const suspect = silentMs >= darkPatienceFactor * expectedMs;
    if (suspect && target.dark && !this.#asking) void this.#ask();
  }

  /** A target that is merely busy answers; its queue is waited for. */
  async #ask(): Promise<void> {
    const { target, answers } = this.#options;
    this.#asking = true;
    if (await answers(target)) target.heard();
    else this.#silent.abort();
    this.#asking = false;
  }
}
