/** Log lines about connections that were closed because of a limit. */
import type { Log } from '../shared/log.js';

import type { ConnectionLimit } from './connection-guard.js';

/** Closed connections come by the thousand; a line tells of those since the last one. */
const minIntervalMs = 1_000;

/** Writes event `connection_limit` for each limit of a listener, once a second at most. */
export class LimitLog {
  readonly #closedCounts = new Map<ConnectionLimit, number>();

  constructor(
    private readonly log: Log,
    private readonly listener: string,
  ) {}

  /** Records a closed connection. */
  record(limit: ConnectionLimit): void {
    const count = this.#closedCounts.get(limit);
    if (count !== undefined) {
      this.#closedCounts.set(limit, count + 1);
      return;
    }
    this.#write(limit, 1);
    this.#closedCounts.set(limit, 0);
    setTimeout(() => {
      this.#endInterval(limit);
    }, minIntervalMs).unref();
  }

  #endInterval(limit: ConnectionLimit): void {
    const count = this.#closedCounts.get(limit) ?? 0;
    this.#closedCounts.delete(limit);
    if (count > 0) this.#write(limit, count);
  }

  #write(limit: ConnectionLimit, closed: number): void {
    const { listener } = this;
    this.log.writeEvent('connection_limit', { listener, limit, closed });
  }
}
