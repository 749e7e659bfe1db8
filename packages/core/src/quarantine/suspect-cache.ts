/** What this instance knows of suspects, poison and reserved targets. */
import type { Log } from '../shared/log.js';

import { hasCrashSite, addCrash } from './suspect.js';
import type { CrashSite, Suspect } from './suspect.js';

/** A reservation whose end was never told lapses after this. */
const reservationTtlMs = 60_000;

export class SuspectCache {
  /** Suspects and poison by fingerprint; cleared ones are not kept. */
  readonly #suspects = new Map<string, Suspect>();
  readonly #reservedUntilMs = new Map<string, number>();

  constructor(readonly log: Log) {}

  getSuspect(fingerprint: string): Suspect | undefined {
    return this.#suspects.get(fingerprint);
  }

  listSuspects(): readonly Suspect[] {
    return [...this.#suspects.values()];
  }

  /** Notes a crash of this instance's requests. */
  recordCrash(fingerprint: string, site: CrashSite): void {
    this.mergeSuspect(
      addCrash(fingerprint, this.getSuspect(fingerprint), site),
    );
  }

  /** Takes in what a peer or the table says; poison is never forgotten. */
  mergeSuspect(suspect: Suspect): void {
    const { fingerprint, state } = suspect;
    const known = this.getSuspect(fingerprint);
    if (known?.state === 'poison') return;
    if (state === 'cleared') {
      this.#clearSuspect(suspect);
      return;
    }
    const joined = suspect.crashes.reduce<Suspect>(
      (joint, site) => addCrash(fingerprint, joint, site),
      known ?? suspect,
    );
    if (joined === known) return;
    this.#suspects.set(fingerprint, joined);
    const name =
      joined.state === 'poison' ? 'request_poisoned' : 'request_suspected';
    this.log.writeEvent(name, { fingerprint, crashes: joined.crashes });
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

  /** Forgets a suspect unless it has crashed a target since. */
  #clearSuspect(cleared: Suspect): void {
    const known = this.getSuspect(cleared.fingerprint);
    const old = known?.crashes.every(site => hasCrashSite(cleared, site));
    if (old === true) this.removeSuspect(cleared.fingerprint);
  }
}
