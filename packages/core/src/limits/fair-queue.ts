/**
 * A queue ordered by priority, shared fairly among the customers of each
 * priority, and by deadline within a customer's own requests.
 */

/** What the queue needs to know of a waiting request. */
export interface FairQueueEntry {
  readonly customer: string;
  /** Larger goes first. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Work of the request; a customer's turn comes later the more it took. */
  readonly cost: number;
}

interface CustomerQueue<T> {
  readonly entries: T[];
  /** Virtual time at which the customer's next request starts. */
  virtualStart: number;
}

interface PriorityLevel<T> {
  readonly customerQueues: Map<string, CustomerQueue<T>>;
  /** Virtual time: start of the request that was taken last. */
  virtualTime: number;
}

export class FairQueue<T extends FairQueueEntry> {
  readonly #levels = new Map<number, PriorityLevel<T>>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Requests that wait, those of the highest priority first. */
  *listEntries(): Generator<T> {
    for (const [, level] of this.#sortLevels()) {
      for (const { entries: waiting } of level.customerQueues.values())
        yield* waiting;
    }
  }

  addEntry(entry: T): void {
    const level = this.#getLevel(entry.priority);
    const queue = getCustomerQueue(level, entry.customer);
    const later = queue.entries.findIndex(
      other => other.deadlineMs > entry.deadlineMs,
    );
    const position = later < 0 ? queue.entries.length : later;
    queue.entries.splice(position, 0, entry);
    this.#size += 1;
  }

  /** False when the entry does not wait any more. */
  removeEntry(entry: T): boolean {
    const queue = this.#levels.get(entry.priority)?.customerQueues;
    const waiting = queue?.get(entry.customer)?.entries ?? [];
    const position = waiting.indexOf(entry);
    if (position < 0) return false;
    waiting.splice(position, 1);
    this.#size -= 1;
    return true;
  }

  /** Takes the next request of a customer that may run one more. */
  takeNext(mayRun: (entry: T) => boolean): T | undefined {
    for (const [, level] of this.#sortLevels()) {
      const entry = findNextEntry(level, mayRun);
      if (entry === undefined) continue;
      this.removeEntry(entry);
      chargeCustomer(level, entry);
      return entry;
    }
    return undefined;
  }

  /** Requests of a customer that wait. */
  countWaiting(customer: string): number {
    let count = 0;
    for (const level of this.#levels.values()) {
      count += level.customerQueues.get(customer)?.entries.length ?? 0;
    }
    return count;
  }

  /** Requests expected to be taken before a new one of this kind. */
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

/** First request of the customer whose turn it is. */
const findNextEntry = <T>(
  level: PriorityLevel<T>,
  mayRun: (entry: T) => boolean,
): T | undefined => {
  let next: T | undefined;
  let earliest = Infinity;
  for (const {
    entries: waiting,
    virtualStart: startsAt,
  } of level.customerQueues.values()) {
    const first = waiting[0];
    if (first === undefined || startsAt >= earliest) continue;
    if (!mayRun(first)) continue;
    next = first;
    earliest = startsAt;
  }
  return next;
};

/** Moves the customer's next turn back by the work it got. */
const chargeCustomer = <T extends FairQueueEntry>(
  level: PriorityLevel<T>,
  entry: T,
): void => {
  const queue = getCustomerQueue(level, entry.customer);
  level.virtualTime = Math.max(level.virtualTime, queue.virtualStart);
  queue.virtualStart += entry.cost;
  for (const [customer, other] of level.customerQueues) {
    const idle =
      other.entries.length === 0 && other.virtualStart <= level.virtualTime;
    if (idle) level.customerQueues.delete(customer);
  }
};

const countEntries = (level: PriorityLevel<unknown>): number => {
  let size = 0;
  for (const { entries: waiting } of level.customerQueues.values())
    size += waiting.length;
  return size;
};

/** Customers take turns: none gets more before the entry than its own do. */
const countAheadInLevel = (
  level: PriorityLevel<FairQueueEntry>,
  entry: FairQueueEntry,
): number => {
  const own = level.customerQueues.get(entry.customer)?.entries ?? [];
  const before = own.filter(
    other => other !== entry && other.deadlineMs <= entry.deadlineMs,
  ).length;
  let ahead = before;
  for (const [customer, { entries: waiting }] of level.customerQueues) {
    if (customer !== entry.customer) {
      ahead += Math.min(waiting.length, before + 1);
    }
  }
  return ahead;
};
