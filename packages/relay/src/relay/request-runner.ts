/** Attempts and failure handling shared by plain requests and generations. */
import { Failure } from '@medlarlever/core';

import { AnswerBuffer } from '../buffers/answer-buffer.js';
import { canContinueStream } from '../origins/stream-origin.js';
import type { StreamOrigin } from '../origins/stream-origin.js';
import { RequestRetries } from '../retries/request-retries.js';
import type { SendStep } from '../retries/request-retries.js';
import type { TargetRecord } from '../targets/target-record.js';
import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay-dependencies.js';
import { runCheckedSend } from './checked-send.js';
import { computeMaxEventMs } from './event-stall.js';
import { RequestForwarding } from './request-forwarding.js';
import { StreamOriginTeller } from './stream-origin-teller.js';
import type { ServiceState } from './service-state.js';
import {
  createTargetFailure,
  getFailureReason,
  isConnectFailure,
  isNotExecuted,
} from './send-failures.js';
import type { FailedSendOutcome } from './send-failures.js';
import { SendWatchdog } from './send-watchdog.js';
import type { SendWatchdogOptions } from './send-watchdog.js';
import { recordTargetFailure } from './target-outcomes.js';
import type { FailedSend } from './target-outcomes.js';
import type { CallerSink } from './response-sinks.js';
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

/** What the watchdog of one send depends on. */
export type SendTimeouts = Pick<
  SendWatchdogOptions,
  | 'target'
  | 'expectedResponseMs'
  | 'stallTimeoutMs'
  | 'eventStallMs'
  | 'isExclusive'
  | 'isPaused'
>;

/** Lowest response status after which a retryable request is retried. */
export const minServerErrorStatus = 500;

/** Base class that runs one request, with retries at other targets. */
export abstract class RequestRunner {
  /** Targets at which an attempt of this request failed. */
  protected readonly excludedTargets = new Set<TargetState>();
  /** Number of failed sends that a target may have executed. */
  protected possibleExecutionCount = 0;
  /** Counts what reaches targets against the retry budget. */
  protected readonly retries: RequestRetries;
  #hasRecordedRunStart = false;
  /** True if the current send was given up and may go on elsewhere. */
  #wasGivenUp = false;
  #hasForeignEvents = false;
  protected readonly answerBuffer: AnswerBuffer;
  readonly #forwarding: RequestForwarding;

