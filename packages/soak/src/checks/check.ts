/**
 * Types and helpers for the checks that examine the record of a finished soak
 * run.
 */
import { storeSubject } from '../run/fault-log.js';
import type { Attempt, RunRecord } from '../run/run-record.js';

/**
 * A broken guarantee (`promise`) and the observation that shows it (`seen`).
 */
export interface Violation {
  readonly promise: string;
  readonly seen: string;
}

/**
 * Returns the violations that a run record shows; an empty list means success.
 */
export type Check = (record: RunRecord) => Violation[];

/**
 * Milliseconds after the last fault at an instance after which the checks hold
 * it to their time limits again.
 */
export const settlingMs = 4_000;

/**
 * Whether neither the instance nor the store had a fault from `settlingMs` before
 * `fromMs` until `toMs` (both in milliseconds of the monotonic clock).
 */
export const hasNoRecentFault = (
  { faultLog }: RunRecord,
  instance: string,
  fromMs: number,
  toMs = fromMs,
): boolean =>
  faultLog.isFaultFree(instance, fromMs - settlingMs, toMs) &&
  faultLog.isFaultFree(storeSubject, fromMs - settlingMs, toMs);

/** HTTP statuses that state that a request was not executed and will not be. */
export const refusalStatuses: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/**
 * Whether the instance itself sent the response; responses of targets carry a
 * seal.
 */
export const isInstanceAnswer = ({ end }: Attempt): boolean =>
  end !== undefined && end.status !== 0 && end.seal === '';

/**
 * Groups the items by key; groups and items keep their order of first
 * appearance.
 */
export const groupBy = <T>(
  items: readonly T[],
  getKey: (item: T) => string,
): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(getKey(item)) ?? [];
    group.push(item);
    groups.set(getKey(item), group);
  }
  return groups;
};
