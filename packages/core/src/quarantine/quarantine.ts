/**
 * Interface of the quarantine, which limits how many targets one request can
 * crash.
 */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/** Permission to run a request once on one target. */
export interface RunPermit {
  /**
   * True if the request is a suspect and must run on a target that runs nothing
   * else.
   */
  readonly isIsolated: boolean;
  /**
   * Name of the only target on which to run, because the same request already
   * runs there or ran there before its instance was lost.
   */
  readonly target?: string;
  /**
   * Names of targets that crashed while they ran this request; other targets
   * are preferred.
   */
  readonly avoidedTargets: readonly string[];
  /**
   * Reserves the target of an isolated run in the whole fleet, so that it
   * receives no other requests.
   */
  readonly reserveTarget: (target: string) => Promise<void>;
  /**
   * Ends the run; must be called unless the target crashed. A suspect is
   * cleared only if `answered` is true, because a run without an answer does
   * not show that the request is harmless.
   */
  readonly release: (answered?: boolean) => void;
}

/**
 * Crash of a target, with the requests of this instance that it was running.
 */
export interface TargetCrash {
  readonly target: string;
  readonly incarnation: string;
  /**
   * Fingerprints of the requests of this instance that were in flight at the
   * target.
   */
  readonly fingerprints: readonly string[];
}

/** Decides where a request may run, and records crashes. */
export abstract class Quarantine {
  /**
   * Waits until the request may run and returns its permit. A suspect waits
   * while another suspect runs. Fails with `poison_request` if the request is
   * known to crash targets, and with `suspect_waiting` if no isolated run could
   * start before the signal aborted or while the table was unavailable.
   *
   * `candidate` is the target that the caller would use. Without it, the call
   * also waits while the same request runs anywhere else.
   */
  abstract admitRun(
    fingerprint: string,
    signal: AbortSignal,
    candidate?: string,
  ): Promise<Either<Failure, RunPermit>>;

  /**
   * Records a crash; returns when the peers and the table have stored it or the
   * attempt has timed out.
   */
  abstract recordCrash(crash: TargetCrash): Promise<void>;

  /**
   * Returns true while an isolated run reserves the target; it must receive no
   * other requests.
   */
  abstract isReserved(target: string): boolean;
}

/**
 * Quarantine that admits every request, for use without a fleet and for tests.
 */
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
