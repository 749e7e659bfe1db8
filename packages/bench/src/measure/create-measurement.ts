/** Creates measurements with rounded values. */
import type { Measurement } from './measurement.js';

const roundTo = (value: number, digits: number) =>
  Number(value.toFixed(digits));

/** Creates a measurement rounded to `digits` decimal places. */
export const createMeasurement = (
  name: string,
  value: number,
  unit: string,
  digits = 1,
): Measurement => ({ name, value: roundTo(value, digits), unit });
