/**
 * Interface of admission control, which admits requests within the limits of
 * their customer and their service.
 */
import type { Either } from 'purify-ts';

import type { Entitlement } from '../config/entitlement.js';
import type { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';

/** Fields of a request on which the admission decision depends. */
export interface AdmissionRequest {
  readonly entitlement: Entitlement;
  /**
   * `models` for generations, or the name of a plain service; each value has
   * its own queue.
   */
  readonly service: string;
  readonly deadline: Deadline;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/**
 * Permission to run one request, which counts as running until `release` is
 * called.
 */
export interface AdmissionPermit {
  /** Time in milliseconds that the request waited in the queue. */
  readonly waitedMs: number;
  /** Ends the running request; further calls do nothing. */
  readonly release: () => void;
}

/** Decides when a request may run. */
export abstract class Admission {
  /**
   * Waits in the queue until the request may run; the queue orders requests by
   * priority and deadline. Fails with `overloaded`, `rate_limited`,
   * `deadline_exceeded` or `caller_gone`, always with `executed: "no"`. The
   * `overloaded` and `rate_limited` failures carry the time after which the
   * caller may retry.
   */
  abstract acquirePermit(
    request: AdmissionRequest,
    signal: AbortSignal,
  ): Promise<Either<Failure, AdmissionPermit>>;
}
