/**
 * Table client with rate limits, merged reads, retries and a circuit breaker.
 */
import {
  CircuitState,
  ConsecutiveBreaker,
  DelegateBackoff,
  circuitBreaker,
  handleWhenResult,
  isBrokenCircuitError,
} from 'cockatiel';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure, toFailure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import { CallRateLimiter } from './call-rate-limiter.js';
import type { CallRateLimits } from './call-rate-limiter.js';
import { ReadCoalescer } from './read-coalescer.js';
import { commitWithRetry } from './commit-with-retry.js';
import type { EraTracker } from './era-tracker.js';
import { Table } from './table.js';
import type {
  CommitResult,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
} from './table.js';

const defaultRateLimits: CallRateLimits = {
  readsPerSecond: 2_000,
  writesPerSecond: 400,
};
const defaultCallTimeoutMs = 2_000;
const rateLimiterWaitMs = 1_000;
const maxReadAttempts = 3;
const readRetryDelayMs = 100;
const breakerFailureThreshold = 3;
const breakerHalfOpenAfterMs = 1_000;

export interface TableClientOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
  /** Returns the number of live instances, including this one. */
  readonly countInstances: () => number;
  /** Share of an instance's rates that this client may use, from 0 to 1. */
  readonly rateShare?: number;
  readonly rateLimits?: CallRateLimits;
  readonly callTimeoutMs?: number;
}

/** Numbers of row reads, scans and row writes sent to the platform. */
export interface TableCallCounts {
  readonly reads: number;
  readonly writes: number;
}

interface TableCall<T> {
  readonly rateLimiter: CallRateLimiter;
  readonly units: number;
  /** Result code if no response arrives in time. */
  readonly timeoutCode: 'platform_unavailable' | 'platform_unknown';
  readonly sendCall: () => Promise<Either<Failure, T>>;
}

const isOutage = (value: unknown) => {
  const result = value as Either<Failure, unknown>;
  if (result.isRight()) return false;
  const { code } = result.extract() as Failure;
  return code === 'platform_unavailable' || code === 'platform_unknown';
};

/**
 * Wraps a table. Calls over the rate limit fail with `platform_budget`; while
 * the circuit breaker is open, calls fail with `platform_unavailable`.
 */
export class TableClient extends Table {
  readonly #options: TableClientOptions;
  readonly #readRateLimiter: CallRateLimiter;
  readonly #writeRateLimiter: CallRateLimiter;
  readonly #coalescer = new ReadCoalescer();
  readonly #breaker;
  #sentReadCount = 0;
  #sentWriteCount = 0;

