/**
 * Records which instance, target or store had which fault at which time.
 * Times are in milliseconds of the monotonic clock (`performance.now()`).
 */

interface FaultInterval {
  readonly subject: string;
  readonly fault: string;
  readonly fromMs: number;
  toMs: number;
}

/**
 * Subject name of the platform's store; other subjects are instances and
 * targets by name.
 */
export const storeSubject = 'store';

/** Subject name of the interface for duties. */
export const dutyInterfaceSubject = 'duty interface';

/** The intervals of all injected faults. */
export class FaultLog {
  readonly #intervals: FaultInterval[] = [];

  /**
   * Records a fault that starts now; returns a function that records its end.
   */
  beginFault(subject: string, fault: string): () => void {
    const fromMs = performance.now();
    const interval = { subject, fault, fromMs, toMs: Infinity };
    this.#intervals.push(interval);
    return () => {
      interval.toMs = performance.now();
    };
  }

  /**
   * Whether the subject had no fault, other than `except`, at any time from `fromMs` to
   * `toMs`.
   */
  isFaultFree(
    subject: string,
    fromMs: number,
    toMs: number,
    except?: string,
  ): boolean {
    return this.#intervals.every(
      interval =>
        interval.subject !== subject ||
        interval.fault === except ||
        interval.toMs < fromMs ||
        interval.fromMs > toMs,
    );
  }

  /**
   * Whether no subject had a fault other than `fault` at any time from `fromMs`
   * to `toMs`.
   */
  isFaultFreeExcept(fault: string, fromMs: number, toMs: number): boolean {
    return this.#intervals.every(
      interval =>
        interval.fault === fault ||
        interval.toMs < fromMs ||
        interval.fromMs > toMs,
    );
  }

  /** Whether no subject had a fault at any time from `fromMs` to `toMs`. */
  isFaultFreeAnywhere(fromMs: number, toMs: number): boolean {
    return this.#intervals.every(
      interval => interval.toMs < fromMs || interval.fromMs > toMs,
    );
  }

  /**
   * One line for each fault in order of its start, with seconds since
   * `startMs`.
   */
  describeFaults(startMs: number): string[] {
    const formatSeconds = (ms: number) => ((ms - startMs) / 1_000).toFixed(2);
    return this.#intervals.map(
      ({ subject, fault, fromMs, toMs }) =>
        `${formatSeconds(fromMs)}-${formatSeconds(toMs)} s ${fault}: ${subject}`,
    );
  }
}
