/** Work that one instance at a time does for the whole deployment. */
import type { DutyAuthority } from './duty-authority.js';

/** A duty of the instance that holds the lease. */
export abstract class Duty {
  /** Name in log lines. */
  abstract readonly name: string;

  /**
   * True while this instance can't do the duty although other instances may.
   * The leader then gives the lease up, and does not compete for it.
   */
  abstract readonly isImpeded: boolean;

  /**
   * Starts a term: drops what an earlier term decided. Called when the lease has
   * been acquired, before the wait that precedes the first step.
   */
  abstract startTerm(): void;

  /**
   * Takes one step. Called at intervals while the lease is held, except while the
   * promise of the previous step is pending. Anything sent to another system
   * needs a confirmation of the authority first.
   */
  abstract takeStep(authority: DutyAuthority): Promise<void>;
}
