/**
 * Gives up a send that makes no progress, so that it can go on at another target. Used only
 * for sends that can be repeated; all others wait until their deadline.
 */
import { LinkedAbort } from '../shared/linked-abort.js';
import { maxStandstillMs } from '../targets/target-probe.js';
import type { ProbeResult, TargetProbe } from '../targets/target-probe.js';
import type { TargetState } from '../targets/target-state.js';

/**
 * The target is probed only after this many times the expected response time without
 * progress.
 */
const probeFactor = 2;

/** Interval between the probes for one send. */
const probeIntervalMs = 1_000;

/** Silence after which a send is given up if no target is reached, and others may be. */
const cutOffSilenceMs = 400;

/**
 * Why a send was given up: the target answers probes, but was `silent` for the stall time;
 * it was `unreached`; it did `stand_still` for longer than sound targets do; or this instance
 * is `cut_off` from all targets.
 */
export type AbortReason = 'silent' | 'unreached' | 'stand_still' | 'cut_off';

/** An abort by the watchdog; `silentMs` is the time without progress before it. */
export interface WatchdogAbort {
  readonly reason: AbortReason;
  readonly silentMs: number;
}

/** Target, time limits and abort signal of the watched send. */
export interface SendWatchdogOptions {
  readonly target: TargetState;
  /** Expected time from the start of the send to its first response bytes. */
  readonly expectedResponseMs: number;
  /** Silence after which the send is given up even if the target is alive. */
  readonly stallTimeoutMs: number;
  /**
   * Longest time between whole events once the first one has arrived; undefined if
   * `stallTimeoutMs` holds for the whole answer.
   */
  readonly eventStallMs?: number;
  /**
   * True for work that must not go on elsewhere while its target may still do it. A target
   * that stands still can't notice that its connection was closed, and goes on when it wakes.
   */
  readonly isExclusive: boolean;
  /**
   * Returns true while silence does not end the send: while the answer is not read, because
   * the caller does not read, or once it can't be had from another target.
   */
  readonly isPaused?: () => boolean;
  /**
   * Returns true if the request can go on elsewhere. Asked before the target is probed and the
   * send is given up, as silence alone is no reason to end an answer.
   */
  readonly canMove: () => boolean;
  /** Returns true if the request can go on elsewhere, and takes the retry for that. */
  readonly reserveMove: () => boolean;
  /** Another signal that aborts the send, such as the request's deadline. */
  readonly signal: AbortSignal;
  readonly probe: TargetProbe;
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
  #isStopped = false;
  #progressCount = 0;
  #nextProbeAtMs = 0;
  /** True if the send was stalled when its target was last probed. */
  #wasStalled = false;
  #abortRecord: WatchdogAbort | undefined;

  constructor(options: SendWatchdogOptions) {
    this.#options = options;
    this.#link = new LinkedAbort(options.signal);
    this.#endChecks = options.target.activity.addCheck(lateMs => {
      this.#checkProgress(lateMs);
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
    this.#progressCount += 1;
    this.#lastActivityAtMs = performance.now();
  }

  stop(): void {
    this.#isStopped = true;
    this.#endChecks();
    this.#link.unlink();
  }

  get #silentMs(): number {
    return performance.now() - this.#lastActivityAtMs;
  }

  get #isStalled(): boolean {
    const { stallTimeoutMs, eventStallMs } = this.#options;
    const timeoutMs = this.#hasEvents
      ? (eventStallMs ?? stallTimeoutMs)
      : stallTimeoutMs;
    return this.#silentMs >= timeoutMs;
  }

  /** True if the target has shown nothing to anyone when this send should have progressed. */
  get #isDoubtful(): boolean {
    const { expectedResponseMs, target } = this.#options;
    return (
      this.#silentMs >= probeFactor * expectedResponseMs &&
      target.isUnresponsive
    );
  }

  /** Gives the send up if the request can go on elsewhere. */
  #giveUp(reason: AbortReason): void {
    if (this.signal.aborted || !this.#options.reserveMove()) return;
    this.#abortRecord = { reason, silentMs: this.#silentMs };
    this.#link.abort();
  }

  #checkProgress(lateMs: number): void {
    const { isCutOff, isExclusive, isPaused } = this.#options;
    const nowMs = performance.now();
    this.#lastActivityAtMs = Math.min(nowMs, this.#lastActivityAtMs + lateMs);
    // A target that is not read cannot show progress.
    if (isPaused?.() === true) this.#lastActivityAtMs = nowMs;
    if (this.#silentMs >= cutOffSilenceMs && isCutOff()) {
      this.#giveUp('cut_off');
      return;
    }
    if (this.#isStalled && !isExclusive) {
      this.#giveUp('silent');
      return;
    }
    if (this.#isProbeDue) void this.#probeTarget();
  }

  get #isProbeDue(): boolean {
    const isStalled = this.#isStalled;
    // A send that has just stalled is given up without a further wait.
    if (isStalled && !this.#wasStalled) return true;
    const isDue = performance.now() >= this.#nextProbeAtMs;
    return isDue && (isStalled || this.#isDoubtful);
  }

  async #probeTarget(): Promise<void> {
    const { canMove, target, probe } = this.#options;
    this.#nextProbeAtMs = performance.now() + probeIntervalMs;
    this.#wasStalled = this.#isStalled;
    if (!canMove()) return;
    const progressCount = this.#progressCount;
    try {
      const result = await probe(target);
      // What came meanwhile says more than the probe.
      const isOutdated = progressCount !== this.#progressCount;
      if (!this.#isStopped && !isOutdated) this.#judgeProbe(result);
    } catch {
      // A probe that failed itself says nothing of the target; it is made again.
    }
  }

  #judgeProbe(result: ProbeResult): void {
    const { isExclusive, target } = this.#options;
    // A busy target answers, so that the send keeps waiting in its queue.
    if (result === 'answers') target.recordActivity();
    if (result === 'answers' || result === 'resets') {
      if (this.#isStalled) this.#giveUp('silent');
      return;
    }
    if (result === 'gone' || result === 'no_connection') {
      this.#giveUp('unreached');
      return;
    }
    const mayStandStill = isExclusive || result === 'unknown';
    if (!mayStandStill || this.#silentMs >= maxStandstillMs)
      this.#giveUp('stand_still');
  }
}
