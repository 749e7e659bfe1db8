/** Load, health and prefix cache of one target as known to this instance. */
import { RequestLimiter } from '../limits/request-limiter.js';
import type { PromptSegment } from '../requests/relay-request.js';
import { HeldTokens } from '../room/held-tokens.js';
import { ReportedTokens } from '../room/reported-tokens.js';

import { PrefixCacheEstimate } from './prefix-cache-estimate.js';
import { RequestActivity } from './request-activity.js';
import type { TargetRecord } from './target-record.js';

/** Load that one instance has placed at a target. */
export interface TargetLoad {
  /** Prompt tokens sent to the target whose prefill has not completed. */
  readonly pendingPrefillTokens: number;
  /** Requests that are running or queued at the target. */
  readonly activeRequestCount: number;
  /** Tokens of the KV caches that the requests take; absent if not reported. */
  readonly heldTokens?: number;
  /** Requests whose tokens `heldTokens` includes. */
  readonly countedRequests?: number;
}

/** Ratios of measured to expected durations. */
export interface SlownessSamples {
  /** Mean of the ratios; 1 means that durations are as expected. */
  readonly meanRatio: number;
  readonly sampleCount: number;
}

/** What a target has asked for in its answers. */
export interface TargetDemands {
  /** Knows the limit that the target named, and what was sent against it. */
  readonly limiter: RequestLimiter;
  /** Monotonic milliseconds until which the target wants no requests. */
  readonly quietUntilMs: number;
}

const noSlownessSamples: SlownessSamples = { meanRatio: 0, sampleCount: 0 };

/** Load of an idle target. */
export const zeroLoad: TargetLoad = {
  pendingPrefillTokens: 0,
  activeRequestCount: 0,
};

/**
 * Milliseconds without activity after which a target with requests is
 * unresponsive.
 */
const unresponsiveAfterMs = 900;

/** Weight of a new sample in the moving average of the slowness. */
const movingAverageWeight = 0.3;

/**
 * Milliseconds that a target is avoided once it has reached the failure
 * threshold; doubles with each further consecutive failure, up to the maximum.
 */
const initialAvoidanceMs = 800;
const maxAvoidanceMs = 6_400;

/** Consecutive failures after which a target is avoided. */
const failureThreshold = 2;

/** Mutable state of one target; the registry holds one per target. */
export class TargetState {
  record: TargetRecord;
  /** Monotonic milliseconds at which the target began to leave, if it did. */
  leavingSinceMs: number | undefined;
  /** Monotonic milliseconds at which the leaving target ends, if it said so. */
  endsAtMs: number | undefined;
  /**
   * True if the target itself announced in a response that it leaves. Its
   * registration does not revoke that.
   */
  hasAnnouncedLeaving = false;
  readonly prefixCache: PrefixCacheEstimate;
  /** Counts the requests to the target against the limit that it names. */
  limiter: RequestLimiter;
  /** Memory that the requests of this instance take at an engine. */
  readonly heldTokens = new HeldTokens();
  /** Memory that the requests of the other instances take at an engine. */
  readonly reportedTokens = new ReportedTokens();
  #pendingPrefillTokens = 0;
  #activeRequestCount = 0;
  #consecutiveFailures = 0;
  #avoidedUntilMs = 0;
  #roleChangeUntilMs = 0;
  #quietUntilMs = 0;
  #slowness = 1;
  #unreportedSamples = noSlownessSamples;
  #otherInstancesLoad: TargetLoad = zeroLoad;
  #lastSeenAtMs = performance.now();
  #lastAnswerAtMs = -Infinity;

  constructor(
    record: TargetRecord,
    getKvCacheTokens: () => number,
    limiter = createSoleInstanceLimiter(record.id),
    readonly activity = new RequestActivity(),
  ) {
    this.record = record;
    this.limiter = limiter;
    this.prefixCache = new PrefixCacheEstimate(getKvCacheTokens);
  }

  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** Load that this instance has placed at the target. */
  get localLoad(): TargetLoad {
    return {
      pendingPrefillTokens: this.#pendingPrefillTokens,
      activeRequestCount: this.#activeRequestCount,
    };
  }

