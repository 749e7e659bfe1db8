/** Keeps a request that crashes its targets from crashing the fleet. */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/** Permission to run a request once on one target. */
export interface RunPermit {
  /** Run apart from all other requests, on a target that runs nothing else. */
  readonly isIsolated: boolean;
  /** When set, run only here: the same request is running there already. */
  readonly target?: string;
  /** Targets that broke off this request; choose others if there are any. */
  readonly avoidedTargets: readonly string[];
  /** Tells the fleet to send the target of an isolated run nothing else. */
  readonly reserveTarget: (target: string) => Promise<void>;
  /**
   * Call when the run ended in any way but a crash of the target. A suspect
   * is cleared only with `answered`: a run cut short proves nothing.
   */
  readonly release: (answered?: boolean) => void;
}

/** A target that broke off, with what it was running. */
export interface TargetCrash {
  readonly target: string;
  readonly incarnation: string;
  /** Fingerprints of the requests in flight there from this instance. */
  readonly fingerprints: readonly string[];
}

export abstract class Quarantine {
  /**
   * Asks how a request may run. Waits while another suspect runs; fails with
   * `poison_request` when it is known to crash targets and with
   * `suspect_waiting` when it cannot be run apart now.
   *
   * `candidate` is the target that the caller means to use. Without it the
   * call waits while the same request runs anywhere else.
   */
  abstract admitRun(
    fingerprint: string,
    signal: AbortSignal,
    candidate?: string,
  ): Promise<Either<Failure, RunPermit>>;

  /** Records a crash; returns once the peers and the table know or cannot. */
  abstract recordCrash(crash: TargetCrash): Promise<void>;

  /** True while a suspect runs apart on the target: send it nothing else. */
  abstract isReserved(target: string): boolean;
}

/** Admits everything; for embedding without a fleet and for tests. */
export class DisabledQuarantine extends Quarantine {
  override admitRun(): Promise<Either<Failure, RunPermit>> {
    return Promise.resolve(
      Right({
        isIsolated: false,
        avoidedTargets: [],
        reserveTarget: () => Promise.resolve(),
        release: () => undefined,
      }),
    );
  }

  override recordCrash(): Promise<void> {
    return Promise.resolve();
  }

  override isReserved(): boolean {
    return false;
  }
}
