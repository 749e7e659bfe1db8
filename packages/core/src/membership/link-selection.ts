/** Chooses which instances this one exchanges heartbeats with. */
import type { InstanceRecord } from './instance-record.js';

export interface LinkSelectionOptions {
  /** Up to this many instances everyone links to everyone. */
  readonly maxFullMeshInstances: number;
  /** Ring successors in the same data centre beyond that. */
  readonly localLinkCount: number;
  /** Links to each other data centre beyond that. */
  readonly remoteLinkCount: number;
}

export const defaultLinkSelection: LinkSelectionOptions = {
  maxFullMeshInstances: 16,
  localLinkCount: 4,
  remoteLinkCount: 1,
};

const compareByName = (a: InstanceRecord, b: InstanceRecord) =>
  a.name < b.name ? -1 : 1;

/** The next `count` after `name` on the ring of names. */
const findSuccessors = (
  name: string,
  ring: readonly InstanceRecord[],
  count: number,
): InstanceRecord[] => {
  const sorted = [...ring].sort(compareByName);
  const start = sorted.findIndex(record => record.name > name);
  const first = start === -1 ? 0 : start;
  return [...sorted.slice(first), ...sorted.slice(0, first)].slice(0, count);
};

/** Everyone in a small deployment; a ring and bridges in a large one. */
export const selectLinkedInstances = (
  self: InstanceRecord,
  others: readonly InstanceRecord[],
  options: LinkSelectionOptions = defaultLinkSelection,
): InstanceRecord[] => {
  if (others.length < options.maxFullMeshInstances) return [...others];
  return [...groupByDataCenter(others)].flatMap(([dataCenter, members]) => {
    const local = dataCenter === self.dataCenter;
    const count = local ? options.localLinkCount : options.remoteLinkCount;
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
