/** The interface of a drill: it injects one fault and checks one guarantee. */

/** Whether the guarantee held during one drill. */
export interface DrillOutcome {
  readonly passed: boolean;
  /** Summary of the observed behaviour, with counts. */
  readonly seen: string;
}

/** Options that the command line passes to every drill. */
export interface DrillOptions {
  readonly seed: number;
  /** Number of random fault schedules to run; only random drills use it. */
  readonly scheduleCount: number;
}

/** A fault, a guarantee and the function that checks the guarantee under the fault. */
export interface Drill {
  /** Description of the injected fault. */
  readonly fault: string;
  /** Description of the guarantee that must hold despite the fault. */
  readonly promise: string;
  run(options: DrillOptions): Promise<DrillOutcome>;
}
