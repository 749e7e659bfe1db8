/** Promises that a run is checked for afterwards. */
import { storeSubject } from '../run/fault-log.js';
import type { Attempt, RunRecord } from '../run/run-record.js';

/** A promise that was not kept, with what was seen. */
export interface Violation {
  readonly promise: string;
  readonly seen: string;
}

export type Check = (evidence: RunRecord) => Violation[];

/** Calm after which an instance is held to bounds of time again. */
export const settlingMs = 4_000;

/** True when neither instance nor store was harmed shortly before or in the time. */
export const isUndisturbed = (
  { faultLog: disturbances }: RunRecord,
  instance: string,
  fromMs: number,
  toMs = fromMs,
): boolean =>
  disturbances.isFaultFree(instance, fromMs - settlingMs, toMs) &&
  disturbances.isFaultFree(storeSubject, fromMs - settlingMs, toMs);

/** Statuses that say that a request has not run and never will. */
export const refusalStatuses: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** An answer of the instance itself, not of a target. */
export const isInstanceAnswer = ({ end }: Attempt): boolean =>
  end !== undefined && end.status !== 0 && end.seal === '';

/** Groups by a key, in order of appearance. */
export const groupBy = <T>(
  items: readonly T[],
  keyOf: (item: T) => string,
): Map<string, T[]> => {
  const groups = new Map<string, T[]>();
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? [];
    group.push(item);
    groups.set(keyOf(item), group);
  }
  return groups;
};