  /** Prompt tokens with pending prefill, from all instances. */
  get pendingPrefillTokens(): number {
    return (
      this.#pendingPrefillTokens + this.#otherInstancesLoad.pendingPrefillTokens
    );
  }

  /** Running and queued requests from all instances. */
  get activeRequestCount(): number {
    return (
      this.#activeRequestCount + this.#otherInstancesLoad.activeRequestCount
    );
  }

  /** Moving average of the ratio of measured to expected durations. */
  get slowness(): number {
    return this.#slowness;
  }

  /** True while the target changes its role. */
  get isChangingRole(): boolean {
    return performance.now() < this.#roleChangeUntilMs;
  }

  /** Blocks new requests for the given time from now; 0 ends the role change. */
  startRoleChange(durationMs: number): void {
    this.#roleChangeUntilMs = performance.now() + durationMs;
  }

  /** What the target has asked for. */
  get demands(): TargetDemands {
    return { limiter: this.limiter, quietUntilMs: this.#quietUntilMs };
  }

  /**
   * Milliseconds for which the target wants no further requests from this instance;
   * 0 if it accepts them.
   */
  get remainingQuietMs(): number {
    return Math.max(0, this.#quietUntilMs - performance.now());
  }

  /** True if neither a pause nor a limit of the target keeps requests back now. */
  get acceptsRequests(): boolean {
    return this.remainingQuietMs === 0 && this.limiter.hasPermit;
  }

  /**
   * Counts a probe and returns true, or returns false if it would break the pause or the
   * limit that the target asked for.
   */
  tryTakeProbePermit(): boolean {
    return this.remainingQuietMs === 0 && this.limiter.tryTakePermit();
  }

  /** True while the target names a limit for the requests of all instances. */
  get isLimited(): boolean {
    return this.limiter.statement.requestsPerSecond !== undefined;
  }

  /** Time until the target takes requests again; 0 if it does now. */
  get refusalMs(): number {
    return Math.max(this.remainingQuietMs, this.limiter.waitMs);
  }

  /** Sends the target nothing for the given time from now. */
  startQuietPeriod(durationMs: number): void {
    this.#quietUntilMs = Math.max(
      this.#quietUntilMs,
      performance.now() + durationMs,
    );
  }

  /** True while the target is avoided because of failures or inactivity. */
  get isAvoided(): boolean {
    return performance.now() < this.#avoidedUntilMs || this.isUnresponsive;
  }

  /** True when the target has requests but shows no activity to any instance. */
  get isUnresponsive(): boolean {
    return (
      this.activeRequestCount > 0 && this.msSinceLastSeen > unresponsiveAfterMs
    );
  }

  /** Time since the last activity of the target that is known here. */
  get msSinceLastSeen(): number {
    return performance.now() - this.#lastSeenAtMs;
  }

  /** Records activity of the target that was seen `ageMs` milliseconds ago. */
  recordActivity(ageMs = 0): void {
    this.#lastSeenAtMs = Math.max(
      this.#lastSeenAtMs,
      performance.now() - ageMs,
    );
  }

  /** Records that an answer, or a part of one, has just arrived here. */
  recordAnswer(): void {
    this.recordActivity();
    this.#lastAnswerAtMs = performance.now();
  }

  /** Time since an answer, or a part of one, last arrived here; Infinity if none did. */
  get msSinceLastAnswer(): number {
    return performance.now() - this.#lastAnswerAtMs;
  }

  /** Sets the total load that the other instances last reported. */
  setOtherInstancesLoad(load: TargetLoad): void {
    this.#otherInstancesLoad = load;
    const { heldTokens = 0, countedRequests = 0, activeRequestCount } = load;
    this.reportedTokens.record({
      heldTokens,
      uncountedRequests: Math.max(0, activeRequestCount - countedRequests),
    });
  }

  /** Counts a request at the target; the returned function removes it. */
  startRequest(): () => void {
    if (this.activeRequestCount === 0) this.recordActivity();
    this.#activeRequestCount += 1;
    this.limiter.takePermit();
    const endActivity = this.activity.startRequest();
    return createOneTimeCallback(() => {
      this.#activeRequestCount -= 1;
      endActivity();
    });
  }

