/** Admits requests within the limits of customer, class and service. */
import type { Either } from 'purify-ts';

import type { Entitlement } from '../config/entitlement.js';
import type { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';

/** What admission needs to know of a request. */
export interface AdmissionRequest {
  readonly entitlement: Entitlement;
  /** `models` or the name of a plain service: their queues are separate. */
  readonly service: string;
  readonly deadline: Deadline;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** A place among the running requests. */
export interface AdmissionPermit {
  readonly waitedMs: number;
  /** Gives the place back; further calls do nothing. */
  readonly release: () => void;
}

export abstract class Admission {
  /**
   * Waits for a place by rank and deadline. Fails at once with `overloaded`,
   * `rate_limited` or `deadline_exceeded`, always `executed: "no"`, and says
   * when to come back.
   */
  abstract acquirePermit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, AdmissionPermit>>;
}
