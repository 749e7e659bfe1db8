/**
 * Computes how many targets a demand takes. Both phases are counted separately and
 * then summed; the role policy splits the targets that there are.
 */
import {
  decodeReserveFraction,
  maxDecodeUtilizationAfterRemoval,
  minPeakUtilizationForReserve,
  targetPrefillUtilization,
} from '../roles/queue-wait-policy.js';

import type { PeakDemand } from './demand-history.js';
import type { TargetCapacity } from './scaling-view.js';

/** Time in which added engines work off the prompts that wait. */
const backlogDrainMs = 2_000;

/**
 * Mean gap between the events of a stream above which engines get fewer requests.
 * Callers notice gaps of 400 ms; single gaps are longer than the mean.
 */
const longEventGapMs = 200;

const msPerSecond = 1_000;

/** Demand and the capacity of one target. */
export interface CapacityNeedOptions {
  readonly capacity: TargetCapacity;
  readonly peak: PeakDemand;
  readonly waitingTokens: number;
  /** Data centres with callers, each of which keeps a target that decodes. */
  readonly callerDataCenterCount: number;
}

/** Number of targets by phase; `total` may exceed the sum of the phases. */
export interface CapacityNeed {
  readonly prefill: number;
  readonly decode: number;
  readonly total: number;
}

/** Returns the number of targets that serve the demand without queues. */
export const computeCapacityNeed = (
  options: CapacityNeedOptions,
): CapacityNeed => {
  const { capacity, peak, callerDataCenterCount } = options;
  const decode = Math.max(
    1,
    callerDataCenterCount,
    Math.ceil(peak.runningRequests / countUsableRequests(capacity)),
  );
  const prefill = capacity.isEngine ? computePrefillNeed(options) : 0;
  return { prefill, decode, total: addDecodeReserve(options, prefill, decode) };
};

const computePrefillNeed = ({
  capacity,
  peak,
  waitingTokens,
}: CapacityNeedOptions): number => {
  const tokensPerMs =
    peak.tokensPerSecond / msPerSecond + waitingTokens / backlogDrainMs;
  return Math.ceil(
    tokensPerMs / (capacity.prefillTokensPerMs * targetPrefillUtilization),
  );
};

/** Requests of a target at which the gap between events stays short. */
const countUsableRequests = ({
  requestsPerTarget,
  eventGapMs = 0,
}: TargetCapacity): number => {
  const gapFactor = Math.min(1, longEventGapMs / Math.max(1, eventGapMs));
  return Math.max(
    1,
    requestsPerTarget * maxDecodeUtilizationAfterRemoval * gapFactor,
  );
};

/**
 * Returns the total with the reserve of decode engines that the role policy keeps
 * at this demand. Without it, the role policy would take engines away from prefill.
 */
const addDecodeReserve = (
  { capacity, peak }: CapacityNeedOptions,
  prefill: number,
  decode: number,
): number => {
  const total = prefill + decode;
  const keepsReserve =
    capacity.isEngine &&
    peak.runningRequests >
      minPeakUtilizationForReserve * total * capacity.requestsPerTarget;
  return keepsReserve
    ? Math.max(total, Math.ceil(prefill / (1 - decodeReserveFraction)))
    : total;
};
