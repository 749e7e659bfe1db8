/** Records of all known instances, joined from heartbeats and relays. */
import { supersedes } from './instance-record.js';
import type { InstanceRecord, InstanceState } from './instance-record.js';

/** A record with what this instance observed itself. */
export interface InstanceView extends InstanceRecord {
  /** Last sign of life seen here, epoch milliseconds. */
  readonly lastSeenMs: number;
}

type ChangeListener = (record: InstanceRecord) => void;

export class InstanceRegistry {
  readonly #views = new Map<string, InstanceView>();
  readonly #listeners = new Set<ChangeListener>();
  /** Rises with each accepted change; orders deltas. */
  #clock = 0;
  readonly #changedAt = new Map<string, number>();
  #self: InstanceRecord;

  constructor(self: InstanceRecord) {
    this.#self = self;
    this.#store(self);
  }

  get self(): InstanceRecord {
    return this.#self;
  }

  /** Position up to which a delta is complete. */
  get position(): number {
    return this.#clock;
  }

  all(): readonly InstanceView[] {
    return [...this.#views.values()];
  }

  find(name: string): InstanceView | undefined {
    return this.#views.get(name);
  }

  onChange(listener: ChangeListener): () => void {
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
    this.#store(this.#self);
  }

  /** Takes in records of others; older ones are dropped. */
  merge(records: readonly InstanceRecord[]): void {
    for (const record of records) {
      if (record.name === this.#self.name) continue;
      if (!supersedes(record, this.#views.get(record.name))) continue;
      this.#store(record);
    }
  }

  /** Notes a sign of life; clears a suspicion of the same incarnation. */
  seen(name: string, incarnation: string): void {
    const view = this.#views.get(name);
    if (view?.incarnation !== incarnation) return;
    const alive = view.state === 'suspected' ? 'live' : view.state;
    this.#replace({ ...view, state: alive, lastSeenMs: Date.now() });
  }

  /** Marks as suspected; a local hint that is not passed on. */
  suspect(name: string): void {
    const view = this.#views.get(name);
    if (view === undefined || view.state === 'suspected') return;
    this.#replace({ ...view, state: 'suspected' });
  }

  /** Drops an incarnation that the platform confirmed as gone. */
  remove(name: string, incarnation: string): boolean {
    if (this.#views.get(name)?.incarnation !== incarnation) return false;
    this.#views.delete(name);
    this.#changedAt.delete(name);
    return true;
  }

  /** Records that changed after the position, for one data centre or all. */
  changedSince(position: number, dataCenter?: string): InstanceRecord[] {
    return [...this.#views.values()]
      .filter(view => (this.#changedAt.get(view.name) ?? 0) > position)
      .filter(
        view => dataCenter === undefined || view.dataCenter === dataCenter,
      )
      .map(toRecord);
  }

  #store(record: InstanceRecord): void {
    this.#clock += 1;
    this.#changedAt.set(record.name, this.#clock);
    this.#replace({ ...record, lastSeenMs: Date.now() });
  }

  #replace(view: InstanceView): void {
    this.#views.set(view.name, view);
    for (const listener of this.#listeners) listener(toRecord(view));
  }
}

/** Suspicion is local, so a relayed record says what its instance said. */
const toRecord = (view: InstanceView): InstanceRecord => {
  const { lastSeenMs, ...record } = view;
  return record.state === 'suspected' ? { ...record, state: 'live' } : record;
};
