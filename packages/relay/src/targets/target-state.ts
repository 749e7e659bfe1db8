/** What this instance knows of one target beyond its registration. */
import type { PromptSegment } from '../requests/relay-request.js';

import { PrefixCacheEstimate } from './prefix-cache-estimate.js';
import type { TargetRecord } from './target-record.js';

/** Work at a target, as known to one instance. */
export interface TargetLoad {
  /** Prompt tokens sent there that are not read yet. */
  readonly pendingPrefillTokens: number;
  /** Requests that are running or waiting there. */
  readonly activeRequestCount: number;
}

/** Times taken against what was expected. */
export interface SlownessSamples {
  /** Mean ratio; 1 when as expected. */
  readonly meanRatio: number;
  readonly sampleCount: number;
}

const noSlownessSamples: SlownessSamples = { meanRatio: 0, sampleCount: 0 };

export const noLoad: TargetLoad = {
  pendingPrefillTokens: 0,
  activeRequestCount: 0,
};

/** A target with work that nobody heard of for so long has gone dark. */
const unresponsiveAfterMs = 900;

/** Share of a new sample in a moving average. */
const movingAverageWeight = 0.3;

/** First avoidance after a failure; doubles with each further one. */
const initialAvoidanceMs = 800;
const maxAvoidanceMs = 6_400;

/** Failures in a row after which a target is avoided. */
const failureThreshold = 2;

export class TargetState {
  record: TargetRecord;
  /** Monotonic milliseconds since which no new work may be sent. */
  leavingSinceMs: number | undefined;
  readonly prefixCache: PrefixCacheEstimate;
  #pendingPrefillTokens = 0;
  #activeRequestCount = 0;
  #consecutiveFailures = 0;
  #avoidedUntilMs = 0;
  #roleChangeUntilMs = 0;
  #slowness = 1;
  #unreportedSamples = noSlownessSamples;
  #otherInstancesLoad: TargetLoad = noLoad;
  #lastSeenAtMs = performance.now();

  constructor(record: TargetRecord, kvTokens: number) {
    this.record = record;
    this.prefixCache = new PrefixCacheEstimate(kvTokens);
  }

  get isLeaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** Load of this instance alone. */
  get localLoad(): TargetLoad {
    return {
      pendingPrefillTokens: this.#pendingPrefillTokens,
      activeRequestCount: this.#activeRequestCount,
    };
  }

  /** Unread prompt tokens of all instances. */
  get pendingPrefillTokens(): number {
    return (
      this.#pendingPrefillTokens + this.#otherInstancesLoad.pendingPrefillTokens
    );
  }

  /** Requests of all instances. */
  get activeRequestCount(): number {
    return (
      this.#activeRequestCount + this.#otherInstancesLoad.activeRequestCount
    );
  }

  /** Time taken against what was expected; 1 when as expected. */
  get slowness(): number {
    return this.#slowness;
  }

  /** True while it changes its role. */
  get isChangingRole(): boolean {
    return performance.now() < this.#roleChangeUntilMs;
  }

  /** No new work for the time; zero ends it. */
  startRoleChange(ms: number): void {
    this.#roleChangeUntilMs = performance.now() + ms;
  }

  /** True while recent failures or silence speak against sending there. */
  get isAvoided(): boolean {
    return performance.now() < this.#avoidedUntilMs || this.isUnresponsive;
  }

  /** True when it has work and no instance heard of it for long. */
  get isUnresponsive(): boolean {
    return (
      this.activeRequestCount > 0 && this.msSinceLastSeen > unresponsiveAfterMs
    );
  }

  /** Time since any instance heard of the target, as far as is known. */
  get msSinceLastSeen(): number {
    return performance.now() - this.#lastSeenAtMs;
  }

  /** Notes a sign of life that came `ageMs` ago. */
  recordActivity(ageMs = 0): void {
    this.#lastSeenAtMs = Math.max(
      this.#lastSeenAtMs,
      performance.now() - ageMs,
    );
  }

  /** Sets the load that the other instances last told of. */
  setOtherInstancesLoad(load: TargetLoad): void {
    this.#otherInstancesLoad = load;
  }

  /** Counts a request in; the result counts it out. */
  startRequest(): () => void {
    if (this.activeRequestCount === 0) this.recordActivity();
    this.#activeRequestCount += 1;
    return createOneTimeCallback(() => {
      this.#activeRequestCount -= 1;
    });
  }

  /**
   * Counts a prompt to read, which is expected to take the time; the result
   * counts it as read.
   */
  startPrefill(
    parts: readonly PromptSegment[],
    tokens: number,
    expectedMs = 0,
  ): () => void {
    this.#pendingPrefillTokens += tokens;
    this.prefixCache.addSegments(parts, expectedMs);
    return createOneTimeCallback(() => {
      this.#pendingPrefillTokens -= tokens;
    });
  }

  /** Notes how long something took against what was expected. */
  recordDuration(actualMs: number, expectedMs: number): void {
    const ratio = Math.min(20, Math.max(0.2, actualMs / expectedMs));
    this.mergeSlownessSamples({ meanRatio: ratio, sampleCount: 1 });
    const { meanRatio: mean, sampleCount: samples } = this.#unreportedSamples;
    const sum = mean * samples + ratio;
    this.#unreportedSamples = {
      meanRatio: sum / (samples + 1),
      sampleCount: samples + 1,
    };
  }

  /** Takes in what others saw, or what was seen here. */
  mergeSlownessSamples({
    meanRatio: ratio,
    sampleCount: samples,
  }: SlownessSamples): void {
    const share = 1 - (1 - movingAverageWeight) ** samples;
    this.#slowness += share * (ratio - this.#slowness);
  }

  /** Samples that the other instances have not been told. */
  takeUnreportedSamples(): SlownessSamples {
    const untold = this.#unreportedSamples;
    this.#unreportedSamples = noSlownessSamples;
    return untold;
  }

  recordSuccess(): void {
    this.recordActivity();
    this.#consecutiveFailures = 0;
    this.#avoidedUntilMs = 0;
  }

  /** Notes a failure; `certain` ones count without waiting for a second. */
  recordFailure(certain: boolean): void {
    this.#consecutiveFailures += certain ? failureThreshold : 1;
    const excess = this.#consecutiveFailures - failureThreshold;
    if (excess < 0) return;
    const avoidMs = Math.min(maxAvoidanceMs, initialAvoidanceMs * 2 ** excess);
    this.#avoidedUntilMs = performance.now() + avoidMs;
  }

  /** A new life under the same id holds nothing of before. */
  resetAfterRestart(record: TargetRecord): void {
    this.record = record;
    this.leavingSinceMs = undefined;
    this.prefixCache.clear();
    this.#consecutiveFailures = 0;
    this.#avoidedUntilMs = 0;
    this.#roleChangeUntilMs = 0;
    this.#slowness = 1;
  }
}

const createOneTimeCallback = (action: () => void): (() => void) => {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
};
