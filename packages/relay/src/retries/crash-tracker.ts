/**
 * Counts the targets that crashed while they ran the same request. A broken
 * connection alone proves no crash: it becomes one when the target turns out
 * to be gone or started anew.
 */
import { LRUCache } from 'lru-cache';

/** Crashes after which a request is refused. */
const poisonCrashThreshold = 3;
const maxTrackedRequests = 5_000;

/** A break this long before the crash shows may have been the crash. */
const suspectWindowMs = 3_000;

interface SuspectedRequest {
  readonly fingerprint: string;
  readonly suspectedAtMs: number;
}

export class CrashTracker {
  readonly #crashedTargetsByRequest = new LRUCache<string, Set<string>>({
    max: maxTrackedRequests,
  });
  readonly #suspectedRequestsByTarget = new Map<string, SuspectedRequest[]>();
  #unreportedCrashes: [string, string][] = [];

  /** Notes that a connection broke while the target ran the request. */
  recordSuspectedCrash(fingerprint: string, target: string): void {
    const nowMs = performance.now();
    const recent = (this.#suspectedRequestsByTarget.get(target) ?? []).filter(
      ({ suspectedAtMs: atMs }) => nowMs - atMs < suspectWindowMs,
    );
    recent.push({ fingerprint, suspectedAtMs: nowMs });
    this.#suspectedRequestsByTarget.set(target, recent);
  }

  /** The target is gone, refuses connections or started anew. */
  confirmCrash(target: string): void {
    const suspects = this.#suspectedRequestsByTarget.get(target) ?? [];
    this.#suspectedRequestsByTarget.delete(target);
    const nowMs = performance.now();
    for (const { fingerprint, suspectedAtMs: atMs } of suspects) {
      if (nowMs - atMs > suspectWindowMs) continue;
      this.recordCrash(fingerprint, target);
      this.#unreportedCrashes.push([fingerprint, target]);
    }
  }

  /** Takes in what a neighbour found. */
  recordCrash(fingerprint: string, target: string): void {
    const targets = this.#crashedTargetsByRequest.get(fingerprint) ?? new Set();
    targets.add(target);
    this.#crashedTargetsByRequest.set(fingerprint, targets);
  }

  /** True while there is something to tell the neighbours. */
  get hasUnreportedCrashes(): boolean {
    return this.#unreportedCrashes.length > 0;
  }

  /** Findings that the neighbours have not been told. */
  takeUnreportedCrashes(): [string, string][] {
    const found = this.#unreportedCrashes;
    this.#unreportedCrashes = [];
    return found;
  }

  /** True when the request is to be refused. */
  isPoisonRequest(fingerprint: string): boolean {
    return (
      (this.#crashedTargetsByRequest.get(fingerprint)?.size ?? 0) >=
      poisonCrashThreshold
    );
  }
}
