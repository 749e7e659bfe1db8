/** Attempts and failure handling shared by plain requests and generations. */
import { Failure } from '@medlarlever/core';

import type { Forwarding } from '../forwarding/request-forwarder.js';
import { canContinueStream } from '../origins/stream-origin.js';
import type { StreamOrigin } from '../origins/stream-origin.js';
import type { TargetRecord } from '../targets/target-record.js';
import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay.js';
import type { ServiceState } from './service-state.js';
import { recordTargetFailure } from './target-outcomes.js';
import type { FailedSend } from './target-outcomes.js';
import { BufferedResponseSink } from './response-sinks.js';
import type { StreamingResponseSink } from './response-sinks.js';
import type { SendOptions, SendOutcome } from './target-client.js';

/** Retry delay for the caller when no target can take the request. */
export const noTargetRetryAfterMs = 250;

/**
 * Returns the retry delay for the caller when no target can take the request: the
 * time until the first target accepts requests again if all asked for a pause or named
 * a limit.
 */
export const computeRetryAfterMs = (
  targets: readonly TargetState[],
  defaultRetryAfterMs: number,
): number => {
  const refusalMs = Math.min(...targets.map(target => target.refusalMs));
  return Number.isFinite(refusalMs)
    ? Math.max(defaultRetryAfterMs, refusalMs)
    : defaultRetryAfterMs;
};

/** True if one of the targets can continue a stream with the origin. */
export const canBeContinued = (
  origin: StreamOrigin | undefined,
  targets: readonly TargetState[],
): boolean =>
  origin === undefined ||
  targets.some(({ record }) => canContinueStream(record, origin));

/** Creates the failure of a stream that cannot go on anywhere. */
export const createVersionGoneFailure = ({
  mayHaveExecuted,
  origin,
}: RequestContext): Failure =>
  new Failure(
    'stream_version_gone',
    `no target of software version ${origin?.softwareVersion ?? 'unnamed'}, which began the stream, is left; begin it anew`,
    { executed: mayHaveExecuted ? 'unknown' : 'no' },
  );

/** Lowest response status after which a retryable request is retried. */
export const minServerErrorStatus = 500;

/** Other instances to which one request is handed, one after the other. */
const maxForwardings = 2;

/** Failures for which yet another instance may do better. */
const elsewhereCodes: ReadonlySet<string> = new Set([
  'no_target',
  'not_ready',
  'not_found',
  'shutting_down',
  'overloaded',
]);

type FailedSendOutcome = Exclude<SendOutcome, { kind: 'whole' }>;

/** True when the target has certainly not executed the request. */
const isNotExecuted = (outcome: FailedSendOutcome): boolean =>
  outcome.kind === 'not_executed' || isConnectFailure(outcome);

/** True when no byte of the request reached the target. */
export const isConnectFailure = (outcome: {
  kind: string;
  phase?: string;
}): boolean => outcome.kind === 'broken' && outcome.phase === 'connecting';

const getFailureReason = (outcome: FailedSendOutcome): string => {
  if (outcome.kind === 'broken') return outcome.reason;
  if (outcome.kind === 'aborted') return 'no answer within the time limit';
  return `response status ${outcome.status}`;
};

/** Base class that runs one request, with retries at other targets. */
export abstract class RequestRunner {
  /** Targets at which an attempt of this request failed. */
  protected readonly excludedTargets = new Set<TargetState>();
  /** Number of failed sends that a target may have executed. */
  protected possibleExecutionCount = 0;
  /** Names of the instances that could not take this request. */
  readonly #failedInstances = new Set<string>();
  #hasTriedForwarding = false;

  constructor(
    protected readonly dependencies: RelayDependencies,
    protected readonly context: RequestContext,
  ) {}

  /** Runs the request until it has been answered or has failed. */
  abstract run(): Promise<void>;

  /** True if the request may be executed once more after the current attempt. */
  protected abstract canRetry(): boolean;

  protected get serviceState(): ServiceState {
    return this.dependencies.serviceStates.getState(this.context.service);
  }

  protected failRequest(failure: Failure): void {
    this.context.failRequest(failure);
  }

  /**
   * Tells the other instances where the stream begins, before its first event, so that
   * its caller can take it up again at any of them.
   */
  protected recordOrigin({ service, softwareVersion }: TargetRecord): void {
    const { request, route } = this.context;
    if (route.kind !== 'stream' || !route.resumable) return;
    const firstRequest = request.resumedRequestId ?? request.id;
    this.dependencies.onStreamBegin(firstRequest, { service, softwareVersion });
  }

