/** Limits the number of distinct values of a metric label. */

/** Label value shared by all values beyond the limit. */
export const otherLabel = 'other';

/** Keeps the first `maxValues` distinct values; maps later ones to `other`. */
export class LabelLimiter {
  readonly #values = new Set<string>();

  constructor(readonly maxValues: number) {}

  limitLabel(value: string): string {
    if (this.#values.has(value)) return value;
    if (this.#values.size >= this.maxValues) return otherLabel;
    this.#values.add(value);
    return value;
  }
}
