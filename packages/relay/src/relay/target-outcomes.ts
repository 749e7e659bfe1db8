/** What a failed send says of its target. */
import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay.js';
import type { PrefillOutcome, SendOutcome } from './target-client.js';

type FailedOutcome = Exclude<
  SendOutcome | PrefillOutcome,
  { kind: 'whole' } | { kind: 'read' }
>;

/** Failures that speak of the target whatever the request was. */
const isConclusiveFailure = (outcome: FailedOutcome): boolean => {
  if (outcome.kind === 'broken') return outcome.phase === 'connecting';
  if (outcome.kind === 'not_executed') return outcome.misdirected;
  return outcome.kind === 'aborted';
};

/** Notes that the target has answered. */
export const recordTargetSuccess = (
  { dataCenterReachability: reach }: RelayDependencies,
  target: TargetState,
): void => {
  target.recordSuccess();
  reach.recordSuccess(target.record.dataCenter);
};

/** Notes the failure at the target and a possible crash with the request. */
export const recordTargetFailure = (
  { crashTracker: crashes, dataCenterReachability: reach }: RelayDependencies,
  { request }: RequestContext,
  target: TargetState,
  outcome: FailedOutcome,
): void => {
  target.recordFailure(isConclusiveFailure(outcome));
  if (outcome.kind !== 'broken') return;
  const { id, dataCenter } = target.record;
  if (outcome.phase === 'connecting') {
    crashes.confirmCrash(id);
    reach.recordConnectFailure(dataCenter, id);
  } else {
    crashes.recordSuspectedCrash(request.fingerprint, id);
  }
};