  constructor(
    protected readonly dependencies: RelayDependencies,
    protected readonly context: RequestContext,
  ) {
    this.retries = new RequestRetries(
      this.serviceState.retryBudget,
      context.request.earlierArrivals,
    );
    this.#forwarding = new RequestForwarding(
      dependencies,
      context,
      this.retries,
    );
    const { caller, request, route } = context;
    this.answerBuffer = new AnswerBuffer({
      buffers: dependencies.callerBuffers,
      caller,
      requestId: request.id,
      isResumable: route.kind === 'stream' && route.resumable,
      onGiveWay: () => {
        context.giveWay();
      },
    });
  }

  /** Runs the request until it has been answered or has failed. */
  async run(): Promise<void> {
    try {
      await this.runAttempts();
    } finally {
      this.retries.release();
    }
  }

  /** Makes attempts until the request has been answered or has failed. */
  protected abstract runAttempts(): Promise<void>;

  /** True if the request may be executed once more after the current attempt. */
  protected abstract canRetry(): boolean;

  protected get serviceState(): ServiceState {
    return this.dependencies.serviceStates.getState(this.context.service);
  }

  protected failRequest(failure: Failure): void {
    this.context.failRequest(failure);
  }

  /** Begins a send to the target of which it may become known where the stream began. */
  protected beginOrigin(record: TargetRecord): StreamOriginTeller {
    return new StreamOriginTeller(this.dependencies, this.context, record);
  }

  /** True if the request ended because of events that do not fit its stream. */
  protected get hasForeignEvents(): boolean {
    return this.#hasForeignEvents;
  }

  /**
   * Records where the events were made that are about to be passed on. Ends the request and
   * returns false if they may be of another software version than those before.
   */
  protected acceptEvents(teller: StreamOriginTeller): boolean {
    if (this.#hasForeignEvents) return false;
    const origin = teller.recordEvent();
    if (origin !== undefined || this.context.origin === undefined) return true;
    this.#hasForeignEvents = true;
    this.failRequest(
      createTargetFailure(
        'the target has restarted, perhaps at another version',
      ),
    );
    this.context.abortSend();
    return false;
  }

  /**
   * Hands the request to another instance if this one reaches no target; true when the
   * request has ended.
   */
  protected async tryForward(sink: CallerSink): Promise<boolean> {
    if (!this.#forwarding.isNeeded) return false;
    const end = await this.#forwarding.run(sink);
    if (end === undefined) return false;
    if (end instanceof Failure) {
      this.failRequest(end);
      return true;
    }
    sink.finish();
    this.context.completeForwarded(end.status, end.instance);
    return true;
  }

  /**
   * Waits for the verdict on the link if it is in doubt; true if this instance reaches no
   * target and others may be asked.
   */
  protected async isCutOffAfterAll(): Promise<boolean> {
    if (!this.#forwarding.isPossible) return false;
    await this.dependencies.targetLink.settle();
    return this.#forwarding.isNeeded;
  }

  /** Sends the request to the target once. */
  protected async sendOnce(
    record: TargetRecord,
    options: SendOptions,
    sink: CallerSink,
  ): Promise<SendOutcome> {
    const { targetClient, crashTracker } = this.dependencies;
    const { request, route } = this.context;
    const sentAtMs = performance.now();
    const isStream = route.kind === 'stream';
    sink.onRunStart = () => {
      this.#recordRunStart(isStream ? performance.now() : sentAtMs);
    };
    const maxEventMs = computeMaxEventMs(route);
    const endSend = this.retries.startSend();
    const outcome = await runCheckedSend(
      { sink, signal: options.signal, maxEventMs },
      signal =>
        targetClient.send(record, request, { ...options, signal }, sink),
    );
    endSend(isConnectFailure(outcome) ? 'unsent' : 'arrived');
    // What another instance answers is counted there.
    sink.onRunStart = () => undefined;
    if (outcome.kind === 'whole')
      crashTracker.requests.recordAnswer(request.fingerprint);
    const mayHaveRun = outcome.kind !== 'whole' && !isNotExecuted(outcome);
    if (mayHaveRun && !isStream) this.#recordRunStart(sentAtMs);
    return outcome;
  }

  /** Records once that a target has begun to run the request. */
  #recordRunStart(startedAtMs: number): void {
    if (this.#hasRecordedRunStart) return;
    this.#hasRecordedRunStart = true;
    this.dependencies.onRunStart?.(this.context.request, startedAtMs);
  }

  /** Creates the watchdog of a send that can go on at another target. */
  protected createWatchdog(options: SendTimeouts): SendWatchdog {
    const { probeTarget, targetLink } = this.dependencies;
    const { target } = options;
    this.#wasGivenUp = false;
    return new SendWatchdog({
      ...options,
      canMove: () => this.#canMove(target),
      reserveMove: () => this.#reserveMove(target),
      signal: this.context.signal,
      probe: probeTarget,
      isCutOff: () => targetLink.isCutOff,
    });
  }

  /** True if a target that is not excluded can take the request now. */
  protected abstract canPlace(): boolean;

  /** True if the send to the target can go on elsewhere. */
  #canMove(target: TargetState): boolean {
    const isPrefill = target.record.role === 'prefill';
    // A prompt may be read again, whatever becomes of the answer.
    if (!isPrefill && !this.canRetry()) return false;
    if (!this.retries.canRepeat) return false;
    return this.#forwarding.isNeeded || this.#canPlaceElsewhere(target);
  }

  #canPlaceElsewhere(target: TargetState): boolean {
    const { targets } = this.dependencies;
    const isOtherAlive = targets
      .listOpenTargets(this.context.service)
      .some(other => other !== target && !other.isAvoided);
    if (!isOtherAlive) return false;
    const wasExcluded = this.excludedTargets.has(target);
    this.excludedTargets.add(target);
    try {
      return this.canPlace();
    } finally {
      if (!wasExcluded) this.excludedTargets.delete(target);
    }
  }

  /** Returns true if the send can go on elsewhere, and reserves the retry for it. */
  #reserveMove(target: TargetState): boolean {
    this.#wasGivenUp = this.#canMove(target) && this.retries.reserveRepeat();
    return this.#wasGivenUp;
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
    const wasGivenUp = outcome.kind === 'aborted' && this.#wasGivenUp;
    const mayRetry = wasNotExecuted || wasGivenUp || this.canRetry();
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
   * Reserves a retry and returns true, or fails the request and returns false when the
   * budget is exhausted.
   */
  protected retryOrFail(outcome: { kind: string; phase?: string }): boolean {
    // A send that never reached a target does not count as an attempt.
    if (!isConnectFailure(outcome) && !this.retries.reserveRetry()) {
      this.failRequest(this.#createRetryBudgetFailure());
      return false;
    }
    const { retryBudget } = this.serviceState;
    this.context.logEvent('request_resent', {
      after: outcome.kind,
      left: Math.floor(retryBudget.remainingRetries),
      history_ms: Math.round(retryBudget.historyMs),
      instances: retryBudget.instanceCount,
    });
    return true;
  }

  /**
   * Reserves the retries that the step takes and returns true, or fails the request and
   * returns false when the budget is exhausted.
   */
  protected reserveOrFail(step: SendStep): boolean {
    if (this.retries.reserveFor(step)) return true;
    this.failRequest(this.#createRetryBudgetFailure());
    return false;
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
