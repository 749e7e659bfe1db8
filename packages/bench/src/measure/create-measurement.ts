/** Rows of the capacity measurements. */
import type { Measurement } from './measurement.js';

const roundTo = (value: number, digits: number) =>
  Number(value.toFixed(digits));

export const createMeasurement = (
  name: string,
  value: number,
  unit: string,
  digits = 1,
): Measurement => ({ name, value: roundTo(value, digits), unit });
