/** Types of measurements and measurement suites. */

/** A measured value with its unit and its target, if there is one. */
export interface Measurement {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** The target, for example `<= 1.1`. */
  readonly target?: string;
  /** True if the value meets the target. */
  readonly met?: boolean;
}

/** Options of all measurement suites. */
export interface MeasurementOptions {
  readonly seed: number;
}

/** Runs a group of measurements, in this process or with child processes. */
export type MeasurementSuite = (
  options: MeasurementOptions,
) => Promise<readonly Measurement[]>;