  constructor(options: TableClientOptions) {
    super();
    this.#options = options;
    const rates = options.rateLimits ?? defaultRateLimits;
    const getRateShare = () =>
      (options.rateShare ?? 1) / Math.max(1, options.countInstances());
    this.#readRateLimiter = new CallRateLimiter(
      () => rates.readsPerSecond * getRateShare(),
    );
    this.#writeRateLimiter = new CallRateLimiter(
      () => rates.writesPerSecond * getRateShare(),
    );
    this.#breaker = circuitBreaker(handleWhenResult(isOutage), {
      halfOpenAfter: new DelegateBackoff(() =>
        addJitter(breakerHalfOpenAfterMs, options.random, 0.5),
      ),
      breaker: new ConsecutiveBreaker(breakerFailureThreshold),
    });
    this.#logOutages(options.log);
  }

  override get eras(): EraTracker {
    return this.#options.table.eras;
  }

  /** False from the third consecutive failed call until a call succeeds. */
  get isPlatformUp(): boolean {
    return this.#breaker.state === CircuitState.Closed;
  }

  get callCounts(): TableCallCounts {
    return { reads: this.#sentReadCount, writes: this.#sentWriteCount };
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const id = `read ${JSON.stringify(keys)}`;
    const sendCall = () => {
      this.#sentReadCount += keys.length;
      return this.#options.table.readRows(keys);
    };
    return this.#coalescer.runRead(id, () =>
      this.#sendRead(keys.length, sendCall),
    );
  }

  override scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    const id = `scan ${JSON.stringify([partition, options])}`;
    const sendCall = () => {
      this.#sentReadCount += 1;
      return this.#options.table.scanPartition(partition, options);
    };
    return this.#coalescer.runRead(id, () => this.#sendRead(1, sendCall));
  }

  /** Sends the transaction once; `commitWithRetry` repeats it if necessary. */
  override commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const units = transaction.writes.length;
    return this.#sendWithinLimits({
      rateLimiter: this.#writeRateLimiter,
      units,
      timeoutCode: 'platform_unknown',
      sendCall: () => {
        this.#sentWriteCount += units;
        return this.#options.table.commitTransaction(transaction);
      },
    });
  }

  /**
   * Sends the transaction until its outcome is definite or the time is over.
   */
  commitWithRetry(
    transaction: Transaction,
    retryTimeoutMs?: number,
  ): Promise<Either<Failure, CommitResult>> {
    const { random, log } = this.#options;
    return commitWithRetry({
      table: this,
      transaction,
      random,
      log,
      retryTimeoutMs,
    });
  }

  async #sendRead<T>(
    units: number,
    sendCall: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    const rateLimiter = this.#readRateLimiter;
    const timeoutCode = 'platform_unavailable';
    for (let attempt = 1; ; attempt += 1) {
      const result = await this.#sendWithinLimits({
        rateLimiter,
        units,
        timeoutCode,
        sendCall,
      });
      if (
        !isOutage(result) ||
        attempt === maxReadAttempts ||
        !this.isPlatformUp
      ) {
        return result;
      }
      await sleep(
        addJitter(readRetryDelayMs * attempt, this.#options.random, 0.5),
      );
    }
  }

  async #sendWithinLimits<T>(call: TableCall<T>): Promise<Either<Failure, T>> {
    if (!(await call.rateLimiter.acquire(call.units, rateLimiterWaitMs))) {
      return Left(
        new Failure(
          'platform_budget',
          "this instance's rate limit for table calls is exhausted; retry later",
          {
            retryAfterMs: call.rateLimiter.retryAfterMs,
          },
        ),
      );
    }
    try {
      return await this.#breaker.execute(() => this.#sendWithTimeout(call));
    } catch (error) {
      if (!isBrokenCircuitError(error)) return Left(toFailure(error));
      return Left(
        new Failure(
          'platform_unavailable',
          'the platform is down: the circuit breaker of the table is open; retry later',
          {
            retryAfterMs: addJitter(
              breakerHalfOpenAfterMs,
              this.#options.random,
              0.5,
            ),
          },
        ),
      );
    }
  }

  async #sendWithTimeout<T>(call: TableCall<T>): Promise<Either<Failure, T>> {
    const timeoutMs = this.#options.callTimeoutMs ?? defaultCallTimeoutMs;
    const timeoutController = new AbortController();
    const timeout = sleep(timeoutMs, timeoutController.signal).then(() =>
      Left(
        new Failure(
          call.timeoutCode,
          `the table gave no response within ${timeoutMs} ms`,
          {
            executed:
              call.timeoutCode === 'platform_unknown' ? 'unknown' : 'no',
          },
        ),
      ),
    );
    const result = await Promise.race([call.sendCall(), timeout]);
    timeoutController.abort();
    return result;
  }

  #logOutages(log: Log): void {
    let isDown = false;
    this.#breaker.onBreak(() => {
      if (!isDown) log.writeEvent('platform_down');
      isDown = true;
    });
    this.#breaker.onReset(() => {
      isDown = false;
      this.#readRateLimiter.discardBurst();
      this.#writeRateLimiter.discardBurst();
      log.writeEvent('platform_up');
    });
  }
}
