/** What this instance has in flight at each engine. */
import type { Quarantine } from '../quarantine/quarantine.js';
import type { Engine } from '../target/target.js';

export class InFlightRequests {
  readonly #fingerprintCounts = new Map<string, Map<string, number>>();
  readonly #crashReports = new Map<string, Promise<void>>();

  constructor(private readonly quarantine: Quarantine) {}

  /** Counts a request until the function returned is called. */
  addRequest(engine: Engine, fingerprint: string): () => void {
    const key = createEngineKey(engine);
    const counts =
      this.#fingerprintCounts.get(key) ?? new Map<string, number>();
    this.#fingerprintCounts.set(key, counts);
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    return () => {
      const left = (counts.get(fingerprint) ?? 1) - 1;
      if (left > 0) counts.set(fingerprint, left);
      else counts.delete(fingerprint);
      if (counts.size > 0) return;
      this.#fingerprintCounts.delete(key);
      this.#crashReports.delete(key);
    };
  }

  /** Reports a crash once, with everything that was in flight there. */
  reportCrash(engine: Engine): Promise<void> {
    const key = createEngineKey(engine);
    const reported = this.#crashReports.get(key);
    if (reported !== undefined) return reported;
    const report = this.quarantine.recordCrash({
      target: engine.name,
      incarnation: engine.incarnation,
      fingerprints: [...(this.#fingerprintCounts.get(key)?.keys() ?? [])],
    });
    this.#crashReports.set(key, report);
    return report;
  }
}

const createEngineKey = ({ name, incarnation }: Engine) =>
  JSON.stringify([name, incarnation]);
