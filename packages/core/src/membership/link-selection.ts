/** Selects the instances with which this instance exchanges heartbeats. */
import type { InstanceRecord } from './instance-record.js';

export interface LinkSelectionOptions {
  /** With at most this many instances, each links to all others. */
  readonly maxFullMeshInstances: number;
  /**
   * Number of ring successors in the same data centre to link to, with more
   * than `maxFullMeshInstances` instances.
   */
  readonly localLinkCount: number;
  /**
   * Number of instances of each other data centre to link to, with more than
   * `maxFullMeshInstances` instances.
   */
  readonly remoteLinkCount: number;
}

/** Default link selection. */
export const defaultLinkSelection: LinkSelectionOptions = {
  maxFullMeshInstances: 16,
  localLinkCount: 4,
  remoteLinkCount: 1,
};

const compareByName = (a: InstanceRecord, b: InstanceRecord) =>
  a.name < b.name ? -1 : 1;

/** The `count` instances after `name` on the ring, sorted by name. */
const findSuccessors = (
  name: string,
  ring: readonly InstanceRecord[],
  count: number,
): InstanceRecord[] => {
  const sorted = [...ring].sort(compareByName);
  const firstGreaterIndex = sorted.findIndex(record => record.name > name);
  const startIndex = firstGreaterIndex === -1 ? 0 : firstGreaterIndex;
  return [...sorted.slice(startIndex), ...sorted.slice(0, startIndex)].slice(
    0,
    count,
  );
};

/**
 * Selects all others in a small deployment. In a large one, selects the ring
 * successors in the own data centre and some instances of each other one.
 */
export const selectLinkedInstances = (
  self: InstanceRecord,
  others: readonly InstanceRecord[],
  options: LinkSelectionOptions = defaultLinkSelection,
): InstanceRecord[] => {
  if (others.length < options.maxFullMeshInstances) return [...others];
  return [...groupByDataCenter(others)].flatMap(([dataCenter, members]) => {
    const isLocal = dataCenter === self.dataCenter;
    const count = isLocal ? options.localLinkCount : options.remoteLinkCount;
    return findSuccessors(self.name, members, count);
  });
};

const groupByDataCenter = (records: readonly InstanceRecord[]) => {
  const groups = new Map<string, InstanceRecord[]>();
  for (const record of records) {
    const group = groups.get(record.dataCenter) ?? [];
    group.push(record);
    groups.set(record.dataCenter, group);
  }
  return groups;
};
