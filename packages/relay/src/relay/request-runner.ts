/** What calls and generations share: tries, their failures and the end. */
import { Failure } from '@medlarlever/core';

import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay.js';
import type { ServiceState } from './service-state.js';
import { recordTargetFailure } from './target-outcomes.js';
import type { SendOutcome } from './target-client.js';

/** When to come back once no target would take the request. */
export const noTargetRetryAfterMs = 250;

/** Statuses at which a request that may be repeated is tried elsewhere. */
export const minServerErrorStatus = 500;

type FailedSendOutcome = Exclude<SendOutcome, { kind: 'whole' }>;

/** True when the target certainly has not run the request. */
const isNotExecuted = (outcome: FailedSendOutcome): boolean =>
  outcome.kind === 'not_executed' || isConnectFailure(outcome);

/** True when no byte of the request reached the target. */
export const isConnectFailure = (outcome: {
  kind: string;
  phase?: string;
}): boolean => outcome.kind === 'broken' && outcome.phase === 'connecting';

const getFailureReason = (outcome: FailedSendOutcome): string => {
  if (outcome.kind === 'broken') return outcome.reason;
  if (outcome.kind === 'aborted') return 'it did not answer in time';
  return `status ${outcome.status}`;
};

export abstract class RequestRunner {
  /** Targets that were tried. */
  protected readonly excludedTargets = new Set<TargetState>();
  /** Sends that may have run. */
  protected possibleExecutionCount = 0;

  constructor(
    protected readonly dependencies: RelayDependencies,
    protected readonly context: RequestContext,
  ) {}

  /** Takes the request to its end. */
  abstract run(): Promise<void>;

  /** True if the request may run at one more target after this one. */
  protected abstract canRetry(): boolean;

  protected get serviceState(): ServiceState {
    return this.dependencies.serviceStates.getState(this.context.service);
  }

  protected failRequest(failure: Failure): void {
    this.context.failRequest(failure);
  }

  /** Settles a failed send; true when the request has come to its end. */
  protected handleSendFailure(
    target: TargetState,
    outcome: FailedSendOutcome,
  ): boolean {
    const { context: journey } = this;
    const unrun = isNotExecuted(outcome);
    const again = unrun || this.canRetry();
    if (!unrun) {
      this.possibleExecutionCount += 1;
      journey.mayHaveExecuted = true;
    }
    if (journey.signal.aborted) {
      this.failRequest(journey.createDeadlineFailure());
      return true;
    }
    recordTargetFailure(this.dependencies, journey, target, outcome);
    this.excludedTargets.add(target);
    if (!again) {
      this.failRequest(createTargetFailure(getFailureReason(outcome)));
      return true;
    }
    return !this.retryOrFail(outcome);
  }

  /** Takes a retry, or ends the request without one. */
  protected retryOrFail(outcome: { kind: string; phase?: string }): boolean {
    const { retryBudget: retries } = this.serviceState;
    // What reached no target is not a retry of anything.
    if (!isConnectFailure(outcome) && !retries.tryConsumeRetry()) {
      this.failRequest(this.#createRetryBudgetFailure());
      return false;
    }
    const left = Math.floor(retries.remainingRetries);
    this.context.logEvent('request_resent', { after: outcome.kind, left });
    return true;
  }

  #createRetryBudgetFailure(): Failure {
    return new Failure('retry_budget_exhausted', 'no retry is left', {
      executed: this.context.mayHaveExecuted ? 'unknown' : 'no',
      retryAfterMs: noTargetRetryAfterMs,
    });
  }
}

const createTargetFailure = (reason: string): Failure =>
  new Failure('target_failed', `the target failed: ${reason}`, {
    executed: 'unknown',
  });