  /**
   * Hands the request to another instance if this one reaches no target; true when the
   * request has ended.
   */
  protected async tryForward(
    sink: BufferedResponseSink | StreamingResponseSink,
  ): Promise<boolean> {
    const { targetLink } = this.dependencies;
    const { request } = this.context;
    if (!targetLink.isCutOff || request.forwardedBy !== undefined) return false;
    if (this.#hasTriedForwarding) return false;
    this.#hasTriedForwarding = true;
    while (this.#failedInstances.size < maxForwardings) {
      const forwarding = await this.#forwardOnce(sink);
      if (forwarding === undefined) return false;
      if (this.#endForwarding(forwarding, sink)) return true;
      this.#failedInstances.add(forwarding.instance);
    }
    return false;
  }

  /**
   * Waits for the verdict on the link if it is in doubt; true if this instance reaches no
   * target and others may be asked.
   */
  protected async isCutOffAfterAll(): Promise<boolean> {
    const { targetLink } = this.dependencies;
    if (this.context.request.forwardedBy !== undefined) return false;
    if (this.#hasTriedForwarding) return false;
    await targetLink.settle();
    return targetLink.isCutOff;
  }

  async #forwardOnce(
    sink: BufferedResponseSink | StreamingResponseSink,
  ): Promise<Forwarding | undefined> {
    const { dependencies, context } = this;
    const forwarding = await dependencies.forwarder.forward(
      context.request,
      {
        remainingMs: context.remainingMs,
        lastEventId:
          sink instanceof BufferedResponseSink ? undefined : sink.lastEventId,
        excluded: this.#failedInstances,
        signal: context.signal,
      },
      sink,
    );
    const { instance, outcome } = forwarding ?? {};
    dependencies.metrics.recordForwarding(outcome?.kind ?? 'no_instance');
    context.logEvent('request_forwarded', {
      instance,
      outcome: outcome?.kind ?? 'no_instance',
    });
    return forwarding;
  }

  /** Ends the request by what came of it elsewhere; false if it may be tried again. */
  #endForwarding(
    { instance, outcome }: Forwarding,
    sink: BufferedResponseSink | StreamingResponseSink,
  ): boolean {
    const { context } = this;
    const truncation =
      sink instanceof BufferedResponseSink ? undefined : sink.findTruncation();
    if (outcome.kind === 'whole' && truncation === undefined) {
      sink.finish();
      context.completeForwarded(outcome.status, instance);
      return true;
    }
    if (context.signal.aborted) {
      context.mayHaveExecuted = true;
      this.failRequest(context.createDeadlineFailure());
      return true;
    }
    if (outcome.kind === 'failed')
      return this.#endFailedForwarding(outcome.failure);
    if (isConnectFailure(outcome)) return false;
    context.mayHaveExecuted = true;
    this.failRequest(
      createTargetFailure(
        `the answer by way of instance ${instance} broke off`,
      ),
    );
    return true;
  }

  #endFailedForwarding(failure: Failure): boolean {
    const { context } = this;
    if (failure.executed === 'no' && elsewhereCodes.has(failure.code))
      return false;
    if (failure.executed === 'unknown') context.mayHaveExecuted = true;
    this.failRequest(
      context.mayHaveExecuted && failure.executed === 'no'
        ? createTargetFailure(failure.message)
        : failure,
    );
    return true;
  }

  /**
   * Sends the request once. A stream that breaks off without an error of the connection
   * is broken as well.
   */
  protected async sendOnce(
    record: TargetRecord,
    options: SendOptions,
    sink: BufferedResponseSink | StreamingResponseSink,
  ): Promise<SendOutcome> {
    const { targetClient } = this.dependencies;
    const { request } = this.context;
    if (sink instanceof BufferedResponseSink)
      return targetClient.send(record, request, options, sink);
    const overlong = new AbortController();
    sink.onOverlongEvent = () => {
      overlong.abort();
    };
    const signal = AbortSignal.any([options.signal, overlong.signal]);
    const outcome = await targetClient.send(
      record,
      request,
      { ...options, signal },
      sink,
    );
    if (overlong.signal.aborted)
      return createTruncatedOutcome('an event of the stream has no end');
    if (outcome.kind !== 'whole') return outcome;
    const truncation = sink.findTruncation();
    return truncation === undefined
      ? outcome
      : createTruncatedOutcome(truncation);
  }

  /** Counts a request at the target; the returned function removes it. */
  protected startRequest(target: TargetState): () => void {
    if (target.isLimited)
      this.dependencies.metrics.recordLimitedSend(target.record.service);
    return target.startRequest();
  }

  /** Handles a failed send; true when the request has ended. */
  protected handleSendFailure(
    send: FailedSend,
    outcome: FailedSendOutcome,
  ): boolean {
    const { context } = this;
    const wasNotExecuted = isNotExecuted(outcome);
    const mayRetry = wasNotExecuted || this.canRetry();
    if (!wasNotExecuted) {
      this.possibleExecutionCount += 1;
      context.mayHaveExecuted = true;
    }
    if (context.signal.aborted) {
      this.failRequest(context.createDeadlineFailure());
      return true;
    }
    recordTargetFailure(this.dependencies, context, send, outcome);
    this.excludedTargets.add(send.target);
    if (!mayRetry) {
      this.failRequest(createTargetFailure(getFailureReason(outcome)));
      return true;
    }
    return !this.retryOrFail(outcome);
  }

  /**
   * Takes a retry from the budget and returns true, or fails the request and returns
   * false when the budget is exhausted.
   */
  protected retryOrFail(outcome: { kind: string; phase?: string }): boolean {
    const { retryBudget } = this.serviceState;
    // A send that never reached a target does not count as an attempt.
    if (!isConnectFailure(outcome) && !retryBudget.tryConsumeRetry()) {
      this.failRequest(this.#createRetryBudgetFailure());
      return false;
    }
    const remainingRetries = Math.floor(retryBudget.remainingRetries);
    this.context.logEvent('request_resent', {
      after: outcome.kind,
      left: remainingRetries,
    });
    return true;
  }

  #createRetryBudgetFailure(): Failure {
    return new Failure(
      'retry_budget_exhausted',
      'the retry budget of the service is exhausted; retry later',
      {
        executed: this.context.mayHaveExecuted ? 'unknown' : 'no',
        retryAfterMs: noTargetRetryAfterMs,
      },
    );
  }
}

const createTruncatedOutcome = (reason: string): SendOutcome => ({
  kind: 'broken',
  phase: 'answering',
  reason,
});

const createTargetFailure = (reason: string): Failure =>
  new Failure('target_failed', `the target failed: ${reason}`, {
    executed: 'unknown',
  });
