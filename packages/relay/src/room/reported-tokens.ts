/** Memory at one engine that the other instances report, with its recent past. */
import { turnWindowMs } from './engine-room.js';

/** Memory that other instances report for an engine. */
export interface ReportedHold {
  readonly heldTokens: number;
  /** Running requests of instances that report no tokens. */
  readonly uncountedRequests: number;
}

interface PastHold {
  readonly untilMs: number;
  readonly hold: ReportedHold;
}

const emptyHold: ReportedHold = { heldTokens: 0, uncountedRequests: 0 };

const countTokens = (
  { heldTokens, uncountedRequests }: ReportedHold,
  typicalTokens: number,
): number => heldTokens + uncountedRequests * typicalTokens;

/** Latest report and the reports of the window before. */
export class ReportedTokens {
  #current = emptyHold;
  #past: PastHold[] = [];

  /** Records the total that the other instances report now. */
  record(hold: ReportedHold): void {
    const nowMs = performance.now();
    this.#past = this.#past.filter(
      ({ untilMs }) => untilMs > nowMs - turnWindowMs,
    );
    this.#past.push({ untilMs: nowMs, hold: this.#current });
    this.#current = hold;
  }

  /** Tokens in use, where a request of unknown size takes the typical ones. */
  countTokens(typicalTokens: number): number {
    return countTokens(this.#current, typicalTokens);
  }

  /** Lowest count within the window. */
  countLowestTokens(typicalTokens: number): number {
    const sinceMs = performance.now() - turnWindowMs;
    const recent = this.#past.filter(({ untilMs }) => untilMs > sinceMs);
    return Math.min(
      this.countTokens(typicalTokens),
      ...recent.map(({ hold }) => countTokens(hold, typicalTokens)),
    );
  }
}
