/** Requests of one service that wait for room at its engines. */

/** Interval at which waiting requests are placed again; reports come more rarely. */
const passIntervalMs = 50;

/**
 * Placements that may fail in one pass. Each compares all engines, and requests behind
 * the first few are unlikely to fit where these do not.
 */
const maxFailuresPerPass = 8;

/** What decides on the turn of a waiting request. */
export interface WaitingPriority {
  /** Rank of the request; 0 is the most urgent. */
  readonly rank: number;
  /** Tokens already computed for the request, which would be lost by a refusal. */
  readonly workTokens: number;
}

/** A request that waits for room. */
export interface WaitingRequest extends WaitingPriority {
  /** Tokens that the request takes at an engine. */
  readonly tokens: number;
  /** Monotonic milliseconds until which the request may wait. */
  readonly waitUntilMs: number;
  /** Returns true if the request no longer waits, because it was placed or has failed. */
  readonly tryPlace: () => boolean;
  /** Refuses the request, which would wait for the given time. */
  readonly refuse: (expectedWaitMs: number) => void;
}

/** Use of the engines, from which follows how fast room becomes free. */
export interface RoomTurnover {
  /** Tokens in use at all engines of the service. */
  readonly usedTokens: number;
  /** Mean time for which a request holds its tokens. */
  readonly holdMs: number;
  /** Instances that share the room that becomes free. */
  readonly instanceCount: number;
}

/** Negative if the first request is placed before the second. */
export const compareWaiting = (
  a: WaitingPriority,
  b: WaitingPriority,
): number => a.rank - b.rank || b.workTokens - a.workTokens;

/** Time until this instance's share of the freed room holds the tokens. */
export const estimateWaitMs = (
  tokens: number,
  { usedTokens, holdMs, instanceCount }: RoomTurnover,
): number => (tokens * holdMs * instanceCount) / Math.max(1, usedTokens);

/** Places waiting requests in the order of their priority, not of their arrival. */
export class RoomQueue {
  #waiting: WaitingRequest[] = [];
  #timer: NodeJS.Timeout | undefined;

  get length(): number {
    return this.#waiting.length;
  }

  /**
   * True if a request must wait behind another one. One that needs less room passes
   * those of its own rank, which do not fit where it does.
   */
  hasAhead(
    request: Pick<WaitingRequest, 'rank' | 'workTokens' | 'tokens'>,
  ): boolean {
    return this.#waiting.some(
      other =>
        compareWaiting(other, request) <= 0 &&
        (other.rank < request.rank || other.tokens <= request.tokens),
    );
  }

  /** Adds a request, unless it or others behind it would wait too long. */
  add(request: WaitingRequest, getTurnover: () => RoomTurnover): void {
    const index = this.#waiting.findIndex(
      other => compareWaiting(request, other) < 0,
    );
    this.#waiting.splice(
      index === -1 ? this.#waiting.length : index,
      0,
      request,
    );
    this.#refuseLate(getTurnover());
    this.#schedule(getTurnover);
  }

  remove(request: WaitingRequest): void {
    this.#waiting = this.#waiting.filter(other => other !== request);
  }

  #schedule(getTurnover: () => RoomTurnover, delayMs = passIntervalMs): void {
    if (this.#timer !== undefined || this.#waiting.length === 0) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      const hasPlaced = this.#placeFirst();
      if (!hasPlaced) this.#refuseLate(getTurnover());
      this.#schedule(getTurnover, hasPlaced ? 0 : passIntervalMs);
    }, delayMs);
  }

  /**
   * Places the first request that fits; true if one did. The next one is placed later,
   * once the tokens of this one are held.
   */
  #placeFirst(): boolean {
    for (const request of this.#waiting.slice(0, maxFailuresPerPass)) {
      if (!request.tryPlace()) continue;
      this.remove(request);
      return true;
    }
    return false;
  }

  #refuseLate(turnover: RoomTurnover): void {
    const nowMs = performance.now();
    let tokens = 0;
    for (const request of [...this.#waiting]) {
      const waitMs = estimateWaitMs(tokens + request.tokens, turnover);
      if (nowMs + waitMs <= request.waitUntilMs) {
        tokens += request.tokens;
        continue;
      }
      this.remove(request);
      request.refuse(waitMs);
    }
  }
}
