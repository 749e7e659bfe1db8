/**
 * Refuses requests that crash the targets that run them. A request that is answered after
 * a crash has not caused it: many readers of one page are under way at each target that
 * crashes. Instances tell each other of crashes and of such answers.
 */
import { LRUCache } from 'lru-cache';

import type { AnsweredRequest, RequestCrash } from './request-crash.js';

/** Number of crashed targets at which a request is refused. */
const refusalCrashCount = 3;
const maxTrackedRequests = 5_000;

/** A request is forgotten once it has neither come nor crashed a target for this long. */
const requestTtlMs = 600_000;

/** Crashes that may be due to one request, by target: the time on the monotonic clock. */
type CrashTimes = Map<string, number>;

/** Crash counts of requests; requests are identified by their fingerprints. */
export class RequestQuarantine {
  readonly #crashTimes = new LRUCache<string, CrashTimes>({
    max: maxTrackedRequests,
    ttl: requestTtlMs,
    updateAgeOnGet: true,
  });
  readonly #lastAnswerMs = new LRUCache<string, number>({
    max: maxTrackedRequests,
  });
  #unreportedCrashes: RequestCrash[] = [];
  readonly #unreportedAnswers = new Set<string>();

  /** Records a crash that this instance has seen while the target ran the request. */
  recordCrash(crash: RequestCrash): void {
    if (this.#addCrash(crash)) this.#unreportedCrashes.push(crash);
  }

  /** Records that a target ran the request to its end, and lived on. */
  recordAnswer(fingerprint: string): void {
    this.#lastAnswerMs.set(fingerprint, performance.now());
    if (!this.#crashTimes.delete(fingerprint)) return;
    this.#unreportedAnswers.add(fingerprint);
  }

  /** True when the request crashed so many targets that it must be refused. */
  isRefused(fingerprint: string): boolean {
    const crashCount = this.#crashTimes.get(fingerprint)?.size ?? 0;
    return crashCount >= refusalCrashCount;
  }

  /** True while there is something that the other instances have not been told. */
  get hasNews(): boolean {
    return (
      this.#unreportedCrashes.length > 0 || this.#unreportedAnswers.size > 0
    );
  }

  /** Returns and clears the crashes that the other instances are to be told of. */
  takeCrashes(): RequestCrash[] {
    const crashes = this.#unreportedCrashes;
    this.#unreportedCrashes = [];
    return crashes;
  }

  /** Returns and clears the answers that the other instances are to be told of. */
  takeAnswers(): AnsweredRequest[] {
    const answers = [...this.#unreportedAnswers].flatMap(fingerprint => {
      const atMs = this.#lastAnswerMs.get(fingerprint);
      return atMs === undefined ? [] : [{ fingerprint, atMs }];
    });
    this.#unreportedAnswers.clear();
    return answers;
  }

  /** Applies what another instance has reported. */
  apply(
    crashes: readonly RequestCrash[],
    answers: readonly AnsweredRequest[],
  ): void {
    for (const { fingerprint, atMs } of answers)
      this.#applyAnswer(fingerprint, atMs);
    for (const crash of crashes) {
      // The request was perhaps answered here, which the others must know.
      if (!this.#addCrash(crash))
        this.#unreportedAnswers.add(crash.fingerprint);
    }
  }

  #applyAnswer(fingerprint: string, atMs: number): void {
    if (atMs > this.#getLastAnswerMs(fingerprint))
      this.#lastAnswerMs.set(fingerprint, atMs);
    const crashTimes = this.#crashTimes.get(fingerprint);
    if (crashTimes === undefined) return;
    for (const [target, crashedAtMs] of crashTimes)
      if (crashedAtMs <= atMs) crashTimes.delete(target);
  }

  /** Returns false if the request was answered after the crash. */
  #addCrash({ fingerprint, target, atMs }: RequestCrash): boolean {
    if (this.#getLastAnswerMs(fingerprint) >= atMs) return false;
    const crashTimes: CrashTimes =
      this.#crashTimes.get(fingerprint) ?? new Map<string, number>();
    const knownAtMs = crashTimes.get(target) ?? Infinity;
    crashTimes.set(target, Math.min(atMs, knownAtMs));
    this.#crashTimes.set(fingerprint, crashTimes);
    return true;
  }

  #getLastAnswerMs(fingerprint: string): number {
    return this.#lastAnswerMs.get(fingerprint) ?? -Infinity;
  }
}
