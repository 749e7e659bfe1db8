/** A table that keeps to a budget, joins equal reads and notices outages. */
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
  /** Live instances of the deployment, this one included. */
  readonly countInstances: () => number;
  /** Share of the deployment's rates that this client may use, 0 to 1. */
  readonly rateShare?: number;
  readonly rateLimits?: CallRateLimits;
  readonly callTimeoutMs?: number;
}

/** Counts of what was sent to the platform. */
export interface TableCallCounts {
  readonly reads: number;
  readonly writes: number;
}

interface TableCall<T> {
  readonly rateLimiter: CallRateLimiter;
  readonly units: number;
  /** Code of the failure when no answer comes in time. */
  readonly timeoutCode: 'platform_unavailable' | 'platform_unknown';
  readonly sendCall: () => Promise<Either<Failure, T>>;
}

const isOutage = (result: unknown) => {
  const answer = result as Either<Failure, unknown>;
  if (answer.isRight()) return false;
  const { code } = answer.extract() as Failure;
  return code === 'platform_unavailable' || code === 'platform_unknown';
};

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
    const share = () =>
      (options.rateShare ?? 1) / Math.max(1, options.countInstances());
    this.#readRateLimiter = new CallRateLimiter(
      () => rates.readsPerSecond * share(),
    );
    this.#writeRateLimiter = new CallRateLimiter(
      () => rates.writesPerSecond * share(),
    );
    this.#breaker = circuitBreaker(handleWhenResult(isOutage), {
      halfOpenAfter: new DelegateBackoff(() =>
        addJitter(breakerHalfOpenAfterMs, options.random, 0.5),
      ),
      breaker: new ConsecutiveBreaker(breakerFailureThreshold),
    });
    this.#logOutages(options.log);
  }

  /** False from the third failed call in a row until one succeeds. */
  get isUp(): boolean {
    return this.#breaker.state === CircuitState.Closed;
  }

  get callCounts(): TableCallCounts {
    return { reads: this.#sentReadCount, writes: this.#sentWriteCount };
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const id = `read ${JSON.stringify(keys)}`;
    const send = () => {
      this.#sentReadCount += keys.length;
      return this.#options.table.readRows(keys);
    };
    return this.#coalescer.runRead(id, () => this.#sendRead(keys.length, send));
  }

  override scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    const id = `scan ${JSON.stringify([partition, options])}`;
    const send = () => {
      this.#sentReadCount += 1;
      return this.#options.table.scanPartition(partition, options);
    };
    return this.#coalescer.runRead(id, () => this.#sendRead(1, send));
  }

  /** Sends the transaction once; see `settle` for a definite end. */
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

  /** Re-sends the transaction until its end is definite. */
  commitWithRetry(
    transaction: Transaction,
    patienceMs?: number,
  ): Promise<Either<Failure, CommitResult>> {
    const { random, log } = this.#options;
    return commitWithRetry({
      table: this,
      transaction,
      random,
      log,
      retryTimeoutMs: patienceMs,
    });
  }

  async #sendRead<T>(
    units: number,
    send: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    const budget = this.#readRateLimiter;
    const unanswered = 'platform_unavailable';
    for (let attempt = 1; ; attempt += 1) {
      const answer = await this.#sendWithinLimits({
        rateLimiter: budget,
        units,
        timeoutCode: unanswered,
        sendCall: send,
      });
      if (!isOutage(answer) || attempt === maxReadAttempts || !this.isUp) {
        return answer;
      }
      await sleep(
        addJitter(readRetryDelayMs * attempt, this.#options.random, 0.5),
      );
    }
  }

  async #sendWithinLimits<T>(call: TableCall<T>): Promise<Either<Failure, T>> {
    if (!(await call.rateLimiter.acquire(call.units, rateLimiterWaitMs))) {
      return Left(
        new Failure('platform_budget', 'the share of table calls is used up', {
          retryAfterMs: call.rateLimiter.retryAfterMs,
        }),
      );
    }
    try {
      return await this.#breaker.execute(() => this.#sendWithTimeout(call));
    } catch (error) {
      if (!isBrokenCircuitError(error)) return Left(toFailure(error));
      return Left(
        new Failure('platform_unavailable', 'the platform is down', {
          retryAfterMs: addJitter(
            breakerHalfOpenAfterMs,
            this.#options.random,
            0.5,
          ),
        }),
      );
    }
  }

  async #sendWithTimeout<T>(call: TableCall<T>): Promise<Either<Failure, T>> {
    const timeoutMs = this.#options.callTimeoutMs ?? defaultCallTimeoutMs;
    const answered = new AbortController();
    const timeout = sleep(timeoutMs, answered.signal).then(() =>
      Left(
        new Failure(call.timeoutCode, `no answer within ${timeoutMs} ms`, {
          executed: call.timeoutCode === 'platform_unknown' ? 'unknown' : 'no',
        }),
      ),
    );
    const answer = await Promise.race([call.sendCall(), timeout]);
    answered.abort();
    return answer;
  }

  #logOutages(log: Log): void {
    let down = false;
    this.#breaker.onBreak(() => {
      if (!down) log.writeEvent('platform_down');
      down = true;
    });
    this.#breaker.onReset(() => {
      down = false;
      this.#readRateLimiter.discardBurst();
      this.#writeRateLimiter.discardBurst();
      log.writeEvent('platform_up');
    });
  }
}
