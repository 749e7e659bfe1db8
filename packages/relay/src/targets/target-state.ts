/** What this instance knows of one target beyond its registration. */
import type { PromptPart } from '../requests/relay-request.js';

import { CachedParts } from './prefix-cache-estimate.js';
import type { TargetRecord } from './target-record.js';

/** Work at a target, as known to one instance. */
export interface TargetLoad {
  /** Prompt tokens sent there that are not read yet. */
  readonly unreadTokens: number;
  /** Requests that are running or waiting there. */
  readonly running: number;
}

/** Times taken against what was expected. */
export interface PaceSamples {
  /** Mean ratio; 1 when as expected. */
  readonly ratio: number;
  readonly samples: number;
}

const noSamples: PaceSamples = { ratio: 0, samples: 0 };

export const noLoad: TargetLoad = { unreadTokens: 0, running: 0 };

/** A target with work that nobody heard of for so long has gone dark. */
const darkAfterMs = 900;

/** Share of a new sample in a moving average. */
const sampleShare = 0.3;

/** First avoidance after a failure; doubles with each further one. */
const firstAvoidMs = 800;
const longestAvoidMs = 6_400;

/** Failures in a row after which a target is avoided. */
const toleratedFailures = 2;

export class TargetState {
  record: TargetRecord;
  /** Monotonic milliseconds since which no new work may be sent. */
  leavingSinceMs: number | undefined;
  readonly cache: CachedParts;
  #unreadTokens = 0;
  #running = 0;
  #failures = 0;
  #avoidUntilMs = 0;
  #closedUntilMs = 0;
  #slowness = 1;
  #untold = noSamples;
  #others: TargetLoad = noLoad;
  #heardAtMs = performance.now();

  constructor(record: TargetRecord, kvTokens: number) {
    this.record = record;
    this.cache = new CachedParts(kvTokens);
  }

  get leaving(): boolean {
    return this.leavingSinceMs !== undefined;
  }

  /** Load of this instance alone. */
  get ownLoad(): TargetLoad {
    return { unreadTokens: this.#unreadTokens, running: this.#running };
  }

  /** Unread prompt tokens of all instances. */
  get unreadTokens(): number {
    return this.#unreadTokens + this.#others.unreadTokens;
  }

  /** Requests of all instances. */
  get running(): number {
    return this.#running + this.#others.running;
  }

  /** Time taken against what was expected; 1 when as expected. */
  get slowness(): number {
    return this.#slowness;
  }

  /** True while it changes its role. */
  get closed(): boolean {
    return performance.now() < this.#closedUntilMs;
  }

  /** No new work for the time; zero ends it. */
  closeFor(ms: number): void {
    this.#closedUntilMs = performance.now() + ms;
  }

  /** True while recent failures or silence speak against sending there. */
  get avoided(): boolean {
    return performance.now() < this.#avoidUntilMs || this.dark;
  }

  /** True when it has work and no instance heard of it for long. */
  get dark(): boolean {
    return this.running > 0 && this.silentMs > darkAfterMs;
  }

  /** Time since any instance heard of the target, as far as is known. */
  get silentMs(): number {
    return performance.now() - this.#heardAtMs;
  }

  /** Notes a sign of life that came `ageMs` ago. */
  heard(ageMs = 0): void {
    this.#heardAtMs = Math.max(this.#heardAtMs, performance.now() - ageMs);
  }

  /** Sets the load that the other instances last told of. */
  othersLoad(load: TargetLoad): void {
    this.#others = load;
  }

  /** Counts a request in; the result counts it out. */
  enter(): () => void {
    if (this.running === 0) this.heard();
    this.#running += 1;
    return once(() => {
      this.#running -= 1;
    });
  }

  /**
   * Counts a prompt to read, which is expected to take the time; the result
   * counts it as read.
   */
  startReading(
    parts: readonly PromptPart[],
    tokens: number,
    expectedMs = 0,
  ): () => void {
    this.#unreadTokens += tokens;
    this.cache.add(parts, expectedMs);
    return once(() => {
      this.#unreadTokens -= tokens;
    });
  }

  /** Notes how long something took against what was expected. */
  took(actualMs: number, expectedMs: number): void {
    const ratio = Math.min(20, Math.max(0.2, actualMs / expectedMs));
    this.heardPace({ ratio, samples: 1 });
    const { ratio: mean, samples } = this.#untold;
    const sum = mean * samples + ratio;
    this.#untold = { ratio: sum / (samples + 1), samples: samples + 1 };
  }

  /** Takes in what others saw, or what was seen here. */
  heardPace({ ratio, samples }: PaceSamples): void {
    const share = 1 - (1 - sampleShare) ** samples;
    this.#slowness += share * (ratio - this.#slowness);
  }

  /** Samples that the other instances have not been told. */
  takeUntold(): PaceSamples {
    const untold = this.#untold;
    this.#untold = noSamples;
    return untold;
  }

  succeeded(): void {
    this.heard();
    this.#failures = 0;
    this.#avoidUntilMs = 0;
  }

  /** Notes a failure; `certain` ones count without waiting for a second. */
  failed(certain: boolean): void {
    this.#failures += certain ? toleratedFailures : 1;
    const excess = this.#failures - toleratedFailures;
    if (excess < 0) return;
    const avoidMs = Math.min(longestAvoidMs, firstAvoidMs * 2 ** excess);
    this.#avoidUntilMs = performance.now() + avoidMs;
  }

  /** A new life under the same id holds nothing of before. */
  restarted(record: TargetRecord): void {
    this.record = record;
    this.leavingSinceMs = undefined;
    this.cache.clear();
    this.#failures = 0;
    this.#avoidUntilMs = 0;
    this.#closedUntilMs = 0;
    this.#slowness = 1;
  }
}

const once = (action: () => void): (() => void) => {
  let done = false;
  return () => {
    if (done) return;
    done = true;
    action();
  };
};
