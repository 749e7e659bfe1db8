/**
 * Estimates how long a request that is in time waits for a slot of a decode engine. Requests
 * that will be late go behind it and do not count.
 */

/** Requests of this instance that run or wait at the decode engines of a service. */
export class DecodeRequests {
  #count = 0;
  #lateCount = 0;

  /** Counts a request until the returned function is called. */
  start(isLate: boolean): () => void {
    const lateCount = isLate ? 1 : 0;
    this.#count += 1;
    this.#lateCount += lateCount;
    return () => {
      this.#count -= 1;
      this.#lateCount -= lateCount;
    };
  }

  /** Fraction of the requests that are late, from 0 to 1. */
  get lateShare(): number {
    return this.#count === 0 ? 0 : this.#lateCount / this.#count;
  }
}

/** Load of a decode engine, and the time for which a request takes a slot there. */
export interface SlotLoad {
  /** Requests of all instances at the engine, with the one that is sent. */
  readonly requestCount: number;
  /** Fraction of these that go behind; the other instances' are taken for alike. */
  readonly lateShare: number;
  readonly slots: number;
  /** Milliseconds; undefined before the first measurement. */
  readonly slotMs: number | undefined;
}

/** Expected milliseconds until a slot is free for a request that is in time. */
export const estimateSlotWaitMs = ({
  requestCount,
  lateShare,
  slots,
  slotMs = 0,
}: SlotLoad): number => {
  const waitingCount = requestCount * (1 - lateShare) - slots;
  return (Math.max(0, waitingCount) / slots) * slotMs;
};
