/** Records of all known instances, joined from heartbeats and relays. */
import { isNewerRecord } from './instance-record.js';
import type { InstanceRecord, InstanceState } from './instance-record.js';

/** A record with what this instance observed itself. */
export interface ObservedInstance extends InstanceRecord {
  /** Last sign of life seen here, epoch milliseconds. */
  readonly lastSeenMs: number;
}

type InstanceListener = (record: InstanceRecord) => void;

export class InstanceRegistry {
  readonly #instances = new Map<string, ObservedInstance>();
  readonly #listeners = new Set<InstanceListener>();
  /** Rises with each accepted change; orders deltas. */
  #changeCount = 0;
  readonly #changePositions = new Map<string, number>();
  #self: InstanceRecord;

  constructor(self: InstanceRecord) {
    this.#self = self;
    this.#storeRecord(self);
  }

  get self(): InstanceRecord {
    return this.#self;
  }

  /** Position up to which a delta is complete. */
  get position(): number {
    return this.#changeCount;
  }

  listInstances(): readonly ObservedInstance[] {
    return [...this.#instances.values()];
  }

  findInstance(name: string): ObservedInstance | undefined {
    return this.#instances.get(name);
  }

  onChange(listener: InstanceListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Changes this instance's own record. */
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

  /** Takes in records of others; older ones are dropped. */
  mergeRecords(records: readonly InstanceRecord[]): void {
    for (const record of records) {
      if (record.name === this.#self.name) continue;
      if (!isNewerRecord(record, this.#instances.get(record.name))) continue;
      this.#storeRecord(record);
    }
  }

  /** Notes a sign of life; clears a suspicion of the same incarnation. */
  recordHeartbeat(name: string, incarnation: string): void {
    const view = this.#instances.get(name);
    if (view?.incarnation !== incarnation) return;
    const alive = view.state === 'suspected' ? 'live' : view.state;
    this.#replaceInstance({ ...view, state: alive, lastSeenMs: Date.now() });
  }

  /** Marks as suspected; a local hint that is not passed on. */
  markSuspected(name: string): void {
    const view = this.#instances.get(name);
    if (view === undefined || view.state === 'suspected') return;
    this.#replaceInstance({ ...view, state: 'suspected' });
  }

  /** Drops an incarnation that the platform confirmed as gone. */
  removeIncarnation(name: string, incarnation: string): boolean {
    if (this.#instances.get(name)?.incarnation !== incarnation) return false;
    this.#instances.delete(name);
    this.#changePositions.delete(name);
    return true;
  }

  /** Records that changed after the position, for one data centre or all. */
  listChangedSince(position: number, dataCenter?: string): InstanceRecord[] {
    return [...this.#instances.values()]
      .filter(view => (this.#changePositions.get(view.name) ?? 0) > position)
      .filter(
        view => dataCenter === undefined || view.dataCenter === dataCenter,
      )
      .map(toInstanceRecord);
  }

  #storeRecord(record: InstanceRecord): void {
    this.#changeCount += 1;
    this.#changePositions.set(record.name, this.#changeCount);
    this.#replaceInstance({ ...record, lastSeenMs: Date.now() });
  }

  #replaceInstance(view: ObservedInstance): void {
    this.#instances.set(view.name, view);
    for (const listener of this.#listeners) listener(toInstanceRecord(view));
  }
}

/** Suspicion is local, so a relayed record says what its instance said. */
const toInstanceRecord = (view: ObservedInstance): InstanceRecord => {
  const { lastSeenMs, ...record } = view;
  return record.state === 'suspected' ? { ...record, state: 'live' } : record;
};
