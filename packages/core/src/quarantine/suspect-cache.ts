/** What this instance knows of suspects, poison and reserved targets. */
import type { Log } from '../shared/log.js';

import { hasSite, withCrash } from './suspect.js';
import type { CrashSite, Suspect } from './suspect.js';

/** A reservation whose end was never told lapses after this. */
const reservationMs = 60_000;

export class KnownSuspects {
  /** Suspects and poison by fingerprint; cleared ones are not kept. */
  readonly #suspects = new Map<string, Suspect>();
  readonly #reservedUntilMs = new Map<string, number>();

  constructor(readonly log: Log) {}

  get(fingerprint: string): Suspect | undefined {
    return this.#suspects.get(fingerprint);
  }

  list(): readonly Suspect[] {
    return [...this.#suspects.values()];
  }

  /** Notes a crash of this instance's requests. */
  suspect(fingerprint: string, site: CrashSite): void {
    this.learn(withCrash(fingerprint, this.get(fingerprint), site));
  }

  /** Takes in what a peer or the table says; poison is never forgotten. */
  learn(suspect: Suspect): void {
    const { fingerprint, state } = suspect;
    const known = this.get(fingerprint);
    if (known?.state === 'poison') return;
    if (state === 'cleared') {
      this.#clear(suspect);
      return;
    }
    const joined = suspect.crashes.reduce<Suspect>(
      (joint, site) => withCrash(fingerprint, joint, site),
      known ?? suspect,
    );
    if (joined === known) return;
    this.#suspects.set(fingerprint, joined);
    const name =
      joined.state === 'poison' ? 'request_poisoned' : 'request_suspected';
    this.log.event(name, { fingerprint, crashes: joined.crashes });
  }

  forget(fingerprint: string): void {
    this.#suspects.delete(fingerprint);
  }

  reserved(target: string): boolean {
    return (this.#reservedUntilMs.get(target) ?? 0) > Date.now();
  }

  setReserved(target: string, reserved: boolean): void {
    if (!reserved) this.#reservedUntilMs.delete(target);
    else this.#reservedUntilMs.set(target, Date.now() + reservationMs);
  }

  /** Forgets a suspect unless it has crashed a target since. */
  #clear(cleared: Suspect): void {
    const known = this.get(cleared.fingerprint);
    const old = known?.crashes.every(site => hasSite(cleared, site));
    if (old === true) this.forget(cleared.fingerprint);
  }
}
