/** Counters and histograms of relayed requests. */
import { LabelLimiter } from '@medlarlever/core';
import { Counter, Histogram } from 'prom-client';
import type { Registry } from 'prom-client';

import type { Route } from '../routes/route-configuration.js';

const durationBucketsS = [0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2, 3, 5];
const eventGapBucketsS = [0.02, 0.04, 0.06, 0.1, 0.2, 0.5, 1, 2];

/** Number of routes with their own label; all further routes share one label. */
const maxRouteLabels = 40;
/** Number of customers with their own label; all further customers share one label. */
const maxCustomerLabels = 100;
const msPerSecond = 1_000;

/** Records metrics of requests, prefills, event streams and sends. */
export class RelayMetrics {
  readonly #requestCounter: Counter<'route' | 'outcome'>;
  readonly #firstByteHistogram: Histogram<'route'>;
  readonly #durationHistogram: Histogram<'route'>;
  readonly #prefillHistogram: Histogram<'service'>;
  readonly #eventGapHistogram: Histogram<'service'>;
  readonly #sendCounter: Counter<'service' | 'outcome'>;
  readonly #limitedSendCounter: Counter<'service'>;
  readonly #repeatCounter: Counter<'service' | 'step'>;
  readonly #sendAbortCounter: Counter<'service' | 'reason'>;
  readonly #forwardedCounter: Counter<'outcome'>;
  readonly #refusedPromptCounter: Counter<'service'>;
  readonly #roomRefusalCounter: Counter<'service'>;
  readonly #resumptionCounter: Counter<'service' | 'origin'>;
  readonly #closedConnectionCounter: Counter<'listener' | 'limit'>;
  readonly #customerRequestCounter: Counter<'customer' | 'outcome'>;
  readonly #customerFirstHistogram: Histogram<'customer'>;
  readonly #customerLabels = new LabelLimiter(maxCustomerLabels);
  readonly #routeLabels = new LabelLimiter(maxRouteLabels);

