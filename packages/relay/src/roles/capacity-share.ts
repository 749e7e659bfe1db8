/** Estimates how much of its work an engine with a request limit still does. */
import type { TargetRole } from '../targets/target-record.js';

/** Measurements of a service; undefined before the first one. */
export interface RequestSizes {
  /** Mean prompt tokens that one prefill computes. */
  readonly prefillTokens: number | undefined;
  /** Mean time for which a request takes a slot of a decode engine. */
  readonly decodeMs: number | undefined;
}

/** An engine's limit and the work that it would do without. */
export interface CapacityOptions {
  readonly role: TargetRole;
  readonly requestsPerSecond: number;
  readonly slots: number;
  readonly prefillTokensPerMs: number;
  readonly sizes: RequestSizes;
}

const msPerSecond = 1_000;

/** Busy fraction at which an engine without a limit counts as a whole one. */
const usableFraction = 0.5;

/**
 * Returns the capacity of a limited engine relative to that of one without a limit,
 * from 0 to 1; 0 while the sizes of requests are not known.
 */
export const estimateCapacityShare = ({
  role,
  requestsPerSecond,
  slots,
  prefillTokensPerMs,
  sizes,
}: CapacityOptions): number => {
  const { prefillTokens = 0, decodeMs = 0 } = sizes;
  const requestsPerMs = requestsPerSecond / msPerSecond;
  const share =
    role === 'prefill'
      ? (requestsPerMs * prefillTokens) / (prefillTokensPerMs * usableFraction)
      : (requestsPerMs * decodeMs) / (slots * usableFraction);
  return Math.min(1, share);
};
