/** Rows of the capacity measurements. */
import type { Measurement } from './measurement.js';

const round = (value: number, digits: number) => Number(value.toFixed(digits));

export const row = (
  name: string,
  value: number,
  unit: string,
  digits = 1,
): Measurement => ({ name, value: round(value, digits), unit });
