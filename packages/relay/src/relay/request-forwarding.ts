/** Hands one request to other instances while this one reaches no target. */
import type { Failure, ResultName } from '@medlarlever/core';

import type { Forwarding } from '../forwarding/request-forwarder.js';

import type { RequestRetries } from '../retries/request-retries.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay-dependencies.js';
import type { CallerSink } from './response-sinks.js';
import { createTargetFailure, isConnectFailure } from './send-failures.js';

/** Other instances to which one request is handed, one after the other. */
const maxForwardings = 2;

/** Failures for which yet another instance may do better. */
const elsewhereCodes: ReadonlySet<ResultName> = new Set<ResultName>([
  'no_target',
  'not_ready',
  'not_found',
  'malformed_body',
  'shutting_down',
  'overloaded',
  'forbidden',
]);

/** A whole answer that another instance has got. */
export interface ForwardedAnswer {
  readonly status: number;
  readonly instance: string;
}

/** How a request ends by forwarding; undefined if no other instance can take it. */
export type ForwardingEnd = ForwardedAnswer | Failure | undefined;

/** Forwards one request, once. */
export class RequestForwarding {
  /** Names of the instances that could not take this request. */
  readonly #failedInstances = new Set<string>();
  /** Refusal of an instance that reaches targets, but has no room for the request. */
  #overload: Failure | undefined;
  #hasRun = false;

  constructor(
    private readonly dependencies: RelayDependencies,
    private readonly context: RequestContext,
    private readonly retries: RequestRetries,
  ) {}

  /** False for a request that was forwarded already, here or by another instance. */
  get isPossible(): boolean {
    return !this.#hasRun && this.context.request.forwardedBy === undefined;
  }

  /** True if this instance reaches no target and the request may be forwarded. */
  get isNeeded(): boolean {
    return this.isPossible && this.dependencies.targetLink.isCutOff;
  }

  /**
   * Forwards the request; the answer is written to the sink, which is not finished. If other
   * instances have no room for it, it ends with their refusal: the targets are not reached
   * from here, and a failed attempt there could not be told from one that ran.
   */
  async run(sink: CallerSink): Promise<ForwardingEnd> {
    this.#hasRun = true;
    while (this.#failedInstances.size < maxForwardings) {
      const forwarding = await this.#forwardOnce(sink);
      if (forwarding === undefined) break;
      const end = this.#judge(forwarding);
      if (end !== undefined) return end;
      this.#failedInstances.add(forwarding.instance);
      if (!isConnectFailure(forwarding.outcome))
        this.retries.recordPossibleArrival();
    }
    return this.#overload && this.#endUnrun(this.#overload);
  }

  async #forwardOnce(sink: CallerSink): Promise<Forwarding | undefined> {
    const { dependencies, context } = this;
    const forwarding = await dependencies.forwarder.forward(
      context.request,
      {
        remainingMs: context.remainingMs,
        lastEventId: sink.lastEventId,
        earlierArrivals: this.retries.arrivals,
        excluded: this.#failedInstances,
        signal: context.signal,
      },
      sink,
    );
    const outcome = forwarding?.outcome.kind ?? 'no_instance';
    dependencies.metrics.recordForwarding(outcome);
    context.logEvent('request_forwarded', {
      instance: forwarding?.instance,
      outcome,
    });
    return forwarding;
  }

  /** Returns how the request ends; undefined if another instance may be asked. */
  #judge({ instance, outcome }: Forwarding): ForwardingEnd {
    const { context } = this;
    if (outcome.kind === 'failed') return this.#judgeFailure(outcome.failure);
    if (outcome.kind === 'whole') return { status: outcome.status, instance };
    if (!context.signal.aborted && isConnectFailure(outcome)) return undefined;
    context.mayHaveExecuted = true;
    return context.signal.aborted
      ? context.createDeadlineFailure()
      : createTargetFailure(
          `the answer by way of instance ${instance} broke off`,
        );
  }

  #judgeFailure(failure: Failure): Failure | undefined {
    const { context } = this;
    if (failure.executed === 'unknown') {
      context.mayHaveExecuted = true;
      return failure;
    }
    if (failure.code === 'overloaded') this.#overload = failure;
    if (elsewhereCodes.has(failure.code)) return undefined;
    return this.#endUnrun(failure);
  }

  /** Returns how a request ends that the other instance has not run. */
  #endUnrun(failure: Failure): Failure {
    return this.context.mayHaveExecuted
      ? createTargetFailure(failure.message)
      : failure;
  }
}
