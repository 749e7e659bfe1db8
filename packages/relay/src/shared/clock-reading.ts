/**
 * Time on both clocks of the machine. The monotonic clock stops while the machine is
 * suspended and the time of day does not, so a change of their difference shows a
 * suspension, or a time of day that was set.
 */

/** One reading of both clocks, in milliseconds. */
export interface ClockReading {
  readonly monotonicMs: number;
  /** Milliseconds since the Unix epoch. */
  readonly epochMs: number;
}

/** Reads both clocks. */
export const readClocks = (): ClockReading => ({
  monotonicMs: performance.now(),
  epochMs: Date.now(),
});

/** Milliseconds by which the difference of the clocks has moved between two readings. */
export const computeClockShiftMs = (
  from: ClockReading,
  to: ClockReading,
): number =>
  Math.abs(to.epochMs - to.monotonicMs - (from.epochMs - from.monotonicMs));
