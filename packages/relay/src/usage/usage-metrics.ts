/** Metrics of the usage reports. */
import { Counter, Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

const msPerSecond = 1_000;

/** `accepted`, also when late; `late`: not accepted when due; `missed`: never reported. */
export type WindowOutcome = 'accepted' | 'late' | 'missed';

/** Counts the windows by outcome. */
export class UsageMetrics {
  readonly #windowCounter: Counter<'outcome'>;

  /** `getAcceptedAgeMs` returns undefined unless this instance reports. */
  constructor(registry: Registry, getAcceptedAgeMs: () => number | undefined) {
    const registers = [registry];
    this.#windowCounter = new Counter({
      name: 'medlarlever_relay_usage_windows_total',
      help: 'Windows of usage reports, by outcome',
      labelNames: ['outcome'],
      registers,
    });
    new Gauge({
      name: 'medlarlever_relay_usage_accepted_age_seconds',
      help: 'Time since the end of the last window whose report was accepted; only at the instance that reports',
      registers,
      collect() {
        // Without a reset, a former holder would go on to show an age.
        this.remove();
        const ageMs = getAcceptedAgeMs();
        if (ageMs !== undefined) this.set(ageMs / msPerSecond);
      },
    });
  }

  recordWindow(outcome: WindowOutcome): void {
    this.#windowCounter.inc({ outcome });
  }
}
