/** Admission check: rejects a generation that would miss its deadline. */

/** Time estimates for the admission check of one generation. */
export interface AdmissionOptions {
  /** Expected time from now to the first event of the answer. */
  readonly expectedFirstEventMs: number;
  /** Milliseconds from now to the deadline of the request. */
  readonly remainingMs: number;
}

/** Reason for rejecting a request and the delay before a retry. */
export interface AdmissionRejection {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/**
 * Maximum expected time to the first event, as a fraction of the time to the
 * deadline.
 */
const maxFirstEventShare = 0.8;

/** Returns a rejection, or undefined when the request is admitted. */
export const checkAdmission = (
  options: AdmissionOptions,
): AdmissionRejection | undefined => {
  const { expectedFirstEventMs, remainingMs } = options;
  if (expectedFirstEventMs <= remainingMs * maxFirstEventShare)
    return undefined;
  return {
    reason: `the first event is expected in ${Math.round(expectedFirstEventMs)} ms but the deadline is in ${Math.round(remainingMs)} ms; retry later`,
    retryAfterMs: Math.max(
      100,
      expectedFirstEventMs - remainingMs * maxFirstEventShare,
    ),
  };
};
