/** What was harmed when: an instance, a target or the store, by its name. */

interface FaultInterval {
  readonly subject: string;
  readonly fault: string;
  readonly fromMs: number;
  toMs: number;
}

/** Name of the platform's store among the subjects. */
export const storeSubject = 'store';

export class FaultLog {
  readonly #intervals: FaultInterval[] = [];

  /** Notes a fault that begins now; the result notes its end. */
  beginFault(subject: string, fault: string): () => void {
    const fromMs = performance.now();
    const span = { subject, fault, fromMs, toMs: Infinity };
    this.#intervals.push(span);
    return () => {
      span.toMs = performance.now();
    };
  }

  /** True when nothing harmed the subject in any part of the time. */
  isFaultFree(subject: string, fromMs: number, toMs: number): boolean {
    return this.#intervals.every(
      span =>
        span.subject !== subject || span.toMs < fromMs || span.fromMs > toMs,
    );
  }

  /** True when nothing but this fault harmed anything in the time. */
  isFaultFreeExcept(fault: string, fromMs: number, toMs: number): boolean {
    return this.#intervals.every(
      span => span.fault === fault || span.toMs < fromMs || span.fromMs > toMs,
    );
  }

  /** Lines for a report, in order of time. */
  describeFaults(startMs: number): string[] {
    const second = (ms: number) => ((ms - startMs) / 1_000).toFixed(2);
    return this.#intervals.map(
      ({ subject, fault, fromMs, toMs }) =>
        `${second(fromMs)}-${second(toMs)} s ${fault}: ${subject}`,
    );
  }
}
