/** Tracks the requests of this instance that run on each engine. */
import type { Quarantine } from '../quarantine/quarantine.js';
import type { Engine } from '../target/target.js';

/** Counts requests by engine incarnation and request fingerprint. */
export class InFlightRequests {
  readonly #fingerprintCounts = new Map<string, Map<string, number>>();
  readonly #crashReports = new Map<string, Promise<void>>();

  constructor(private readonly quarantine: Quarantine) {}

  /** Counts a request until the returned function is called. */
  addRequest(engine: Engine, fingerprint: string): () => void {
    const key = createEngineKey(engine);
    const counts =
      this.#fingerprintCounts.get(key) ?? new Map<string, number>();
    this.#fingerprintCounts.set(key, counts);
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    return () => {
      const remainingCount = (counts.get(fingerprint) ?? 1) - 1;
      if (remainingCount > 0) counts.set(fingerprint, remainingCount);
      else counts.delete(fingerprint);
      if (counts.size > 0) return;
      this.#fingerprintCounts.delete(key);
      this.#crashReports.delete(key);
    };
  }

  /** Reports an engine crash once, with the requests that were running on it. */
  reportCrash(engine: Engine): Promise<void> {
    const key = createEngineKey(engine);
    const existingReport = this.#crashReports.get(key);
    if (existingReport !== undefined) return existingReport;
    const crashReport = this.quarantine.recordCrash({
      target: engine.name,
      incarnation: engine.incarnation,
      fingerprints: [...(this.#fingerprintCounts.get(key)?.keys() ?? [])],
    });
    this.#crashReports.set(key, crashReport);
    return crashReport;
  }
}

const createEngineKey = ({ name, incarnation }: Engine) =>
  JSON.stringify([name, incarnation]);
