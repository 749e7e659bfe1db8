/** Bounds the values that a metric label may take. */

/** Label value of everything beyond the limit. */
export const otherLabel = 'other';

/** Gives the first `limit` values a label of their own, the rest `other`. */
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
