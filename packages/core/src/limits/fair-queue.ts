/**
 * A queue ordered by priority, shared fairly among the customers of each
 * priority, and by deadline within a customer's own requests.
 */

/** What the queue needs to know of a waiting request. */
export interface Waiting {
  readonly customer: string;
  /** Larger goes first. */
  readonly priority: number;
  readonly deadlineMs: number;
  /** Work of the request; a customer's turn comes later the more it took. */
  readonly cost: number;
}

interface CustomerQueue<T> {
  readonly waiting: T[];
  /** Virtual time at which the customer's next request starts. */
  startsAt: number;
}

interface Level<T> {
  readonly customers: Map<string, CustomerQueue<T>>;
  /** Virtual time: start of the request that was taken last. */
  now: number;
}

export class FairQueue<T extends Waiting> {
  readonly #levels = new Map<number, Level<T>>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Requests that wait, those of the highest priority first. */
  *entries(): Generator<T> {
    for (const [, level] of this.#byPriority()) {
      for (const { waiting } of level.customers.values()) yield* waiting;
    }
  }

  add(entry: T): void {
    const level = this.#level(entry.priority);
    const queue = customerQueue(level, entry.customer);
    const later = queue.waiting.findIndex(
      other => other.deadlineMs > entry.deadlineMs,
    );
    const position = later < 0 ? queue.waiting.length : later;
    queue.waiting.splice(position, 0, entry);
    this.#size += 1;
  }

  /** False when the entry does not wait any more. */
  remove(entry: T): boolean {
    const queue = this.#levels.get(entry.priority)?.customers;
    const waiting = queue?.get(entry.customer)?.waiting ?? [];
    const position = waiting.indexOf(entry);
    if (position < 0) return false;
    waiting.splice(position, 1);
    this.#size -= 1;
    return true;
  }

  /** Takes the next request of a customer that may run one more. */
  take(mayRun: (entry: T) => boolean): T | undefined {
    for (const [, level] of this.#byPriority()) {
      const entry = nextOf(level, mayRun);
      if (entry === undefined) continue;
      this.remove(entry);
      charge(level, entry);
      return entry;
    }
    return undefined;
  }

  /** Requests of a customer that wait. */
  waitingOf(customer: string): number {
    let count = 0;
    for (const level of this.#levels.values()) {
      count += level.customers.get(customer)?.waiting.length ?? 0;
    }
    return count;
  }

  /** Requests expected to be taken before a new one of this kind. */
  ahead(entry: Waiting): number {
    let ahead = 0;
    for (const [priority, level] of this.#byPriority()) {
      if (priority < entry.priority) break;
      ahead +=
        priority > entry.priority ? sizeOf(level) : aheadInLevel(level, entry);
    }
    return ahead;
  }

  #byPriority(): [number, Level<T>][] {
    return [...this.#levels].sort(([a], [b]) => b - a);
  }

  #level(priority: number): Level<T> {
    let level = this.#levels.get(priority);
    if (level === undefined) {
      level = { customers: new Map(), now: 0 };
      this.#levels.set(priority, level);
    }
    return level;
  }
}

const customerQueue = <T>(
  level: Level<T>,
  customer: string,
): CustomerQueue<T> => {
  let queue = level.customers.get(customer);
  if (queue === undefined) {
    queue = { waiting: [], startsAt: level.now };
    level.customers.set(customer, queue);
  }
  if (queue.waiting.length === 0) {
    queue.startsAt = Math.max(queue.startsAt, level.now);
  }
  return queue;
};

/** First request of the customer whose turn it is. */
const nextOf = <T>(
  level: Level<T>,
  mayRun: (entry: T) => boolean,
): T | undefined => {
  let next: T | undefined;
  let earliest = Infinity;
  for (const { waiting, startsAt } of level.customers.values()) {
    const first = waiting[0];
    if (first === undefined || startsAt >= earliest) continue;
    if (!mayRun(first)) continue;
    next = first;
    earliest = startsAt;
  }
  return next;
};

/** Moves the customer's next turn back by the work it got. */
const charge = <T extends Waiting>(level: Level<T>, entry: T): void => {
  const queue = customerQueue(level, entry.customer);
  level.now = Math.max(level.now, queue.startsAt);
  queue.startsAt += entry.cost;
  for (const [customer, other] of level.customers) {
    const idle = other.waiting.length === 0 && other.startsAt <= level.now;
    if (idle) level.customers.delete(customer);
  }
};

const sizeOf = (level: Level<unknown>): number => {
  let size = 0;
  for (const { waiting } of level.customers.values()) size += waiting.length;
  return size;
};

/** Customers take turns: none gets more before the entry than its own do. */
const aheadInLevel = (level: Level<Waiting>, entry: Waiting): number => {
  const own = level.customers.get(entry.customer)?.waiting ?? [];
  const before = own.filter(
    other => other !== entry && other.deadlineMs <= entry.deadlineMs,
  ).length;
  let ahead = before;
  for (const [customer, { waiting }] of level.customers) {
    if (customer !== entry.customer) {
      ahead += Math.min(waiting.length, before + 1);
    }
  }
  return ahead;
};
