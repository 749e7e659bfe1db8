/** Records the latency and failure metrics of one answer. */
import type {
  RequestLabels,
  RequestMetrics,
} from '../metrics/request-metrics.js';

import type { AnswerItem } from './generation-dispatcher.js';

/** Measures one answer from the construction of the timer, by the wall clock. */
export class AnswerTimer {
  readonly #startedAtMs = Date.now();
  #lastChunkAtMs: number | undefined;

  constructor(
    private readonly metrics: RequestMetrics | undefined,
    private readonly labels: RequestLabels,
  ) {}

  /** Updates the metrics that an item of the answer affects. */
  observeItem(item: AnswerItem): void {
    const nowMs = Date.now();
    if (item.kind === 'chunk') this.#observeChunk(nowMs);
    if (item.kind === 'end') {
      this.metrics?.observeRequest(this.labels, nowMs - this.#startedAtMs);
    }
    if (item.kind === 'failure') {
      this.metrics?.countRefusal(this.labels.service, item.failure);
    }
  }

  #observeChunk(nowMs: number): void {
    if (this.#lastChunkAtMs === undefined) {
      this.metrics?.observeFirstToken(this.labels, nowMs - this.#startedAtMs);
    } else {
      this.metrics?.observeTokenGap(this.labels, nowMs - this.#lastChunkAtMs);
    }
    this.#lastChunkAtMs = nowMs;
  }
}
