/** Records the outcome of sends and prefills in the state of their target. */
import type { SharedParts } from '../crashes/target-crash.js';
import type { TargetRecord } from '../targets/target-record.js';
import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay-dependencies.js';
import type { PrefillOutcome, SendOutcome } from './target-client.js';

type FailedOutcome = Exclude<
  SendOutcome | PrefillOutcome,
  { kind: 'whole' } | { kind: 'read' }
>;

/**
 * True for failures that are certainly caused by the target and not by the
 * request.
 */
const isConclusiveFailure = (outcome: FailedOutcome): boolean => {
  if (outcome.kind === 'broken') return outcome.phase === 'connecting';
  if (outcome.kind === 'not_executed') return outcome.misdirected;
  return outcome.kind === 'aborted';
};

/** Records that the target, and thus its data centre, has answered. */
export const recordTargetSuccess = (
  { dataCenterReachability, targetLink }: RelayDependencies,
  target: TargetState,
): void => {
  target.recordSuccess();
  targetLink.recordAnswer();
  dataCenterReachability.recordSuccess(target.record.dataCenter);
};

/** The incarnation of the target to which a request was sent, and its suspect parts. */
export interface FailedSend {
  readonly target: TargetState;
  /** Record of the target when the request was sent. */
  readonly record: TargetRecord;
  /** Parts of the prompt that may have crashed the target. */
  readonly suspectParts?: SharedParts;
}

/**
 * Records a failure of the target, and a suspected crash when the connection broke or
 * the target fell silent.
 */
export const recordTargetFailure = (
  dependencies: RelayDependencies,
  { request }: RequestContext,
  { target, record, suspectParts }: FailedSend,
  outcome: FailedOutcome,
): void => {
  // A target that asks for a pause is busy, not defective.
  if (outcome.kind === 'not_executed' && outcome.wantsQuiet) return;
  target.recordFailure(isConclusiveFailure(outcome));
  if (outcome.kind !== 'broken' && outcome.kind !== 'aborted') return;
  const { crashTracker, dataCenterReachability, checkCrash, targetLink } =
    dependencies;
  const { isCutOff } = targetLink;
  if (outcome.kind === 'broken') targetLink.recordFailure(record);
  if (outcome.kind === 'broken' && outcome.phase === 'connecting') {
    if (!isCutOff)
      dataCenterReachability.recordConnectFailure(record.dataCenter, record.id);
    if (crashTracker.hasSuspects(record.id)) checkCrash(target);
    return;
  }
  // All targets may have crashed, or the link is down. Other instances refute what isn't
  // a crash, but only crashes with the parts of prompts.
  const fingerprint = isCutOff ? undefined : request.fingerprint;
  crashTracker.recordSuspectedCrash(
    { fingerprint, parts: suspectParts },
    record,
  );
  const hasEnded =
    dependencies.targets.isOutdated(record) ||
    target.record.startedAtMs !== record.startedAtMs;
  if (hasEnded) crashTracker.confirmCrash(record.id);
  else checkCrash(target);
};
