/** Counters and histograms of relayed requests. */
import { LabelLimit } from '@medlarlever/core';
import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

import type { Route } from '../routes/route-configuration.js';

const secondsBuckets = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 3, 5];
const gapBuckets = [0.02, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 2];

/** Routes with labels of their own; the rest share one. */
const mostRouteLabels = 40;
const msPerSecond = 1_000;

export class RelayMetrics {
  readonly #ends: Counter<'route' | 'outcome'>;
  readonly #first: Histogram<'route'>;
  readonly #total: Histogram<'route'>;
  readonly #reading: Histogram<'service'>;
  readonly #gaps: Histogram<'service'>;
  readonly #sends: Counter<'service' | 'outcome'>;
  readonly #labels = new LabelLimit(mostRouteLabels);

  constructor(registry: Registry) {
    const registers = [registry];
    this.#ends = new Counter({
      name: 'medlarlever_relay_requests_total',
      help: 'Relayed requests by route and outcome',
      labelNames: ['route', 'outcome'],
      registers,
    });
    this.#first = new Histogram({
      name: 'medlarlever_relay_first_seconds',
      help: 'Time to the first bytes of an answer',
      labelNames: ['route'],
      buckets: secondsBuckets,
      registers,
    });
    this.#total = new Histogram({
      name: 'medlarlever_relay_total_seconds',
      help: 'Time to the end of an answer or failure',
      labelNames: ['route'],
      buckets: secondsBuckets,
      registers,
    });
    this.#reading = new Histogram({
      name: 'medlarlever_relay_reading_seconds',
      help: 'Time that a prompt waited and was read apart',
      labelNames: ['service'],
      buckets: secondsBuckets,
      registers,
    });
    this.#gaps = new Histogram({
      name: 'medlarlever_relay_gap_seconds',
      help: 'Mean time between the events of a stream',
      labelNames: ['service'],
      buckets: gapBuckets,
      registers,
    });
    this.#sends = new Counter({
      name: 'medlarlever_relay_sends_total',
      help: 'Sends to targets by service and outcome',
      labelNames: ['service', 'outcome'],
      registers,
    });
  }

  ended(route: Route, outcome: string, firstMs: number, totalMs: number): void {
    const label = this.#labels.labelOf(route.name);
    this.#ends.inc({ route: label, outcome });
    this.#first.observe({ route: label }, firstMs / msPerSecond);
    this.#total.observe({ route: label }, totalMs / msPerSecond);
  }

  /** A prompt was read apart. */
  read(service: string, tookMs: number): void {
    this.#reading.observe({ service }, tookMs / msPerSecond);
  }

  /** A stream ended whose events came at this pace. */
  paced(service: string, gapMs: number): void {
    this.#gaps.observe({ service }, gapMs / msPerSecond);
  }

  sent(service: string, outcome: string): void {
    this.#sends.inc({ service, outcome });
  }
}
