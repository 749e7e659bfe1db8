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
import { jittered, sleep } from '../shared/time.js';

import { CallBudget } from './call-rate-limiter.js';
import type { CallRates } from './call-rate-limiter.js';
import { ReadCoalescer } from './read-coalescer.js';
import { settle } from './commit-with-retry.js';
import { Table } from './table.js';
import type { Commit, Row, RowKey, ScanOptions, Transaction } from './table.js';

const defaultRates: CallRates = { readsPerSecond: 2_000, writesPerSecond: 400 };
const defaultCallTimeoutMs = 2_000;
const budgetWaitMs = 1_000;
const readAttempts = 3;
const readPauseMs = 100;
const failuresToOpen = 3;
const probeMs = 1_000;

export interface TableClientOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
  /** Live instances of the deployment, this one included. */
  readonly instances: () => number;
  /** Share of the deployment's rates that this client may use, 0 to 1. */
  readonly share?: number;
  readonly rates?: CallRates;
  readonly callTimeoutMs?: number;
}

/** Counts of what was sent to the platform. */
export interface TableCounts {
  readonly reads: number;
  readonly writes: number;
}

interface Call<T> {
  readonly budget: CallBudget;
  readonly units: number;
  /** Code of the failure when no answer comes in time. */
  readonly unanswered: 'platform_unavailable' | 'platform_unknown';
  readonly send: () => Promise<Either<Failure, T>>;
}

const isOutage = (result: unknown) => {
  const answer = result as Either<Failure, unknown>;
  if (answer.isRight()) return false;
  const { code } = answer.extract() as Failure;
  return code === 'platform_unavailable' || code === 'platform_unknown';
};

export class TableClient extends Table {
  readonly #options: TableClientOptions;
  readonly #reads: CallBudget;
  readonly #writes: CallBudget;
  readonly #coalescer = new ReadCoalescer();
  readonly #breaker;
  #sentReads = 0;
  #sentWrites = 0;

  constructor(options: TableClientOptions) {
    super();
    this.#options = options;
    const rates = options.rates ?? defaultRates;
    const share = () => (options.share ?? 1) / Math.max(1, options.instances());
    this.#reads = new CallBudget(() => rates.readsPerSecond * share());
    this.#writes = new CallBudget(() => rates.writesPerSecond * share());
    this.#breaker = circuitBreaker(handleWhenResult(isOutage), {
      halfOpenAfter: new DelegateBackoff(() =>
        jittered(probeMs, options.random, 0.5),
      ),
      breaker: new ConsecutiveBreaker(failuresToOpen),
    });
    this.#watchOutages(options.log);
  }

  /** False from the third failed call in a row until one succeeds. */
  get up(): boolean {
    return this.#breaker.state === CircuitState.Closed;
  }

  get counts(): TableCounts {
    return { reads: this.#sentReads, writes: this.#sentWrites };
  }

  override read(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const id = `read ${JSON.stringify(keys)}`;
    const send = () => {
      this.#sentReads += keys.length;
      return this.#options.table.read(keys);
    };
    return this.#coalescer.run(id, () => this.#readCall(keys.length, send));
  }

  override scan(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    const id = `scan ${JSON.stringify([partition, options])}`;
    const send = () => {
      this.#sentReads += 1;
      return this.#options.table.scan(partition, options);
    };
    return this.#coalescer.run(id, () => this.#readCall(1, send));
  }

  /** Sends the transaction once; see `settle` for a definite end. */
  override commit(transaction: Transaction): Promise<Either<Failure, Commit>> {
    const units = transaction.writes.length;
    return this.#call({
      budget: this.#writes,
      units,
      unanswered: 'platform_unknown',
      send: () => {
        this.#sentWrites += units;
        return this.#options.table.commit(transaction);
      },
    });
  }

  /** Re-sends the transaction until its end is definite. */
  settle(
    transaction: Transaction,
    patienceMs?: number,
  ): Promise<Either<Failure, Commit>> {
    const { random, log } = this.#options;
    return settle({ table: this, transaction, random, log, patienceMs });
  }

  async #readCall<T>(
    units: number,
    send: () => Promise<Either<Failure, T>>,
  ): Promise<Either<Failure, T>> {
    const budget = this.#reads;
    const unanswered = 'platform_unavailable';
    for (let attempt = 1; ; attempt += 1) {
      const answer = await this.#call({ budget, units, unanswered, send });
      if (!isOutage(answer) || attempt === readAttempts || !this.up) {
        return answer;
      }
      await sleep(jittered(readPauseMs * attempt, this.#options.random, 0.5));
    }
  }

  async #call<T>(call: Call<T>): Promise<Either<Failure, T>> {
    if (!(await call.budget.take(call.units, budgetWaitMs))) {
      return Left(
        new Failure('platform_budget', 'the share of table calls is used up', {
          retryAfterMs: call.budget.retryAfterMs,
        }),
      );
    }
    try {
      return await this.#breaker.execute(() => this.#withTimeout(call));
    } catch (error) {
      if (!isBrokenCircuitError(error)) return Left(toFailure(error));
      return Left(
        new Failure('platform_unavailable', 'the platform is down', {
          retryAfterMs: jittered(probeMs, this.#options.random, 0.5),
        }),
      );
    }
  }

  async #withTimeout<T>(call: Call<T>): Promise<Either<Failure, T>> {
    const timeoutMs = this.#options.callTimeoutMs ?? defaultCallTimeoutMs;
    const answered = new AbortController();
    const timeout = sleep(timeoutMs, answered.signal).then(() =>
      Left(
        new Failure(call.unanswered, `no answer within ${timeoutMs} ms`, {
          executed: call.unanswered === 'platform_unknown' ? 'unknown' : 'no',
        }),
      ),
    );
    const answer = await Promise.race([call.send(), timeout]);
    answered.abort();
    return answer;
  }

  #watchOutages(log: Log): void {
    let down = false;
    this.#breaker.onBreak(() => {
      if (!down) log.event('platform_down');
      down = true;
    });
    this.#breaker.onReset(() => {
      down = false;
      this.#reads.drain();
      this.#writes.drain();
      log.event('platform_up');
    });
  }
}
