/** Registry of all known entry instances, merged from heartbeats. */
import { isNewerRecord } from './instance-record.js';
import type { InstanceRecord, InstanceState } from './instance-record.js';

/** An instance record and the time when this instance last heard from it. */
export interface ObservedInstance extends InstanceRecord {
  /**
   * Time of the last heartbeat or new record that arrived here, in milliseconds
   * since the Unix epoch.
   */
  readonly lastSeenMs: number;
}

type InstanceListener = (record: InstanceRecord) => void;

/** Keeps the newest record of each instance and numbers the changes. */
export class InstanceRegistry {
  readonly #instances = new Map<string, ObservedInstance>();
  readonly #listeners = new Set<InstanceListener>();
  /** Number of records stored so far; the position of the last change. */
  #changeCount = 0;
  #membershipPosition = 0;
  readonly #changePositions = new Map<string, number>();
  #self: InstanceRecord;

  constructor(self: InstanceRecord) {
    this.#self = self;
    this.#storeRecord(self);
  }

  get self(): InstanceRecord {
    return this.#self;
  }

  /** Position of the last change; see `listChangedSince`. */
  get position(): number {
    return this.#changeCount;
  }

  /**
   * Position of the last change of an instance's incarnation, state or address.
   * Revisions change more often and also reach the peers in other ways.
   */
  get membershipPosition(): number {
    return this.#membershipPosition;
  }

  listInstances(): readonly ObservedInstance[] {
    return [...this.#instances.values()];
  }

  findInstance(name: string): ObservedInstance | undefined {
    return this.#instances.get(name);
  }

  /** Adds a listener for changed records; the returned function removes it. */
  onChange(listener: InstanceListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Changes this instance's own record and raises its version. */
  updateSelf(change: {
    readonly state?: InstanceState;
    readonly revision?: number;
  }): void {
    this.#self = {
      ...this.#self,
      ...change,
      version: this.#self.version + 1,
    };
    this.#storeRecord(this.#self);
  }

  /** Stores records of other instances; ignores those that aren't newer. */
  mergeRecords(records: readonly InstanceRecord[]): void {
    for (const record of records) {
      if (record.name === this.#self.name) continue;
      if (!isNewerRecord(record, this.#instances.get(record.name))) continue;
      this.#storeRecord(record);
    }
  }

  /**
   * Records a heartbeat; a suspected instance of that incarnation is live
   * again.
   */
  recordHeartbeat(name: string, incarnation: string): void {
    const instance = this.#instances.get(name);
    if (instance?.incarnation !== incarnation) return;
    const state = instance.state === 'suspected' ? 'live' : instance.state;
    this.#replaceInstance({ ...instance, state, lastSeenMs: Date.now() });
  }

  /**
   * Marks an instance as suspected, in this registry only; peers aren't told.
   */
  markSuspected(name: string): void {
    const instance = this.#instances.get(name);
    if (instance === undefined || instance.state === 'suspected') return;
    this.#replaceInstance({ ...instance, state: 'suspected' });
  }

  /** Removes an incarnation that the platform reported as gone. */
  removeIncarnation(name: string, incarnation: string): boolean {
    if (this.#instances.get(name)?.incarnation !== incarnation) return false;
    this.#instances.delete(name);
    this.#changePositions.delete(name);
    return true;
  }

  /**
   * Lists records that changed after `position`, of one data centre or of all.
   */
  listChangedSince(position: number, dataCenter?: string): InstanceRecord[] {
    return [...this.#instances.values()]
      .filter(
        instance => (this.#changePositions.get(instance.name) ?? 0) > position,
      )
      .filter(
        instance =>
          dataCenter === undefined || instance.dataCenter === dataCenter,
      )
      .map(toInstanceRecord);
  }

  #storeRecord(record: InstanceRecord): void {
    const previous = this.#instances.get(record.name);
    this.#changeCount += 1;
    if (previous === undefined || hasMembershipChanged(previous, record))
      this.#membershipPosition = this.#changeCount;
    this.#changePositions.set(record.name, this.#changeCount);
    this.#replaceInstance({ ...record, lastSeenMs: Date.now() });
  }

  #replaceInstance(instance: ObservedInstance): void {
    this.#instances.set(instance.name, instance);
    for (const listener of this.#listeners)
      listener(toInstanceRecord(instance));
  }
}

const hasMembershipChanged = (
  previous: InstanceRecord,
  next: InstanceRecord,
): boolean =>
  previous.incarnation !== next.incarnation ||
  previous.state !== next.state ||
  previous.address !== next.address;

/** Drops local observations: a suspected instance is sent to peers as live. */
const toInstanceRecord = (instance: ObservedInstance): InstanceRecord => {
  const { lastSeenMs, ...record } = instance;
  return record.state === 'suspected' ? { ...record, state: 'live' } : record;
};
