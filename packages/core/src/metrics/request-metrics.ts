/** Histograms and counters of requests, with bounded labels. */
import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

import type { Failure } from '../shared/failure.js';

import { LabelLimit } from './label-limiter.js';

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

const secondsBuckets = [0.01, 0.05, 0.2, 0.5, 1, 1.4, 3, 10, 30, 60];
const tokenGapBuckets = [0.005, 0.01, 0.02, 0.03, 0.057, 0.1, 0.3, 1];

const labelNames = ['customer', 'class', 'service'] as const;
type LabelName = (typeof labelNames)[number];

export class RequestMetrics {
  readonly #customers: LabelLimit;
  readonly #services: LabelLimit;
  readonly #firstToken: Histogram<LabelName>;
  readonly #tokenGap: Histogram<LabelName>;
  readonly #queueWait: Histogram<LabelName>;
  readonly #total: Histogram<LabelName>;
  readonly #refusals: Counter<'code' | 'executed' | 'service'>;
  readonly #retries: Counter<'service'>;
  readonly #budgetExhausted: Counter<'service'>;

  constructor(options: RequestMetricsOptions) {
    this.#customers = new LabelLimit(
      options.maxCustomers ?? defaultMaxCustomers,
    );
    this.#services = new LabelLimit(options.maxServices ?? defaultMaxServices);
    const registers = [options.registry];
    const histogram = (name: string, help: string, buckets: number[]) =>
      new Histogram({ name, help, buckets, labelNames, registers });
    this.#firstToken = histogram(
      'medlarlever_first_token_seconds',
      'Time from arrival to the first token',
      secondsBuckets,
    );
    this.#tokenGap = histogram(
      'medlarlever_token_gap_seconds',
      'Time between two tokens',
      tokenGapBuckets,
    );
    this.#queueWait = histogram(
      'medlarlever_queue_wait_seconds',
      'Time in the queue of admission',
      secondsBuckets,
    );
    this.#total = histogram(
      'medlarlever_request_seconds',
      'Time from arrival to the end of the answer',
      secondsBuckets,
    );
    this.#refusals = new Counter({
      name: 'medlarlever_refusals_total',
      help: 'Requests that ended with a numbered result',
      labelNames: ['code', 'executed', 'service'],
      registers,
    });
    this.#retries = new Counter({
      name: 'medlarlever_retries_total',
      help: 'Attempts after the first of a request',
      labelNames: ['service'],
      registers,
    });
    this.#budgetExhausted = new Counter({
      name: 'medlarlever_retry_budget_exhausted_total',
      help: 'Retries not made because the budget was used up',
      labelNames: ['service'],
      registers,
    });
  }

  observeFirstToken(labels: RequestLabels, ms: number): void {
    this.#firstToken.observe(this.#bounded(labels), ms / 1_000);
  }

  observeTokenGap(labels: RequestLabels, ms: number): void {
    this.#tokenGap.observe(this.#bounded(labels), ms / 1_000);
  }

  observeQueueWait(labels: RequestLabels, ms: number): void {
    this.#queueWait.observe(this.#bounded(labels), ms / 1_000);
  }

  observeTotal(labels: RequestLabels, ms: number): void {
    this.#total.observe(this.#bounded(labels), ms / 1_000);
  }

  countRefusal(service: string, failure: Failure): void {
    const { code, executed } = failure;
    const label = this.#services.labelOf(service);
    this.#refusals.inc({ code, executed, service: label });
  }

  countRetry(service: string): void {
    this.#retries.inc({ service: this.#services.labelOf(service) });
  }

  countBudgetExhausted(service: string): void {
    this.#budgetExhausted.inc({ service: this.#services.labelOf(service) });
  }

  #bounded(labels: RequestLabels) {
    return {
      customer: this.#customers.labelOf(labels.customer),
      class: labels.class,
      service: this.#services.labelOf(labels.service),
    };
  }
}
