/**
 * Counts the targets that crashed while they ran the same request. A broken
 * connection is only a suspected crash; it is confirmed when the target turns out
 * to be gone, to refuse connections or to have restarted.
 */
import type { Log } from '@medlarlever/core';
import { LRUCache } from 'lru-cache';

/** Number of crashed targets at which a request is rejected. */
const poisonCrashThreshold = 3;
const maxTrackedRequests = 5_000;

/**
 * Longest time between a broken connection and the confirmation of the crash
 * for both to be attributed to the same crash.
 */
const suspectWindowMs = 3_000;

interface SuspectedRequest {
  readonly fingerprint: string;
  /** Monotonic milliseconds at which the connection broke. */
  readonly suspectedAtMs: number;
}

/** Crash counts of requests; requests are identified by their fingerprints. */
export class CrashTracker {
  readonly #crashedTargetsByRequest = new LRUCache<string, Set<string>>({
    max: maxTrackedRequests,
  });
  readonly #suspectedRequestsByTarget = new Map<string, SuspectedRequest[]>();
  #unreportedCrashes: [string, string][] = [];

  constructor(private readonly log: Log) {}

  /** Records that a connection broke while the target ran the request. */
  recordSuspectedCrash(fingerprint: string, targetId: string): void {
    const nowMs = performance.now();
    const recentSuspects = (
      this.#suspectedRequestsByTarget.get(targetId) ?? []
    ).filter(({ suspectedAtMs }) => nowMs - suspectedAtMs < suspectWindowMs);
    recentSuspects.push({ fingerprint, suspectedAtMs: nowMs });
    this.#suspectedRequestsByTarget.set(targetId, recentSuspects);
  }

  /**
   * Counts a crash for each recently suspected request of the target. To be called
   * when the target is gone, refuses connections or has restarted.
   */
  confirmCrash(targetId: string): void {
    const suspects = this.#suspectedRequestsByTarget.get(targetId) ?? [];
    this.#suspectedRequestsByTarget.delete(targetId);
    const nowMs = performance.now();
    const oldestMs = Math.min(
      ...suspects.map(({ suspectedAtMs }) => suspectedAtMs),
    );
    if (suspects.length > 0)
      this.log.writeEvent('target_crashed', {
        target: targetId,
        suspects: suspects.length,
        confirmed_after_ms: Math.round(nowMs - oldestMs),
      });
    for (const { fingerprint, suspectedAtMs } of suspects) {
      if (nowMs - suspectedAtMs > suspectWindowMs) continue;
      this.recordCrash(fingerprint, targetId);
      this.#unreportedCrashes.push([fingerprint, targetId]);
    }
  }

  /** Counts a confirmed crash, found here or reported by a peer. */
  recordCrash(fingerprint: string, targetId: string): void {
    const crashedTargets =
      this.#crashedTargetsByRequest.get(fingerprint) ?? new Set();
    crashedTargets.add(targetId);
    this.#crashedTargetsByRequest.set(fingerprint, crashedTargets);
  }

  /** True while there are crashes that have not been sent to the peers. */
  get hasUnreportedCrashes(): boolean {
    return this.#unreportedCrashes.length > 0;
  }

  /**
   * Returns and clears the crashes to send to the peers, as pairs of request
   * fingerprint and target id.
   */
  takeUnreportedCrashes(): [string, string][] {
    const crashes = this.#unreportedCrashes;
    this.#unreportedCrashes = [];
    return crashes;
  }

  /** True when the request crashed so many targets that it must be rejected. */
  isPoisonRequest(fingerprint: string): boolean {
    return (
      (this.#crashedTargetsByRequest.get(fingerprint)?.size ?? 0) >=
      poisonCrashThreshold
    );
  }
}
