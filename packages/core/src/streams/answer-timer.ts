/** Observes the times of one answer. */
import type {
  RequestLabels,
  RequestMetrics,
} from '../metrics/request-metrics.js';

import type { AnswerItem } from './generation-dispatcher.js';

export class AnswerTimer {
  readonly #startedMs = Date.now();
  #lastMs: number | undefined;

  constructor(
    private readonly metrics: RequestMetrics | undefined,
    private readonly labels: RequestLabels,
  ) {}

  observe(item: AnswerItem): void {
    const now = Date.now();
    if (item.kind === 'chunk') this.#chunk(now);
    if (item.kind === 'end') {
      this.metrics?.observeTotal(this.labels, now - this.#startedMs);
    }
    if (item.kind === 'failure') {
      this.metrics?.countRefusal(this.labels.service, item.failure);
    }
  }

  #chunk(now: number): void {
    if (this.#lastMs === undefined) {
      this.metrics?.observeFirstToken(this.labels, now - this.#startedMs);
    } else {
      this.metrics?.observeTokenGap(this.labels, now - this.#lastMs);
    }
    this.#lastMs = now;
  }
}
