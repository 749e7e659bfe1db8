/**
 * Counts the targets that crashed while they ran the same request. A broken
 * connection alone proves no crash: it becomes one when the target turns out
 * to be gone or started anew.
 */
import { LRUCache } from 'lru-cache';

/** Crashes after which a request is refused. */
const poisonAfter = 3;
const rememberedRequests = 5_000;

/** A break this long before the crash shows may have been the crash. */
const suspectMs = 3_000;

interface Suspect {
  readonly fingerprint: string;
  readonly atMs: number;
}

export class CrashCounts {
  readonly #targets = new LRUCache<string, Set<string>>({
    max: rememberedRequests,
  });
  readonly #suspects = new Map<string, Suspect[]>();
  #new: [string, string][] = [];

  /** Notes that a connection broke while the target ran the request. */
  suspect(fingerprint: string, target: string): void {
    const nowMs = performance.now();
    const recent = (this.#suspects.get(target) ?? []).filter(
      ({ atMs }) => nowMs - atMs < suspectMs,
    );
    recent.push({ fingerprint, atMs: nowMs });
    this.#suspects.set(target, recent);
  }

  /** The target is gone, refuses connections or started anew. */
  crashed(target: string): void {
    const suspects = this.#suspects.get(target) ?? [];
    this.#suspects.delete(target);
    const nowMs = performance.now();
    for (const { fingerprint, atMs } of suspects) {
      if (nowMs - atMs > suspectMs) continue;
      this.learn(fingerprint, target);
      this.#new.push([fingerprint, target]);
    }
  }

  /** Takes in what a neighbour found. */
  learn(fingerprint: string, target: string): void {
    const targets = this.#targets.get(fingerprint) ?? new Set();
    targets.add(target);
    this.#targets.set(fingerprint, targets);
  }

  /** True while there is something to tell the neighbours. */
  get hasNew(): boolean {
    return this.#new.length > 0;
  }

  /** Findings that the neighbours have not been told. */
  takeNew(): [string, string][] {
    const found = this.#new;
    this.#new = [];
    return found;
  }

  /** True when the request is to be refused. */
  poisoned(fingerprint: string): boolean {
    return (this.#targets.get(fingerprint)?.size ?? 0) >= poisonAfter;
  }
}
