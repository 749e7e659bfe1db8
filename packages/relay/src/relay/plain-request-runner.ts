/** Runs a request at a plain service, again at another target if allowed. */
import { Failure } from '@medlarlever/core';

import { placePlainRequest } from '../placement/placement.js';
import type { TargetState } from '../targets/target-state.js';

import {
  BufferedResponseSink,
  StreamingResponseSink,
} from './response-sinks.js';
import {
  RequestRunner,
  minServerErrorStatus,
  noTargetRetryAfterMs,
} from './request-runner.js';
import { SendWatchdog } from './send-watchdog.js';
import { recordTargetSuccess } from './target-outcomes.js';

/** Time of a call that is used to judge the speed of a target. */
const expectedPlainRequestMs = 60;

/** Requests beyond its slots that a target is given to wait. */
const maxQueuedRequestsPerSlot = 2;

/**
 * Part of the time left after which a call that may be repeated is given up:
 * its answer may be lost, and another target needs time as well.
 */
const stallTimeoutShare = 0.4;

export class PlainRequestRunner extends RequestRunner {
  override async run(): Promise<void> {
    const { context: journey } = this;
    for (;;) {
      if (journey.signal.aborted) {
        this.failRequest(journey.createDeadlineFailure());
        return;
      }
      const target = this.#chooseTarget();
      if (target === undefined) {
        this.failRequest(this.#createNoTargetFailure());
        return;
      }
      if (await this.#sendToTarget(target)) return;
    }
  }

  protected override canRetry(): boolean {
    const { route, service } = this.context;
    return (
      route.kind === 'idempotent' &&
      this.possibleExecutionCount + 1 < route.maxAttempts &&
      this.serviceState.retryBudget.remainingRetries >= 1 &&
      this.dependencies.targets.listOpenTargets(service).length >
        this.excludedTargets.size + 1
    );
  }

  #chooseTarget(): TargetState | undefined {
    const {
      targets,
      dataCenter,
      dataCenterReachability: reach,
    } = this.dependencies;
    const open = targets
      .listOpenTargets(this.context.service)
      .filter(
        state =>
          state.activeRequestCount <
          state.record.slots * (1 + maxQueuedRequestsPerSlot),
      );
    return placePlainRequest({
      targets: open,
      excluded: this.excludedTargets,
      unreached: reach.takeUnreachableDataCenters(),
      dataCenter,
    });
  }

  #createNoTargetFailure(): Failure {
    return new Failure('no_target', 'no target can take the request now', {
      executed: this.context.mayHaveExecuted ? 'unknown' : 'no',
      retryAfterMs: noTargetRetryAfterMs,
    });
  }

  /** True when the request has come to its end. */
  async #sendToTarget(target: TargetState): Promise<boolean> {
    const { context: journey, dependencies: parts } = this;
    const leave = target.startRequest();
    const startMs = performance.now();
    const sink = this.#createResponseSink();
    journey.recordSend();
    const watch = this.#createSendWatchdog(target);
    const outcome = await parts.targetClient.send(
      target.record,
      journey.request,
      {
        remainingMs: journey.remainingMs,
        signal: watch?.signal ?? journey.signal,
      },
      sink,
    );
    watch?.stop();
    leave();
    parts.metrics.recordSend(journey.service, outcome.kind);
    if (outcome.kind === 'whole') {
      recordTargetSuccess(parts, target);
      target.recordDuration(
        performance.now() - startMs,
        expectedPlainRequestMs,
      );
      sink.finish();
      journey.completeRequest(outcome.status, target.record.id);
      return true;
    }
    journey.logEvent('attempt_failed', {
      target: target.record.id,
      attempt: journey.sendCount,
      ...outcome,
    });
    if (journey.caller.hasStarted) {
      journey.mayHaveExecuted = true;
      this.failRequest(
        new Failure('target_failed', 'the answer broke off', {
          executed: 'unknown',
        }),
      );
      return true;
    }
    return this.handleSendFailure(target, outcome);
  }

  #createSendWatchdog(target: TargetState): SendWatchdog | undefined {
    if (!this.canRetry()) return undefined;
    const { remainingMs: leftMs, signal } = this.context;
    return new SendWatchdog({
      target,
      // Plain services are not asked whether they answer.
      expectedResponseMs: Infinity,
      stallTimeoutMs: stallTimeoutShare * leftMs,
      signal,
      checkLiveness: this.dependencies.checkLiveness,
    });
  }

  #createResponseSink(): BufferedResponseSink | StreamingResponseSink {
    const { caller, route } = this.context;
    const accept = (status: number) =>
      status < minServerErrorStatus || !this.canRetry();
    if (route.kind !== 'stream')
      return new BufferedResponseSink(caller, accept);
    const onBytes = () => {
      this.context.recordFirstBytes();
    };
    return new StreamingResponseSink(caller, accept, onBytes, false);
  }
}
