/** Histograms and counters of requests, with a limited number of labels. */
import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

import type { Failure } from '../shared/failure.js';

import { LabelLimiter } from './label-limiter.js';

/** Labels of the request that a measurement belongs to. */
export interface RequestLabels {
  readonly customer: string;
  readonly class: string;
  /** `models` or the name of a plain service. */
  readonly service: string;
}

export interface RequestMetricsOptions {
  readonly registry: Registry;
  /** Maximum number of customer labels; further customers share `other`. */
  readonly maxCustomers?: number;
  /** Maximum number of service labels; further services share `other`. */
  readonly maxServices?: number;
}

const defaultMaxCustomers = 256;
const defaultMaxServices = 32;

const durationBucketsSeconds = [0.01, 0.05, 0.2, 0.5, 1, 1.4, 3, 10, 30, 60];
const tokenGapBucketsSeconds = [0.005, 0.01, 0.02, 0.03, 0.057, 0.1, 0.3, 1];

const labelNames = ['customer', 'class', 'service'] as const;
type LabelName = (typeof labelNames)[number];

/** Records request metrics in a registry; all times are in milliseconds. */
export class RequestMetrics {
  readonly #customerLabels: LabelLimiter;
  readonly #serviceLabels: LabelLimiter;
  readonly #firstTokenSeconds: Histogram<LabelName>;
  readonly #tokenGapSeconds: Histogram<LabelName>;
  readonly #queueWaitSeconds: Histogram<LabelName>;
  readonly #requestSeconds: Histogram<LabelName>;
  readonly #refusalCounter: Counter<'code' | 'executed' | 'service'>;
  readonly #retryCounter: Counter<'service'>;
  readonly #budgetExhaustedCounter: Counter<'service'>;

  constructor(options: RequestMetricsOptions) {
    this.#customerLabels = new LabelLimiter(
      options.maxCustomers ?? defaultMaxCustomers,
    );
    this.#serviceLabels = new LabelLimiter(
      options.maxServices ?? defaultMaxServices,
    );
    const registers = [options.registry];
    const createHistogram = (name: string, help: string, buckets: number[]) =>
      new Histogram({ name, help, buckets, labelNames, registers });
    this.#firstTokenSeconds = createHistogram(
      'medlarlever_first_token_seconds',
      'Time from arrival of a request to its first token',
      durationBucketsSeconds,
    );
    this.#tokenGapSeconds = createHistogram(
      'medlarlever_token_gap_seconds',
      'Time between two consecutive tokens',
      tokenGapBucketsSeconds,
    );
    this.#queueWaitSeconds = createHistogram(
      'medlarlever_queue_wait_seconds',
      'Time that a request waited in the admission queue',
      durationBucketsSeconds,
    );
    this.#requestSeconds = createHistogram(
      'medlarlever_request_seconds',
      'Time from arrival of a request to the end of its response',
      durationBucketsSeconds,
    );
    this.#refusalCounter = new Counter({
      name: 'medlarlever_refusals_total',
      help: 'Requests that ended with a numbered result code',
      labelNames: ['code', 'executed', 'service'],
      registers,
    });
    this.#retryCounter = new Counter({
      name: 'medlarlever_retries_total',
      help: 'Attempts of requests after their first attempt',
      labelNames: ['service'],
      registers,
    });
    this.#budgetExhaustedCounter = new Counter({
      name: 'medlarlever_retry_budget_exhausted_total',
      help: 'Retries skipped because the retry budget was exhausted',
      labelNames: ['service'],
      registers,
    });
  }

  observeFirstToken(labels: RequestLabels, durationMs: number): void {
    this.#firstTokenSeconds.observe(
      this.#limitLabels(labels),
      durationMs / 1_000,
    );
  }

  observeTokenGap(labels: RequestLabels, durationMs: number): void {
    this.#tokenGapSeconds.observe(
      this.#limitLabels(labels),
      durationMs / 1_000,
    );
  }

  observeQueueWait(labels: RequestLabels, durationMs: number): void {
    this.#queueWaitSeconds.observe(
      this.#limitLabels(labels),
      durationMs / 1_000,
    );
  }

  observeRequest(labels: RequestLabels, durationMs: number): void {
    this.#requestSeconds.observe(this.#limitLabels(labels), durationMs / 1_000);
  }

  countRefusal(service: string, failure: Failure): void {
    const { code, executed } = failure;
    const serviceLabel = this.#serviceLabels.limitLabel(service);
    this.#refusalCounter.inc({ code, executed, service: serviceLabel });
  }

  countRetry(service: string): void {
    this.#retryCounter.inc({
      service: this.#serviceLabels.limitLabel(service),
    });
  }

  countBudgetExhausted(service: string): void {
    this.#budgetExhaustedCounter.inc({
      service: this.#serviceLabels.limitLabel(service),
    });
  }

  #limitLabels(labels: RequestLabels) {
    return {
      customer: this.#customerLabels.limitLabel(labels.customer),
      class: labels.class,
      service: this.#serviceLabels.limitLabel(labels.service),
    };
  }
}
