/** Histograms and counters of requests, with bounded labels. */
import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

import type { Failure } from '../shared/failure.js';

import { LabelLimiter } from './label-limiter.js';

/** Whose request a figure belongs to. */
export interface RequestLabels {
  readonly customer: string;
  readonly class: string;
  /** `models` or the name of a plain service. */
  readonly service: string;
}

export interface RequestMetricsOptions {
  readonly registry: Registry;
  /** Customers with a label of their own; later ones share `other`. */
  readonly maxCustomers?: number;
  /** Services with a label of their own; later ones share `other`. */
  readonly maxServices?: number;
}

const defaultMaxCustomers = 256;
const defaultMaxServices = 32;

const durationBucketsSeconds = [0.01, 0.05, 0.2, 0.5, 1, 1.4, 3, 10, 30, 60];
const tokenGapBucketsSeconds = [0.005, 0.01, 0.02, 0.03, 0.057, 0.1, 0.3, 1];

const labelNames = ['customer', 'class', 'service'] as const;
type LabelName = (typeof labelNames)[number];

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
    const histogram = (name: string, help: string, buckets: number[]) =>
      new Histogram({ name, help, buckets, labelNames, registers });
    this.#firstTokenSeconds = histogram(
      'medlarlever_first_token_seconds',
      'Time from arrival to the first token',
      durationBucketsSeconds,
    );
    this.#tokenGapSeconds = histogram(
      'medlarlever_token_gap_seconds',
      'Time between two tokens',
      tokenGapBucketsSeconds,
    );
    this.#queueWaitSeconds = histogram(
      'medlarlever_queue_wait_seconds',
      'Time in the queue of admission',
      durationBucketsSeconds,
    );
    this.#requestSeconds = histogram(
      'medlarlever_request_seconds',
      'Time from arrival to the end of the answer',
      durationBucketsSeconds,
    );
    this.#refusalCounter = new Counter({
      name: 'medlarlever_refusals_total',
      help: 'Requests that ended with a numbered result',
      labelNames: ['code', 'executed', 'service'],
      registers,
    });
    this.#retryCounter = new Counter({
      name: 'medlarlever_retries_total',
      help: 'Attempts after the first of a request',
      labelNames: ['service'],
      registers,
    });
    this.#budgetExhaustedCounter = new Counter({
      name: 'medlarlever_retry_budget_exhausted_total',
      help: 'Retries not made because the budget was used up',
      labelNames: ['service'],
      registers,
    });
  }

  observeFirstToken(labels: RequestLabels, ms: number): void {
    this.#firstTokenSeconds.observe(this.#limitLabels(labels), ms / 1_000);
  }

  observeTokenGap(labels: RequestLabels, ms: number): void {
    this.#tokenGapSeconds.observe(this.#limitLabels(labels), ms / 1_000);
  }

  observeQueueWait(labels: RequestLabels, ms: number): void {
    this.#queueWaitSeconds.observe(this.#limitLabels(labels), ms / 1_000);
  }

  observeRequest(labels: RequestLabels, ms: number): void {
    this.#requestSeconds.observe(this.#limitLabels(labels), ms / 1_000);
  }

  countRefusal(service: string, failure: Failure): void {
    const { code, executed } = failure;
    const label = this.#serviceLabels.limitLabel(service);
    this.#refusalCounter.inc({ code, executed, service: label });
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
