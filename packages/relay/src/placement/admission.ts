/** Decides at once whether a generation can still be served in time. */

export interface AdmissionOptions {
  /** Expected time to the first event, from now. */
  readonly expectedFirstEventMs: number;
  /** Time left until the caller gives up. */
  readonly remainingMs: number;
}

/** Why a request is turned away, and when to come back. */
export interface AdmissionRejection {
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Part of the remaining time that may pass before the first event. */
const maxFirstEventShare = 0.8;

/** Nothing is said when the request may go on. */
export const checkAdmission = (
  options: AdmissionOptions,
): AdmissionRejection | undefined => {
  const { expectedFirstEventMs: firstEventMs, remainingMs: leftMs } = options;
  if (firstEventMs <= leftMs * maxFirstEventShare) return undefined;
  return {
    reason: `the first event is due in ${Math.round(firstEventMs)} ms, ${Math.round(leftMs)} ms are left`,
    retryAfterMs: Math.max(100, firstEventMs - leftMs * maxFirstEventShare),
  };
};
