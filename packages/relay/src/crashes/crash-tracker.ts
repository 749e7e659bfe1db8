/**
 * Finds out which requests were under way at targets that crashed. A broken
 * connection is only a suspected crash; it is confirmed when the target turns out
 * to be gone, to refuse connections or to have restarted.
 */
import type { Log } from '@medlarlever/core';

import { getStartMs } from '../targets/target-record.js';
import type { TargetRecord } from '../targets/target-record.js';

import { RequestQuarantine } from './request-quarantine.js';
import type { SharedParts, TargetCrash } from './target-crash.js';

/**
 * Longest time between a broken connection and the confirmation of the crash
 * for both to be attributed to the same crash.
 */
const suspectWindowMs = 3_000;

/** A request that was under way at a target when the connection broke. */
export interface CrashSuspect {
  /** Absent if the crash does not count against the request itself. */
  readonly fingerprint?: string;
  /**
   * Parts of the prompt that others may share, if the request may have crashed the
   * target by them.
   */
  readonly parts?: SharedParts;
}

interface SuspectedRequest extends CrashSuspect {
  readonly startedAtMs: number;
  /** Monotonic milliseconds at which the connection broke. */
  readonly suspectedAtMs: number;
}

/** Dependencies of {@link CrashTracker}. */
export interface CrashTrackerOptions {
  readonly log: Log;
  /** Called with each crash that is confirmed here. */
  readonly onCrash?: (crash: TargetCrash) => void;
}

/** Requests that are suspected of crashes, by target, and those that are refused. */
export class CrashTracker {
  readonly requests = new RequestQuarantine();
  readonly #suspectedRequestsByTarget = new Map<string, SuspectedRequest[]>();

  constructor(private readonly options: CrashTrackerOptions) {}

  /** Records that a connection broke while the target ran the request. */
  recordSuspectedCrash(
    suspect: CrashSuspect,
    incarnation: TargetIncarnation,
  ): void {
    const { id } = incarnation;
    const startedAtMs = getStartMs(incarnation);
    const nowMs = performance.now();
    const recentSuspects = this.#listRecentSuspects(id, nowMs);
    recentSuspects.push({ ...suspect, startedAtMs, suspectedAtMs: nowMs });
    this.#suspectedRequestsByTarget.set(id, recentSuspects);
  }

  /** True if a connection to the target broke a short time ago. */
  hasSuspects(targetId: string): boolean {
    return this.#listRecentSuspects(targetId, performance.now()).length > 0;
  }

  /**
   * Counts a crash for each recently suspected request of the target. To be called
   * when the target is gone, refuses connections or has restarted.
   */
  confirmCrash(targetId: string): void {
    const nowMs = performance.now();
    const suspects = this.#listRecentSuspects(targetId, nowMs);
    this.#suspectedRequestsByTarget.delete(targetId);
    const [first] = suspects;
    if (first === undefined) return;
    this.options.log.writeEvent('target_crashed', {
      target: targetId,
      suspects: suspects.length,
      confirmed_after_ms: Math.round(nowMs - first.suspectedAtMs),
    });
    for (const { fingerprint, startedAtMs, suspectedAtMs } of suspects) {
      if (fingerprint === undefined) continue;
      this.requests.recordCrash({
        fingerprint,
        target: targetId,
        startedAtMs,
        atMs: suspectedAtMs,
        lastUseMs: suspectedAtMs,
      });
    }
    this.options.onCrash?.({
      target: targetId,
      startedAtMs: first.startedAtMs,
      atMs: first.suspectedAtMs,
      suspects: suspects.flatMap(({ parts = [] }) =>
        parts.length === 0 ? [] : [parts],
      ),
    });
  }

  #listRecentSuspects(targetId: string, nowMs: number): SuspectedRequest[] {
    const suspects = this.#suspectedRequestsByTarget.get(targetId) ?? [];
    return suspects.filter(
      ({ suspectedAtMs }) => nowMs - suspectedAtMs <= suspectWindowMs,
    );
  }
}

type TargetIncarnation = Pick<TargetRecord, 'id' | 'startedAtMs'>;
