/**
 * Aborts a send that makes no progress. Used only for sends that can be retried;
 * all others wait until their deadline.
 */
import { LinkedAbort } from '../shared/linked-abort.js';
import type { TargetState } from '../targets/target-state.js';

/**
 * The target's liveness is checked only after this many times the expected response
 * time without progress.
 */
const livenessCheckFactor = 2;

/** Silence after which a send is aborted if no target is reached, and others may be. */
const cutOffSilenceMs = 400;

/**
 * Why a send was aborted: `silent` without progress for the stall time, `unresponsive` when
 * the target answered no probe, `cut_off` when this instance reaches no target.
 */
export type AbortReason = 'silent' | 'unresponsive' | 'cut_off';

/** An abort by the watchdog; `silentMs` is the time without progress before it. */
export interface WatchdogAbort {
  readonly reason: AbortReason;
  readonly silentMs: number;
}

/** Resolves to true if the target answers a probe on a separate connection. */
export type LivenessCheck = (target: TargetState) => Promise<boolean>;

/** Target, time limits and abort signal of the watched send. */
export interface SendWatchdogOptions {
  readonly target: TargetState;
  /** Expected time from the start of the send to its first response bytes. */
  readonly expectedResponseMs: number;
  /** Silence after which the send is aborted even if the target is alive. */
  readonly stallTimeoutMs: number;
  /**
   * Longest time between whole events once the first one has arrived; undefined if
   * `stallTimeoutMs` holds for the whole answer.
   */
  readonly eventStallMs?: number;
  /**
   * Returns true while silence does not end the send: while the answer is not read, because
   * the caller does not read, or once it can't be had from another target.
   */
  readonly isPaused?: () => boolean;
  /** Another signal that aborts the send, such as the request's deadline. */
  readonly signal: AbortSignal;
  readonly checkLiveness: LivenessCheck;
  /** Returns true while this instance reaches no target. */
  readonly isCutOff: () => boolean;
}

/** Watches one send until `stop` is called. */
export class SendWatchdog {
  readonly #options: SendWatchdogOptions;
  readonly #link: LinkedAbort;
  readonly #endChecks: () => void;
  #lastActivityAtMs = performance.now();
  #hasEvents = false;
  #isCheckingLiveness = false;
  #abortRecord: WatchdogAbort | undefined;

  constructor(options: SendWatchdogOptions) {
    this.#options = options;
    this.#link = new LinkedAbort(options.signal);
    this.#endChecks = options.target.activity.addCheck(() => {
      this.#checkProgress();
    });
  }

  /** Aborts when the watchdog or the signal in the options aborts the send. */
  get signal(): AbortSignal {
    return this.#link.signal;
  }

  /** The abort by this watchdog; undefined if it has not aborted the send. */
  get abort(): WatchdogAbort | undefined {
    return this.#abortRecord;
  }

  /** Records that part of the answer has arrived. */
  recordActivity(): void {
    this.#hasEvents = true;
    this.#lastActivityAtMs = performance.now();
  }

  stop(): void {
    this.#endChecks();
    this.#link.unlink();
  }

  get #stallTimeoutMs(): number {
    const { stallTimeoutMs, eventStallMs } = this.#options;
    return this.#hasEvents ? (eventStallMs ?? stallTimeoutMs) : stallTimeoutMs;
  }

  get #silentMs(): number {
    return performance.now() - this.#lastActivityAtMs;
  }

  #abort(reason: AbortReason): void {
    this.#abortRecord ??= { reason, silentMs: this.#silentMs };
    this.#link.abort();
  }

  #checkProgress(): void {
    const { target, expectedResponseMs, isCutOff, isPaused } = this.#options;
    // A target that is not read cannot show progress.
    if (isPaused?.() === true) this.#lastActivityAtMs = performance.now();
    const silentMs = this.#silentMs;
    if (silentMs >= cutOffSilenceMs && isCutOff()) {
      this.#abort('cut_off');
      return;
    }
    if (silentMs >= this.#stallTimeoutMs) {
      this.#abort('silent');
      return;
    }
    const needsLivenessCheck =
      silentMs >= livenessCheckFactor * expectedResponseMs;
    if (
      needsLivenessCheck &&
      target.isUnresponsive &&
      !this.#isCheckingLiveness
    )
      void this.#checkLiveness();
  }

  /**
   * Aborts the send if the target does not answer a probe. A busy target answers, so
   * that the send keeps waiting in its queue.
   */
  async #checkLiveness(): Promise<void> {
    const { target, checkLiveness } = this.#options;
    this.#isCheckingLiveness = true;
    try {
      if (await checkLiveness(target)) target.recordActivity();
      else this.#abort('unresponsive');
    } catch {
      // A check that failed itself says nothing of the target; it is made again.
    } finally {
      this.#isCheckingLiveness = false;
    }
  }
}
