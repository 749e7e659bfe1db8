/** Decides when this instance may send a request to one target that names a limit. */
import { LimitStatement } from './limit-statement.js';
import { computeLimitShare, computeSendRate } from './limit-share.js';
import type { LimitGroup, LimitShare } from './limit-share.js';

const msPerSecond = 1_000;

/** Changes of the group of instances are taken over after this time. */
const shareTtlMs = 1_000;

/**
 * Time without any answer of the target, here or at a peer, after which instances
 * that don't have a part of the limit try a request as well. Those that have one may
 * be gone, or may have no requests for the target.
 */
const silenceBeforeTrialMs = 4_000;

/**
 * Mean time between the trials of all instances together. Each instance draws its own
 * time at random.
 */
const meanTrialIntervalMs = 2_000;

/** Dependencies of {@link RequestLimiter}. */
export interface RequestLimiterOptions {
  /** Id of the target. */
  readonly target: string;
  /** Returns the instances among which the limit is divided. */
  readonly getGroup: () => LimitGroup;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

/** Share of this instance, and the time until which it holds. */
interface CachedShare {
  readonly share: LimitShare | undefined;
  readonly limit: number;
  readonly expiresAtMs: number;
}

/** Counts the requests of this instance against its part of the target's limit. */
export class RequestLimiter {
  readonly statement = new LimitStatement();
  readonly #options: RequestLimiterOptions;
  #cachedShare: CachedShare | undefined;
  /** Requests that may be sent now; a fraction of one grows until it is whole. */
  #permits = 0;
  #updatedAtMs = 0;
  #trialDelayMs: number | undefined;
  #lastTrialAtMs = -Infinity;

  constructor(options: RequestLimiterOptions) {
    this.#options = options;
  }

  /** Requests a second that all instances together send; undefined without a limit. */
  get sendRate(): number | undefined {
    const { requestsPerSecond } = this.statement;
    return requestsPerSecond === undefined
      ? undefined
      : computeSendRate(requestsPerSecond);
  }

  /** True if this instance may send a request now. */
  get hasPermit(): boolean {
    const share = this.#updateShare();
    if (share === 'unlimited') return true;
    return share === undefined ? this.#isTrialDue() : this.#permits >= 1;
  }

  /**
   * Mean time until the target takes the next request, from whichever instance; 0 if
   * this instance may send one now.
   */
  get waitMs(): number {
    const { sendRate } = this;
    if (sendRate === undefined || this.hasPermit) return 0;
    return msPerSecond / sendRate;
  }

  /** Counts a request that is sent, or is going to be. */
  takePermit(): void {
    const share = this.#updateShare();
    if (share === 'unlimited') return;
    if (share === undefined) this.#startTrial();
    else this.#permits -= 1;
  }

  /**
   * Takes a permit for a request that is going to be sent later. The returned function
   * gives it back, to be taken again by the send itself.
   */
  holdPermit(): () => void {
    this.takePermit();
    let isHeld = true;
    return () => {
      if (isHeld) this.#returnPermit();
      isHeld = false;
    };
  }

  /** Takes a permit if there is one, and returns whether there was. */
  tryTakePermit(): boolean {
    if (!this.hasPermit) return false;
    this.takePermit();
    return true;
  }

  /** Forgets the limit, because the target has restarted. */
  clear(): void {
    this.statement.clear();
    this.#forgetShare();
  }

  #returnPermit(): void {
    const share = this.#updateShare();
    if (share === 'unlimited') return;
    if (share === undefined) this.#lastTrialAtMs = -Infinity;
    else this.#permits = Math.min(share.burst, this.#permits + 1);
  }

  #forgetShare(): void {
    this.#cachedShare = undefined;
    this.#trialDelayMs = undefined;
  }

  /** Returns the current share and adds the permits that have become due. */
  #updateShare(): LimitShare | undefined | 'unlimited' {
    const limit = this.statement.requestsPerSecond;
    if (limit === undefined) {
      this.#forgetShare();
      return 'unlimited';
    }
    const nowMs = performance.now();
    const previous = this.#cachedShare;
    if (previous !== undefined) this.#addPermits(previous.share, nowMs);
    const isValid = previous?.limit === limit && nowMs < previous.expiresAtMs;
    if (isValid) return previous.share;
    const { target, getGroup } = this.#options;
    const share = computeLimitShare(limit, target, getGroup());
    this.#cachedShare = { share, limit, expiresAtMs: nowMs + shareTtlMs };
    if (previous === undefined) this.#startCounting(share);
    // Who has just got a part waits for its first permit: another instance may
    // have used that part a moment ago.
    else if (previous.share === undefined) this.#permits = 0;
    return share;
  }

  /** Counts from the time at which the limit became known, without any permit. */
  #startCounting(share: LimitShare | undefined): void {
    this.#permits = 0;
    this.#updatedAtMs = this.statement.limitedSinceMs;
    this.#addPermits(share, performance.now());
  }

  #addPermits(share: LimitShare | undefined, nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedAtMs;
    this.#updatedAtMs = nowMs;
    if (share === undefined) return;
    const { requestsPerSecond, burst } = share;
    this.#permits = Math.min(
      burst,
      this.#permits + (elapsedMs * requestsPerSecond) / msPerSecond,
    );
  }

  /** True if the target has been silent for so long that this instance may try it. */
  #isTrialDue(): boolean {
    this.#trialDelayMs ??= this.#drawTrialDelay();
    const quietSinceMs = Math.max(
      this.statement.validFromMs,
      this.#lastTrialAtMs,
    );
    const silentMs = performance.now() - quietSinceMs;
    return silentMs >= silenceBeforeTrialMs + this.#trialDelayMs;
  }

  #startTrial(): void {
    this.#lastTrialAtMs = performance.now();
    this.#trialDelayMs = this.#drawTrialDelay();
  }

  #drawTrialDelay(): number {
    const { getGroup, random } = this.#options;
    return 2 * random() * meanTrialIntervalMs * getGroup().names.length;
  }
}
