/** One fault brought about, and what became of a promise. */
export interface DrillOutcome {
  readonly passed: boolean;
  /** What was observed, in a few words with figures. */
  readonly seen: string;
}

export interface DrillOptions {
  readonly seed: number;
  /** Random fault schedules to run. */
  readonly scheduleCount: number;
}

export interface Drill {
  readonly fault: string;
  readonly promise: string;
  run(options: DrillOptions): Promise<DrillOutcome>;
}
