/**
 * Refuses requests that crash the targets that run them. A request that is answered after
 * a crash has not caused it: many readers of one page are under way at each target that
 * crashes. Instances tell each other of crashes and of such answers.
 */
import { LRUCache } from 'lru-cache';

import { unknownStartMs } from '../targets/target-record.js';

import type { Refusal } from './refusal.js';
import { encodeRequestCrash } from './request-crash.js';
import type { AnsweredRequest, RequestCrash } from './request-crash.js';
import { getIncarnationKey } from './target-crash.js';

/** Number of crashes at which a request is refused, each of another incarnation. */
const refusalCrashCount = 3;
const maxTrackedRequests = 5_000;

/** A request is accepted again once it has neither come nor crashed a target for this long. */
const requestTtlMs = 600_000;

/** Crashes of refused requests are reported at this interval, to instances that start. */
const repetitionIntervalMs = 900;

/** Number of crashes that are repeated of each request. */
const repeatedCrashesPerRequest = 6;

/** Requests whose crashes are repeated, the last refused first. */
const maxRepeatedRequests = 32;

/** A request that was under way at crashes. */
interface SuspectedRequest {
  /** Crashes that may be due to the request, by incarnation of the target. */
  readonly crashes: Map<string, RequestCrash>;
  /** Monotonic time at which the request last crashed a target or was refused. */
  lastUseMs: number;
  /** True if this instance has seen one of the crashes itself. */
  isOwn: boolean;
}

/** Crash counts of requests; requests are identified by their fingerprints. */
export class RequestQuarantine {
  readonly #suspects = new LRUCache<string, SuspectedRequest>({
    max: maxTrackedRequests,
  });
  readonly #lastAnswerMs = new LRUCache<string, number>({
    max: maxTrackedRequests,
  });
  #unreportedCrashes: RequestCrash[] = [];
  readonly #unreportedAnswers = new Set<string>();
  #lastRepetitionMs = -Infinity;

  /** Records a crash that this instance has seen while the target ran the request. */
  recordCrash(crash: RequestCrash): void {
    if (!this.#addCrash(crash)) return;
    this.#unreportedCrashes.push(crash);
    const suspect = this.#suspects.peek(crash.fingerprint);
    if (suspect !== undefined) suspect.isOwn = true;
  }

  /** Records that a target ran the request to its end, and lived on. */
  recordAnswer(fingerprint: string): void {
    this.#lastAnswerMs.set(fingerprint, performance.now());
    if (this.#suspects.delete(fingerprint))
      this.#unreportedAnswers.add(fingerprint);
  }

  /** True when the request crashed so many targets that it must be refused. */
  isRefused(fingerprint: string): boolean {
    const suspect = this.#suspects.get(fingerprint);
    if (suspect === undefined || !isInForce(suspect)) return false;
    suspect.lastUseMs = performance.now();
    return true;
  }

  /** True while there is something that the other instances have not been told. */
  get hasNews(): boolean {
    return (
      this.#unreportedCrashes.length > 0 || this.#unreportedAnswers.size > 0
    );
  }

  /** Number of requests that are refused. */
  get refusedCount(): number {
    return this.#listRefused().length;
  }

  /**
   * Lists the crashes that the other instances are to be told of: each once, and those of
   * refused requests again for instances that start, if `includesRefused`.
   */
  listCrashes(includesRefused: boolean): RequestCrash[] {
    const unreported = this.#unreportedCrashes;
    this.#unreportedCrashes = [];
    const repeated = includesRefused ? this.#listRepeated() : [];
    const repeatedRequests = new Set(
      repeated.map(({ fingerprint }) => fingerprint),
    );
    return [
      ...unreported.filter(
        ({ fingerprint }) => !repeatedRequests.has(fingerprint),
      ),
      ...repeated,
    ];
  }

  /** Lists the refused requests, the last refused first. */
  listRefusals(): Refusal[] {
    return this.#listRefused()
      .slice(0, maxRepeatedRequests)
      .map(suspect => {
        const crashes = listRepeatedCrashes(suspect);
        return {
          key: `request ${crashes[0]?.fingerprint ?? ''}`,
          isOwn: suspect.isOwn,
          requestCrashes: crashes.map(encodeRequestCrash),
          targetCrashes: [],
        };
      });
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

  #listRepeated(): RequestCrash[] {
    const nowMs = performance.now();
    if (nowMs - this.#lastRepetitionMs < repetitionIntervalMs) return [];
    this.#lastRepetitionMs = nowMs;
    return this.#listRefused()
      .slice(0, maxRepeatedRequests)
      .flatMap(listRepeatedCrashes);
  }

  #listRefused(): SuspectedRequest[] {
    return [...this.#suspects.values()].filter(isInForce);
  }

  #applyAnswer(fingerprint: string, atMs: number): void {
    if (atMs > this.#getLastAnswerMs(fingerprint))
      this.#lastAnswerMs.set(fingerprint, atMs);
    const crashes = this.#suspects.peek(fingerprint)?.crashes;
    if (crashes === undefined) return;
    for (const [key, crash] of crashes)
      if (crash.atMs <= atMs) crashes.delete(key);
    if (crashes.size === 0) this.#suspects.delete(fingerprint);
  }

  /** Returns false if the request was answered after the crash. */
  #addCrash(crash: RequestCrash): boolean {
    const { fingerprint, atMs, lastUseMs } = crash;
    if (this.#getLastAnswerMs(fingerprint) >= atMs) return false;
    const suspect = this.#suspects.get(fingerprint) ?? {
      crashes: new Map<string, RequestCrash>(),
      lastUseMs,
      isOwn: false,
    };
    countCrash(suspect.crashes, crash);
    suspect.lastUseMs = Math.max(suspect.lastUseMs, lastUseMs);
    this.#suspects.set(fingerprint, suspect);
    return true;
  }

  #getLastAnswerMs(fingerprint: string): number {
    return this.#lastAnswerMs.get(fingerprint) ?? -Infinity;
  }
}

/**
 * Adds the crash unless it is known. Instances of earlier versions do not say which
 * incarnation crashed, so theirs count only if no crash of the target is known.
 */
const countCrash = (
  crashes: Map<string, RequestCrash>,
  crash: RequestCrash,
): void => {
  const { target, startedAtMs, atMs } = crash;
  const isTargetKnown = [...crashes.values()].some(
    known => known.target === target,
  );
  if (startedAtMs === unknownStartMs && isTargetKnown) return;
  crashes.delete(getIncarnationKey({ target, startedAtMs: unknownStartMs }));
  const key = getIncarnationKey(crash);
  const knownAtMs = crashes.get(key)?.atMs ?? Infinity;
  if (atMs < knownAtMs) crashes.set(key, crash);
};

const listRepeatedCrashes = ({
  crashes,
  lastUseMs,
}: SuspectedRequest): RequestCrash[] =>
  [...crashes.values()]
    .slice(-repeatedCrashesPerRequest)
    .map(crash => ({ ...crash, lastUseMs }));

const isInForce = ({ crashes, lastUseMs }: SuspectedRequest): boolean =>
  crashes.size >= refusalCrashCount &&
  performance.now() - lastUseMs <= requestTtlMs;