  /**
   * Adds a pending prefill that is expected to complete in `expectedMs` from now;
   * the returned function removes it.
   */
  startPrefill(
    segments: readonly PromptSegment[],
    tokens: number,
    expectedMs = 0,
  ): () => void {
    this.#pendingPrefillTokens += tokens;
    this.prefixCache.addSegments(segments, expectedMs);
    return createOneTimeCallback(() => {
      this.#pendingPrefillTokens -= tokens;
    });
  }

  /** Adds the ratio of a measured to an expected duration to the slowness. */
  recordDuration(actualMs: number, expectedMs: number): void {
    const ratio = Math.min(20, Math.max(0.2, actualMs / expectedMs));
    this.mergeSlownessSamples({ meanRatio: ratio, sampleCount: 1 });
    const { meanRatio, sampleCount } = this.#unreportedSamples;
    const sum = meanRatio * sampleCount + ratio;
    this.#unreportedSamples = {
      meanRatio: sum / (sampleCount + 1),
      sampleCount: sampleCount + 1,
    };
  }

  /** Adds samples of this or another instance to the slowness. */
  mergeSlownessSamples({
    meanRatio: ratio,
    sampleCount,
  }: SlownessSamples): void {
    const weight = 1 - (1 - movingAverageWeight) ** sampleCount;
    this.#slowness += weight * (ratio - this.#slowness);
  }

  /** Returns and clears the samples to report to the other instances. */
  takeUnreportedSamples(): SlownessSamples {
    const unreportedSamples = this.#unreportedSamples;
    this.#unreportedSamples = noSlownessSamples;
    return unreportedSamples;
  }

  /** Records a successful request, which ends the avoidance of the target. */
  recordSuccess(): void {
    this.recordAnswer();
    this.#consecutiveFailures = 0;
    this.#avoidedUntilMs = 0;
  }

  /**
   * Records a failure. At `failureThreshold` consecutive failures the target is
   * avoided for a while; one failure that was certainly caused by the target
   * (`isConclusive`) is enough.
   */
  recordFailure(isConclusive: boolean): void {
    this.#consecutiveFailures += isConclusive ? failureThreshold : 1;
    const extraFailures = this.#consecutiveFailures - failureThreshold;
    if (extraFailures < 0) return;
    const avoidMs = Math.min(
      maxAvoidanceMs,
      initialAvoidanceMs * 2 ** extraFailures,
    );
    this.#avoidedUntilMs = performance.now() + avoidMs;
  }

  /** Ends the avoidance of the target, whose failures were not its own. */
  forgetFailures(): void {
    this.recordActivity();
    this.#consecutiveFailures = 0;
    this.#avoidedUntilMs = 0;
  }

  /** Takes over what the incarnation asked for before its entry lapsed. */
  restoreDemands({ limiter, quietUntilMs }: TargetDemands): void {
    this.limiter = limiter;
    this.#quietUntilMs = quietUntilMs;
  }

  /** Resets cache and health for a target that restarted under the same id. */
  resetAfterRestart(record: TargetRecord): void {
    this.record = record;
    this.leavingSinceMs = undefined;
    this.endsAtMs = undefined;
    this.hasAnnouncedLeaving = false;
    this.prefixCache.clear();
    this.#consecutiveFailures = 0;
    this.#avoidedUntilMs = 0;
    this.#roleChangeUntilMs = 0;
    this.#quietUntilMs = 0;
    this.limiter.clear();
    this.#slowness = 1;
    this.#lastAnswerAtMs = -Infinity;
  }
}

const createOneTimeCallback = (action: () => void): (() => void) => {
  let hasRun = false;
  return () => {
    if (hasRun) return;
    hasRun = true;
    action();
  };
};

/** Creates the limiter of a deployment with one instance. */
const createSoleInstanceLimiter = (target: string): RequestLimiter =>
  new RequestLimiter({
    target,
    getGroup: () => ({ self: '', names: [''] }),
    random: Math.random,
  });
