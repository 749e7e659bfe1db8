/** What calls and generations share: tries, their failures and the end. */
import { Failure } from '@medlarlever/core';

import type { TargetState } from '../targets/target-state.js';

import type { Journey } from './request-context.js';
import type { RelayParts } from './relay.js';
import type { ServiceState } from './service-state.js';
import { noteFailure } from './target-outcomes.js';
import type { SendOutcome } from './target-client.js';

/** When to come back once no target would take the request. */
export const noTargetRetryMs = 250;

/** Statuses at which a request that may be repeated is tried elsewhere. */
export const firstServerError = 500;

type FailedSend = Exclude<SendOutcome, { kind: 'whole' }>;

/** True when the target certainly has not run the request. */
const certainlyUnrun = (outcome: FailedSend): boolean =>
  outcome.kind === 'not_executed' || neverSent(outcome);

/** True when no byte of the request reached the target. */
export const neverSent = (outcome: { kind: string; phase?: string }): boolean =>
  outcome.kind === 'broken' && outcome.phase === 'connecting';

const reasonOf = (outcome: FailedSend): string => {
  if (outcome.kind === 'broken') return outcome.reason;
  if (outcome.kind === 'aborted') return 'it did not answer in time';
  return `status ${outcome.status}`;
};

export abstract class RequestRun {
  /** Targets that were tried. */
  protected readonly excluded = new Set<TargetState>();
  /** Sends that may have run. */
  protected runs = 0;

  constructor(
    protected readonly parts: RelayParts,
    protected readonly journey: Journey,
  ) {}

  /** Takes the request to its end. */
  abstract run(): Promise<void>;

  /** True if the request may run at one more target after this one. */
  protected abstract mayRunAgain(): boolean;

  protected get service(): ServiceState {
    return this.parts.services.get(this.journey.service);
  }

  protected giveUp(failure: Failure): void {
    this.journey.fail(failure);
  }

  /** Settles a failed send; true when the request has come to its end. */
  protected afterFailure(target: TargetState, outcome: FailedSend): boolean {
    const { journey } = this;
    const unrun = certainlyUnrun(outcome);
    const again = unrun || this.mayRunAgain();
    if (!unrun) {
      this.runs += 1;
      journey.mayHaveRun = true;
    }
    if (journey.signal.aborted) {
      this.giveUp(journey.expired());
      return true;
    }
    noteFailure(this.parts, journey, target, outcome);
    this.excluded.add(target);
    if (!again) {
      this.giveUp(failedTarget(reasonOf(outcome)));
      return true;
    }
    return !this.takeRetry(outcome);
  }

  /** Takes a retry, or ends the request without one. */
  protected takeRetry(outcome: { kind: string; phase?: string }): boolean {
    const { retries } = this.service;
    // What reached no target is not a retry of anything.
    if (!neverSent(outcome) && !retries.take()) {
      this.giveUp(this.#noRetry());
      return false;
    }
    const left = Math.floor(retries.left);
    this.journey.tell('request_resent', { after: outcome.kind, left });
    return true;
  }

  #noRetry(): Failure {
    return new Failure('retry_budget_exhausted', 'no retry is left', {
      executed: this.journey.mayHaveRun ? 'unknown' : 'no',
      retryAfterMs: noTargetRetryMs,
    });
  }
}

const failedTarget = (reason: string): Failure =>
  new Failure('target_failed', `the target failed: ${reason}`, {
    executed: 'unknown',
  });
