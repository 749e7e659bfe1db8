/** Keeps a request that crashes its targets from crashing the fleet. */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/** Permission to run a request once on one target. */
export interface Passage {
  /** Run apart from all other requests, on a target that runs nothing else. */
  readonly isolated: boolean;
  /** Call when the run ended in any way but a crash of the target. */
  readonly release: () => void;
}

/** A target that broke off, with what it was running. */
export interface Crash {
  readonly target: string;
  readonly incarnation: string;
  /** Fingerprints of the requests in flight there from this instance. */
  readonly fingerprints: readonly string[];
}

export abstract class Quarantine {
  /**
   * Asks how a request may run. Waits while another suspect runs; fails with
   * `poison_request` when it is known to crash targets.
   */
  abstract admit(
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<Either<Failure, Passage>>;

  /** Records a crash; returns once the peers and the table know or cannot. */
  abstract crashed(crash: Crash): Promise<void>;
}
