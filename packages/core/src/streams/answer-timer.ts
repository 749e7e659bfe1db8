/** Observes the times of one answer. */
import type {
  RequestLabels,
  RequestMetrics,
} from '../metrics/request-metrics.js';

import type { AnswerItem } from './generation-dispatcher.js';

export class AnswerTimer {
  readonly #startedAtMs = Date.now();
  #lastChunkAtMs: number | undefined;

  constructor(
    private readonly metrics: RequestMetrics | undefined,
    private readonly labels: RequestLabels,
  ) {}

  observeItem(item: AnswerItem): void {
    const now = Date.now();
    if (item.kind === 'chunk') this.#observeChunk(now);
    if (item.kind === 'end') {
      this.metrics?.observeRequest(this.labels, now - this.#startedAtMs);
    }
    if (item.kind === 'failure') {
      this.metrics?.countRefusal(this.labels.service, item.failure);
    }
  }

  #observeChunk(now: number): void {
    if (this.#lastChunkAtMs === undefined) {
      this.metrics?.observeFirstToken(this.labels, now - this.#startedAtMs);
    } else {
      this.metrics?.observeTokenGap(this.labels, now - this.#lastChunkAtMs);
    }
    this.#lastChunkAtMs = now;
  }
}
