/** What this instance has in flight at each engine. */
import type { Quarantine } from '../quarantine/quarantine.js';
import type { Engine } from '../target/target.js';

export class InFlight {
  readonly #fingerprints = new Map<string, Map<string, number>>();
  readonly #reports = new Map<string, Promise<void>>();

  constructor(private readonly quarantine: Quarantine) {}

  /** Counts a request until the function returned is called. */
  add(engine: Engine, fingerprint: string): () => void {
    const key = keyOf(engine);
    const counts = this.#fingerprints.get(key) ?? new Map<string, number>();
    this.#fingerprints.set(key, counts);
    counts.set(fingerprint, (counts.get(fingerprint) ?? 0) + 1);
    return () => {
      const left = (counts.get(fingerprint) ?? 1) - 1;
      if (left > 0) counts.set(fingerprint, left);
      else counts.delete(fingerprint);
      if (counts.size > 0) return;
      this.#fingerprints.delete(key);
      this.#reports.delete(key);
    };
  }

  /** Reports a crash once, with everything that was in flight there. */
  crashed(engine: Engine): Promise<void> {
    const key = keyOf(engine);
    const reported = this.#reports.get(key);
    if (reported !== undefined) return reported;
    const report = this.quarantine.crashed({
      target: engine.name,
      incarnation: engine.incarnation,
      fingerprints: [...(this.#fingerprints.get(key)?.keys() ?? [])],
    });
    this.#reports.set(key, report);
    return report;
  }
}

const keyOf = ({ name, incarnation }: Engine) =>
  JSON.stringify([name, incarnation]);
