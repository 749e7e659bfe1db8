/** What a target last said about its limit, in its answers here or at a peer. */

/**
 * Time by which a peer's observation that the limit is over must be newer than the
 * last answer with a limit. The time in which its report travelled is not known.
 */
const peerClearMarginMs = 500;

/** What this instance observed itself; `requestsPerSecond` is undefined at the end. */
export interface LimitObservation {
  readonly requestsPerSecond: number | undefined;
  /** Monotonic milliseconds. */
  readonly atMs: number;
}

/** Newest statement of one target. Times are monotonic milliseconds. */
export class LimitStatement {
  #requestsPerSecond: number | undefined;
  #validFromMs = -Infinity;
  #limitedSinceMs = Infinity;
  #ownObservation: LimitObservation | undefined;

  /** Requests a second from all instances together; undefined without a limit. */
  get requestsPerSecond(): number | undefined {
    return this.#requestsPerSecond;
  }

  /** Time at which the target was known to say so. */
  get validFromMs(): number {
    return this.#validFromMs;
  }

  /** Time from which the target has had a limit, whichever; Infinity without one. */
  get limitedSinceMs(): number {
    return this.#limitedSinceMs;
  }

  /** Last observation in an answer to this instance; undefined if there is none. */
  get ownObservation(): LimitObservation | undefined {
    return this.#ownObservation;
  }

  /** Records an answer that named a limit. Returns whether the limit has changed. */
  recordLimit(requestsPerSecond: number, answeredAtMs: number): boolean {
    this.#ownObservation = { requestsPerSecond, atMs: answeredAtMs };
    return this.recordLimitFromPeer(requestsPerSecond, answeredAtMs);
  }

  /** As `recordLimit`, for an answer that a peer received. */
  recordLimitFromPeer(
    requestsPerSecond: number,
    answeredAtMs: number,
  ): boolean {
    if (answeredAtMs < this.#validFromMs) return false;
    this.#validFromMs = answeredAtMs;
    this.#limitedSinceMs = Math.min(this.#limitedSinceMs, answeredAtMs);
    const hasChanged = requestsPerSecond !== this.#requestsPerSecond;
    this.#requestsPerSecond = requestsPerSecond;
    return hasChanged;
  }

  /**
   * Records an answer without a limit to a request sent at `sentAtMs`. An answer that
   * was on its way when the limit was named does not end it. Returns whether the
   * target had a limit until now.
   */
  recordNoLimit(sentAtMs: number): boolean {
    if (!this.#endLimit(sentAtMs)) return false;
    this.#ownObservation = { requestsPerSecond: undefined, atMs: sentAtMs };
    return true;
  }

  /** As `recordNoLimit`, for an answer that a peer received. */
  recordNoLimitFromPeer(sentAtMs: number): boolean {
    return this.#endLimit(sentAtMs - peerClearMarginMs);
  }

  /** Forgets all, because the target has restarted. */
  clear(): void {
    this.#requestsPerSecond = undefined;
    this.#validFromMs = -Infinity;
    this.#limitedSinceMs = Infinity;
    this.#ownObservation = undefined;
  }

  #endLimit(atMs: number): boolean {
    if (this.#requestsPerSecond === undefined) return false;
    if (atMs <= this.#validFromMs) return false;
    this.#requestsPerSecond = undefined;
    this.#validFromMs = atMs;
    this.#limitedSinceMs = Infinity;
    return true;
  }
}
