/**
 * Runs a request to a service without engines, with retries at other targets if the
 * route allows them.
 */
import { Failure } from '@medlarlever/core';

import { selectPlainTarget } from '../placement/plain-target.js';
import type { TargetState } from '../targets/target-state.js';

import {
  BufferedResponseSink,
  StreamingResponseSink,
} from './response-sinks.js';
import {
  RequestRunner,
  canBeContinued,
  computeRetryAfterMs,
  createVersionGoneFailure,
  minServerErrorStatus,
  noTargetRetryAfterMs,
} from './request-runner.js';
import { recordSendAbort } from './send-abort.js';
import type { SendWatchdog } from './send-watchdog.js';
import { recordTargetSuccess } from './target-outcomes.js';

/** Reference duration against which the slowness of a target is measured. */
const expectedPlainRequestMs = 60;

/** Queued requests per slot that a target may have beyond its running ones. */
const maxQueuedRequestsPerSlot = 2;

/**
 * Fraction of the time left until the deadline after which a retryable request
 * without new response data is aborted: the response may be lost, and the retry
 * needs time as well.
 */
const stallTimeoutShare = 0.4;

/** Runs one request to a service without engines. */
export class PlainRequestRunner extends RequestRunner {
  /** Called for each write of a stream to the caller. */
  #onEvent: () => boolean = () => true;

  protected override async runAttempts(): Promise<void> {
    const { context } = this;
    for (;;) {
      if (context.signal.aborted) {
        this.failRequest(context.createDeadlineFailure());
        return;
      }
      this.#onEvent = () => true;
      if (await this.tryForward(this.#createResponseSink())) return;
      const target = this.#chooseTarget();
      if (target === undefined) {
        if (await this.isCutOffAfterAll()) continue;
        this.failRequest(this.#createNoTargetFailure());
        return;
      }
      if (!this.reserveOrFail('run')) return;
      if (await this.#sendToTarget(target)) return;
    }
  }

  protected override canRetry(): boolean {
    const { route, service } = this.context;
    return (
      route.kind === 'idempotent' &&
      this.possibleExecutionCount + 1 < route.maxAttempts &&
      this.retries.canRepeat &&
      this.dependencies.targets.listOpenTargets(service).length >
        this.excludedTargets.size + 1
    );
  }

  protected override canPlace(): boolean {
    return this.#chooseTarget() !== undefined;
  }

  #chooseTarget(): TargetState | undefined {
    const { targets, dataCenter, dataCenterReachability, targetClient } =
      this.dependencies;
    const targetsWithCapacity = targets
      .listOpenTargets(this.context.service)
      .filter(
        target =>
          target.activeRequestCount <
          target.record.slots * (1 + maxQueuedRequestsPerSlot),
      );
    return selectPlainTarget({
      targets: targetsWithCapacity,
      excluded: this.excludedTargets,
      unreached: dataCenterReachability.takeUnreachableDataCenters(),
      origin: this.context.origin,
      dataCenter,
      isConnected: ({ record }) => targetClient.hasIdleConnection(record),
      isIncarnationKnown: ({ record }) =>
        targetClient.isIncarnationKnown(record),
    });
  }

  #createNoTargetFailure(): Failure {
    const { context } = this;
    const openTargets = this.dependencies.targets.listOpenTargets(
      context.service,
    );
    if (!canBeContinued(context.origin, openTargets))
      return createVersionGoneFailure(context);
    return new Failure(
      'no_target',
      'no target of the service can take the request now; retry later',
      {
        executed: context.mayHaveExecuted ? 'unknown' : 'no',
        retryAfterMs: computeRetryAfterMs(openTargets, noTargetRetryAfterMs),
      },
    );
  }

  /** Sends the request to the target; true when the request has ended. */
  async #sendToTarget(target: TargetState): Promise<boolean> {
    const { context, dependencies } = this;
    const { record } = target;
    const endRequest = this.startRequest(target);
    const originTeller = this.beginOrigin(record);
    this.#onEvent = () => this.acceptEvents(originTeller);
    const startedAtMs = performance.now();
    const sink = this.#createResponseSink();
    context.recordSend();
    const watchdog = this.#createSendWatchdog(target);
    sink.onProgress = () => {
      watchdog?.recordActivity();
    };
    const outcome = await this.sendOnce(
      record,
      {
        remainingMs: context.remainingMs,
        signal: watchdog?.signal ?? context.signal,
      },
      sink,
    );
    watchdog?.stop();
    endRequest();
    dependencies.metrics.recordSend(context.service, outcome.kind);
    if (this.hasForeignEvents) return true;
    if (outcome.kind === 'whole') {
      recordTargetSuccess(dependencies, target);
      target.recordDuration(
        performance.now() - startedAtMs,
        expectedPlainRequestMs,
      );
      sink.finish();
      context.completeRequest(outcome.status, record);
      return true;
    }
    context.logEvent('attempt_failed', {
      target: target.record.id,
      attempt: context.sendCount,
      ...outcome,
      ...recordSendAbort(dependencies, context, { outcome, watchdog }),
    });
    if (context.caller.hasStarted) {
      context.mayHaveExecuted = true;
      this.failRequest(
        new Failure(
          'target_failed',
          'the connection to the target broke after part of the answer',
          {
            executed: 'unknown',
          },
        ),
      );
      return true;
    }
    return this.handleSendFailure({ target, record }, outcome);
  }

  #createSendWatchdog(target: TargetState): SendWatchdog | undefined {
    if (!this.canRetry()) return undefined;
    const { remainingMs, caller } = this.context;
    return this.createWatchdog({
      target,
      // No expected response time: targets without engines are not probed.
      expectedResponseMs: Infinity,
      stallTimeoutMs: stallTimeoutShare * remainingMs,
      isExclusive: false,
      // A part of an answer can't be taken back, so the rest is awaited.
      isPaused: () => this.answerBuffer.isPaused || caller.hasStarted,
    });
  }

  #createResponseSink(): BufferedResponseSink | StreamingResponseSink {
    const { caller, route } = this.context;
    const acceptsStatus = (status: number) =>
      status < minServerErrorStatus || !this.canRetry();
    if (route.kind !== 'stream')
      return new BufferedResponseSink(caller, this.answerBuffer, acceptsStatus);
    const onBytes = () => {
      this.context.recordFirstBytes();
      return this.#onEvent();
    };
    return new StreamingResponseSink({
      caller,
      answerBuffer: this.answerBuffer,
      acceptsStatus,
      onBytes,
      isResumable: false,
      mayBeEmpty: this.context.request.resumeAfterEventId !== undefined,
    });
  }
}
