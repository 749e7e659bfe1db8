/** Load reports of the last moments, seen with a lag. */
import type { LoadReport } from '@medlarlever/core';

export class LoadHistory {
  #reports: LoadReport[];

  constructor(
    private readonly lagMs: number,
    first: LoadReport,
  ) {
    this.#reports = [first];
  }

  addReport(report: LoadReport): void {
    this.#reports.push(report);
    this.#dropReplacedReports();
  }

  /** The load as it was one lag ago. */
  getVisibleReport(): LoadReport {
    this.#dropReplacedReports();
    const [report] = this.#reports as [LoadReport];
    return { ...report, atMs: Math.max(report.atMs, this.#visibleAtMs) };
  }

  get #visibleAtMs(): number {
    return Date.now() - this.lagMs;
  }

  /** Drops what a later report has replaced for every reader. */
  #dropReplacedReports(): void {
    const seenMs = this.#visibleAtMs;
    const newer = this.#reports.findIndex(report => report.atMs > seenMs);
    const end = newer === -1 ? this.#reports.length : newer;
    this.#reports = this.#reports.slice(Math.max(0, end - 1));
  }
}
