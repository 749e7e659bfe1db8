/** One figure with its unit and, where one is stated, its target. */
export interface Measurement {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
  /** The stated target, for instance `<= 1.1`. */
  readonly target?: string;
  readonly met?: boolean;
}

export interface MeasurementOptions {
  readonly seed: number;
}

/** Takes a group of measurements in this process or with child processes. */
export type MeasurementSuite = (
  options: MeasurementOptions,
) => Promise<readonly Measurement[]>;
