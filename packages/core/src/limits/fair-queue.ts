/**
 * Queue ordered by priority. Within a priority, customers share the capacity
 * fairly by virtual time; within a customer, requests are ordered by deadline.
 */

/** Fields of a request on which its position in the queue depends. */
export interface FairQueueEntry {
  readonly customer: string;
  /** Requests with a larger value are taken first. */
  readonly priority: number;
  /** Deadline in epoch milliseconds. */
  readonly deadlineMs: number;
  /**
   * Expected amount of work. It is added to the virtual time of the customer,
   * so that the next request of the customer is taken later.
   */
  readonly cost: number;
}

interface CustomerQueue<T> {
  readonly entries: T[];
  /** Virtual time at which the next request of the customer starts. */
  virtualStart: number;
}

interface PriorityLevel<T> {
  readonly customerQueues: Map<string, CustomerQueue<T>>;
  /** Largest virtual start time of the requests taken so far. */
  virtualTime: number;
}

/** Weighted fair queue of requests. */
export class FairQueue<T extends FairQueueEntry> {
  readonly #levels = new Map<number, PriorityLevel<T>>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Yields all queued requests, those with the highest priority first. */
  *listEntries(): Generator<T> {
    for (const [, level] of this.#sortLevels()) {
      for (const { entries } of level.customerQueues.values()) yield* entries;
    }
  }

  addEntry(entry: T): void {
    const level = this.#getLevel(entry.priority);
    const queue = getCustomerQueue(level, entry.customer);
    const laterIndex = queue.entries.findIndex(
      other => other.deadlineMs > entry.deadlineMs,
    );
    const position = laterIndex < 0 ? queue.entries.length : laterIndex;
    queue.entries.splice(position, 0, entry);
    this.#size += 1;
  }

  /** Returns false if the entry is not in the queue. */
  removeEntry(entry: T): boolean {
    const customerQueues = this.#levels.get(entry.priority)?.customerQueues;
    const entries = customerQueues?.get(entry.customer)?.entries ?? [];
    const position = entries.indexOf(entry);
    if (position < 0) return false;
    entries.splice(position, 1);
    this.#size -= 1;
    return true;
  }

  /**
   * Removes and returns the next request for which `canRun` returns true, or
   * `undefined` if there is none.
   */
  takeNext(canRun: (entry: T) => boolean): T | undefined {
    for (const [, level] of this.#sortLevels()) {
      const entry = findNextEntry(level, canRun);
      if (entry === undefined) continue;
      this.removeEntry(entry);
      chargeCustomer(level, entry);
      return entry;
    }
    return undefined;
  }

  /** Returns the number of queued requests of a customer. */
  countWaiting(customer: string): number {
    let count = 0;
    for (const level of this.#levels.values()) {
      count += level.customerQueues.get(customer)?.entries.length ?? 0;
    }
    return count;
  }

  /** Estimates how many queued requests are taken before the given entry. */
  countAhead(entry: FairQueueEntry): number {
    let ahead = 0;
    for (const [priority, level] of this.#sortLevels()) {
      if (priority < entry.priority) break;
      ahead +=
        priority > entry.priority
          ? countEntries(level)
          : countAheadInLevel(level, entry);
    }
    return ahead;
  }

  #sortLevels(): [number, PriorityLevel<T>][] {
    return [...this.#levels].sort(([a], [b]) => b - a);
  }

  #getLevel(priority: number): PriorityLevel<T> {
    let level = this.#levels.get(priority);
    if (level === undefined) {
      level = { customerQueues: new Map(), virtualTime: 0 };
      this.#levels.set(priority, level);
    }
    return level;
  }
}

const getCustomerQueue = <T>(
  level: PriorityLevel<T>,
  customer: string,
): CustomerQueue<T> => {
  let queue = level.customerQueues.get(customer);
  if (queue === undefined) {
    queue = { entries: [], virtualStart: level.virtualTime };
    level.customerQueues.set(customer, queue);
  }
  if (queue.entries.length === 0) {
    queue.virtualStart = Math.max(queue.virtualStart, level.virtualTime);
  }
  return queue;
};

/**
 * Considers only the first request of each customer. Of those that `canRun`
 * accepts, returns the one whose customer has the earliest virtual start time.
 */
const findNextEntry = <T>(
  level: PriorityLevel<T>,
  canRun: (entry: T) => boolean,
): T | undefined => {
  let next: T | undefined;
  let earliestStart = Infinity;
  for (const { entries, virtualStart } of level.customerQueues.values()) {
    const first = entries[0];
    if (first === undefined || virtualStart >= earliestStart) continue;
    if (!canRun(first)) continue;
    next = first;
    earliestStart = virtualStart;
  }
  return next;
};

/**
 * Adds the cost of a taken request to the virtual start of its customer, and
 * removes idle customers that are not ahead of the virtual time.
 */
const chargeCustomer = <T extends FairQueueEntry>(
  level: PriorityLevel<T>,
  entry: T,
): void => {
  const queue = getCustomerQueue(level, entry.customer);
  level.virtualTime = Math.max(level.virtualTime, queue.virtualStart);
  queue.virtualStart += entry.cost;
  for (const [customer, other] of level.customerQueues) {
    const isIdle =
      other.entries.length === 0 && other.virtualStart <= level.virtualTime;
    if (isIdle) level.customerQueues.delete(customer);
  }
};

const countEntries = (level: PriorityLevel<unknown>): number => {
  let size = 0;
  for (const { entries } of level.customerQueues.values())
    size += entries.length;
  return size;
};

/**
 * Estimates how many requests of the same priority are taken before the entry,
 * assuming that customers take turns: each other customer gets at most one
 * request more than the number of requests ahead of the entry in its own queue.
 */
const countAheadInLevel = (
  level: PriorityLevel<FairQueueEntry>,
  entry: FairQueueEntry,
): number => {
  const ownEntries = level.customerQueues.get(entry.customer)?.entries ?? [];
  const ownAhead = ownEntries.filter(
    other => other !== entry && other.deadlineMs <= entry.deadlineMs,
  ).length;
  let ahead = ownAhead;
  for (const [customer, { entries }] of level.customerQueues) {
    if (customer !== entry.customer) {
      ahead += Math.min(entries.length, ownAhead + 1);
    }
  }
  return ahead;
};