  constructor(registry: Registry) {
    const registers = [registry];
    this.#requestCounter = new Counter({
      name: 'medlarlever_relay_requests_total',
      help: 'Relayed requests by route and outcome',
      labelNames: ['route', 'outcome'],
      registers,
    });
    this.#closedConnectionCounter = new Counter({
      name: 'medlarlever_relay_closed_connections_total',
      help: 'Connections closed because of a limit, by listener and limit',
      labelNames: ['listener', 'limit'],
      registers,
    });
    this.#firstByteHistogram = new Histogram({
      name: 'medlarlever_relay_first_seconds',
      help: 'Time to the first bytes of an answer',
      labelNames: ['route'],
      buckets: durationBucketsS,
      registers,
    });
    this.#durationHistogram = new Histogram({
      name: 'medlarlever_relay_total_seconds',
      help: 'Time to the end of an answer or failure',
      labelNames: ['route'],
      buckets: durationBucketsS,
      registers,
    });
    this.#customerRequestCounter = new Counter({
      name: 'medlarlever_relay_customer_requests_total',
      help: 'Requests whose key was checked, by customer and outcome',
      labelNames: ['customer', 'outcome'],
      registers,
    });
    this.#customerFirstHistogram = new Histogram({
      name: 'medlarlever_relay_customer_first_seconds',
      help: 'Time to the first bytes of an answer, by customer',
      labelNames: ['customer'],
      buckets: durationBucketsS,
      registers,
    });
    this.#prefillHistogram = new Histogram({
      name: 'medlarlever_relay_reading_seconds',
      help: 'Time that a prompt waited and was read apart',
      labelNames: ['service'],
      buckets: durationBucketsS,
      registers,
    });
    this.#eventGapHistogram = new Histogram({
      name: 'medlarlever_relay_gap_seconds',
      help: 'Mean time between the events of a stream',
      labelNames: ['service'],
      buckets: eventGapBucketsS,
      registers,
    });
    this.#sendCounter = new Counter({
      name: 'medlarlever_relay_sends_total',
      help: 'Sends to targets by service and outcome',
      labelNames: ['service', 'outcome'],
      registers,
    });
    this.#repeatCounter = new Counter({
      name: 'medlarlever_relay_repeated_sends_total',
      help: 'Sends of a request after its first prefill or its first run, by service',
      labelNames: ['service', 'step'],
      registers,
    });
    this.#sendAbortCounter = new Counter({
      name: 'medlarlever_relay_aborted_sends_total',
      help: 'Sends that this instance aborted, by service and reason',
      labelNames: ['service', 'reason'],
      registers,
    });
    this.#roomRefusalCounter = new Counter({
      name: 'medlarlever_relay_room_refusals_total',
      help: 'Requests refused because no engine would have room in time',
      labelNames: ['service'],
      registers,
    });
    this.#resumptionCounter = new Counter({
      name: 'medlarlever_relay_resumptions_total',
      help: 'Streams that callers took up again, by how it is known where they began',
      labelNames: ['service', 'origin'],
      registers,
    });
    this.#forwardedCounter = new Counter({
      name: 'medlarlever_relay_forwarded_total',
      help: 'Requests handed to other instances, by outcome',
      labelNames: ['outcome'],
      registers,
    });
    this.#refusedPromptCounter = new Counter({
      name: 'medlarlever_relay_refused_prompts_total',
      help: 'Requests refused because a part of their prompts crashes targets, by service',
      labelNames: ['service'],
      registers,
    });
    this.#limitedSendCounter = new Counter({
      name: 'medlarlever_relay_limited_sends_total',
      help: 'Requests to targets that had named a limit, by service',
      labelNames: ['service'],
      registers,
    });
  }

  /** Records a request that is refused because no engine has room for it in time. */
  recordRoomRefusal(service: string): void {
    this.#roomRefusalCounter.inc({ service });
  }

  /** Records a stream that a caller takes up again, by how its origin is known. */
  recordResumption(service: string, origin: string): void {
    this.#resumptionCounter.inc({ service, origin });
  }

  /**
   * Records the end of a request. `firstMs` and `totalMs` are the times to the
   * first byte and to the end of the response.
   */
  recordRequestEnd(
    route: Route,
    outcome: string,
    firstMs: number,
    totalMs: number,
  ): void {
    const label = this.#routeLabels.limitLabel(route.name);
    this.#requestCounter.inc({ route: label, outcome });
    this.#firstByteHistogram.observe({ route: label }, firstMs / msPerSecond);
    this.#durationHistogram.observe({ route: label }, totalMs / msPerSecond);
  }

  /** Records the end of a customer's request. */
  recordCustomerRequestEnd(
    customer: string,
    outcome: string,
    firstMs: number,
  ): void {
    const label = this.#customerLabels.limitLabel(customer);
    this.#customerRequestCounter.inc({ customer: label, outcome });
    this.#customerFirstHistogram.observe(
      { customer: label },
      firstMs / msPerSecond,
    );
  }

  /** Records a separate prefill; `durationMs` includes the queue wait. */
  recordPrefill(service: string, durationMs: number): void {
    this.#prefillHistogram.observe({ service }, durationMs / msPerSecond);
  }

  /** Records the mean time between the events of a stream that has ended. */
  recordEventGap(service: string, meanGapMs: number): void {
    this.#eventGapHistogram.observe({ service }, meanGapMs / msPerSecond);
  }

  /** Records the outcome of one send to a target. */
  recordSend(service: string, outcome: string): void {
    this.#sendCounter.inc({ service, outcome });
  }

  /** Records that a request is prefilled or run once more, as it is sent. */
  recordRepeat(service: string, step: 'prefill' | 'run'): void {
    this.#repeatCounter.inc({ service, step });
  }

  /** Records a send that this instance aborted. */
  recordSendAbort(service: string, reason: string): void {
    this.#sendAbortCounter.inc({ service, reason });
  }

  /** Records the outcome of a request that was handed to another instance. */
  recordForwarding(outcome: string): void {
    this.#forwardedCounter.inc({ outcome });
  }

  /** Records a request that is refused because a part of its prompt crashes targets. */
  recordRefusedPrompt(service: string): void {
    this.#refusedPromptCounter.inc({ service });
  }

  /** Records a connection that was closed because of a limit. */
  recordClosedConnection(listener: string, limit: string): void {
    this.#closedConnectionCounter.inc({ listener, limit });
  }

  /** Records a request to a target that had named a limit. */
  recordLimitedSend(service: string): void {
    this.#limitedSendCounter.inc({ service });
  }
}
