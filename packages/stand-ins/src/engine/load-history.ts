/**
 * Load reports that become visible after a delay, as polled load data is out of
 * date.
 */
import type { LoadReport } from '@medlarlever/core';

/** Keeps the load reports since the one that is visible at present. */
export class LoadHistory {
  #reports: LoadReport[];

  constructor(
    private readonly lagMs: number,
    initialReport: LoadReport,
  ) {
    this.#reports = [initialReport];
  }

  addReport(report: LoadReport): void {
    this.#reports.push(report);
    this.#dropReplacedReports();
  }

  /** Returns the load as it was `lagMs` milliseconds ago. */
  getVisibleReport(): LoadReport {
    this.#dropReplacedReports();
    const [report] = this.#reports as [LoadReport];
    return { ...report, atMs: Math.max(report.atMs, this.#visibleAtMs) };
  }

  get #visibleAtMs(): number {
    return Date.now() - this.lagMs;
  }

  /** Drops the reports that a later visible report has replaced. */
  #dropReplacedReports(): void {
    const visibleAtMs = this.#visibleAtMs;
    const firstHiddenIndex = this.#reports.findIndex(
      report => report.atMs > visibleAtMs,
    );
    const visibleCount =
      firstHiddenIndex === -1 ? this.#reports.length : firstHiddenIndex;
    this.#reports = this.#reports.slice(Math.max(0, visibleCount - 1));
  }
}
