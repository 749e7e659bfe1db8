/** Chooses which instances this one exchanges heartbeats with. */
import type { InstanceRecord } from './instance-record.js';

export interface LinkChoiceOptions {
  /** Up to this many instances everyone links to everyone. */
  readonly fullMeshLimit: number;
  /** Ring successors in the same data centre beyond that. */
  readonly localLinks: number;
  /** Links to each other data centre beyond that. */
  readonly remoteLinks: number;
}

export const defaultLinkChoice: LinkChoiceOptions = {
  fullMeshLimit: 16,
  localLinks: 4,
  remoteLinks: 1,
};

const byName = (a: InstanceRecord, b: InstanceRecord) =>
  a.name < b.name ? -1 : 1;

/** The next `count` after `name` on the ring of names. */
const successors = (
  name: string,
  ring: readonly InstanceRecord[],
  count: number,
): InstanceRecord[] => {
  const sorted = [...ring].sort(byName);
  const start = sorted.findIndex(record => record.name > name);
  const first = start === -1 ? 0 : start;
  return [...sorted.slice(first), ...sorted.slice(0, first)].slice(0, count);
};

/** Everyone in a small deployment; a ring and bridges in a large one. */
export const chooseLinks = (
  self: InstanceRecord,
  others: readonly InstanceRecord[],
  options: LinkChoiceOptions = defaultLinkChoice,
): InstanceRecord[] => {
  if (others.length < options.fullMeshLimit) return [...others];
  return [...groupByDataCenter(others)].flatMap(([dataCenter, members]) => {
    const local = dataCenter === self.dataCenter;
    const count = local ? options.localLinks : options.remoteLinks;
    return successors(self.name, members, count);
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
