/**
 * In-memory state of the quarantine at this instance: suspects, poison requests
 * and reserved targets.
 */
import type { Log } from '../shared/log.js';

import { hasCrashSite, addCrash } from './suspect.js';
import type { CrashSite, Suspect } from './suspect.js';

/**
 * Milliseconds after which a reservation expires if no message about its end
 * arrives.
 */
const reservationTtlMs = 60_000;

/** Suspects and reservations known to this instance. */
export class SuspectCache {
  /** Suspect and poison requests by fingerprint; cleared ones are removed. */
  readonly #suspects = new Map<string, Suspect>();
  /** Expiry time of each reservation in epoch milliseconds, by target name. */
  readonly #reservedUntilMs = new Map<string, number>();

  constructor(readonly log: Log) {}

  getSuspect(fingerprint: string): Suspect | undefined {
    return this.#suspects.get(fingerprint);
  }

  listSuspects(): readonly Suspect[] {
    return [...this.#suspects.values()];
  }

  /** Records that a request of this instance was in flight at a crash. */
  recordCrash(fingerprint: string, site: CrashSite): void {
    this.mergeSuspect(
      addCrash(fingerprint, this.getSuspect(fingerprint), site),
    );
  }

  /**
   * Merges a suspect from a peer or the table. A poison request stays poison.
   */
  mergeSuspect(suspect: Suspect): void {
    const { fingerprint, state } = suspect;
    const existing = this.getSuspect(fingerprint);
    if (existing?.state === 'poison') return;
    if (state === 'cleared') {
      this.#clearSuspect(suspect);
      return;
    }
    const merged = suspect.crashes.reduce<Suspect>(
      (combined, site) => addCrash(fingerprint, combined, site),
      existing ?? suspect,
    );
    if (merged === existing) return;
    this.#suspects.set(fingerprint, merged);
    const eventName =
      merged.state === 'poison' ? 'request_poisoned' : 'request_suspected';
    this.log.writeEvent(eventName, { fingerprint, crashes: merged.crashes });
  }

  removeSuspect(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
  }

  isReserved(target: string): boolean {
    return (this.#reservedUntilMs.get(target) ?? 0) > Date.now();
  }

  setReserved(target: string, reserved: boolean): void {
    if (!reserved) this.#reservedUntilMs.delete(target);
    else this.#reservedUntilMs.set(target, Date.now() + reservationTtlMs);
  }

  /**
   * Removes a suspect, unless it has a crash that the cleared version does not
   * include.
   */
  #clearSuspect(cleared: Suspect): void {
    const existing = this.getSuspect(cleared.fingerprint);
    const includesAllCrashes = existing?.crashes.every(site =>
      hasCrashSite(cleared, site),
    );
    if (includesAllCrashes === true) this.removeSuspect(cleared.fingerprint);
  }
}
