/** What a failed send says of its target. */
import type { TargetState } from '../targets/target-state.js';

import type { Journey } from './request-context.js';
import type { RelayParts } from './relay.js';
import type { PrefillOutcome, SendOutcome } from './target-client.js';

type FailedOutcome = Exclude<
  SendOutcome | PrefillOutcome,
  { kind: 'whole' } | { kind: 'read' }
>;

/** Failures that speak of the target whatever the request was. */
const isCertain = (outcome: FailedOutcome): boolean => {
  if (outcome.kind === 'broken') return outcome.phase === 'connecting';
  if (outcome.kind === 'not_executed') return outcome.misdirected;
  return outcome.kind === 'aborted';
};

/** Notes that the target has answered. */
export const noteSuccess = (
  { reach }: RelayParts,
  target: TargetState,
): void => {
  target.succeeded();
  reach.succeeded(target.record.dataCenter);
};

/** Notes the failure at the target and a possible crash with the request. */
export const noteFailure = (
  { crashes, reach }: RelayParts,
  { request }: Journey,
  target: TargetState,
  outcome: FailedOutcome,
): void => {
  target.failed(isCertain(outcome));
  if (outcome.kind !== 'broken') return;
  const { id, dataCenter } = target.record;
  if (outcome.phase === 'connecting') {
    crashes.crashed(id);
    reach.failed(dataCenter, id);
  } else {
    crashes.suspect(request.fingerprint, id);
  }
};
