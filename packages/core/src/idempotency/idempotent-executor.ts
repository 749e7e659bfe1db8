/** Runs what may not be repeated at most once for each key. */
import { randomUUID } from 'node:crypto';

import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import {
  createTimeoutSignal,
  waitForAbort,
  addJitter,
  sleep,
} from '../shared/time.js';
import type { Deadline } from '../shared/time.js';
import type { Table } from '../table/table.js';
import type { ServiceResponse } from '../target/target.js';

import type { IdempotencyRateLimiter } from './idempotency-rate-limiter.js';
import { IdempotencyStore } from './idempotency-store.js';
import type { ClaimResult, OwnedRecord } from './idempotency-store.js';
import { hashBody } from './idempotency-record.js';
import type {
  IdempotencyRecord,
  IdempotencyRecordKey,
  StoredRecord,
} from './idempotency-record.js';
import { validateKey } from './idempotency-key.js';
import {
  createClaimUnavailableFailure,
  getReplayOutcome,
  createStillRunningFailure,
} from './replay-outcome.js';
import { UnstoredResults } from './unstored-results.js';
import type { OperationResponse } from './service-dispatcher.js';

/** What is to be run once. */
export interface IdempotentOperation {
  readonly name: IdempotencyRecordKey;
  readonly body: string;
  readonly deadline: Deadline;
  readonly retentionMs: number;
  readonly claimsPerMinute: number;
}

/** The run itself; `executed: "no"` in a failure releases the claim. */
export type RunOperation = () => Promise<Either<Failure, ServiceResponse>>;

export interface IdempotentExecutorOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
  readonly rateLimiter: IdempotencyRateLimiter;
  readonly instance: string;
  readonly incarnation: string;
  /** True when the platform confirmed that the incarnation never runs again. */
  readonly isGone: (instance: string, incarnation: string) => boolean;
}

type OperationOutcome = Either<Failure, OperationResponse>;

/** An answer waits this long for its record before it goes out anyway. */
const recordWriteTimeoutMs = 500;
/** A waiting repeat gives up this long before its deadline. */
const answerMarginMs = 100;
const initialPollIntervalMs = 100;
const maxPollIntervalMs = 1_000;

export class IdempotentExecutor {
  readonly #options: IdempotentExecutorOptions;
  readonly #store: IdempotencyStore;
  readonly #unstoredResults = new UnstoredResults();
  readonly #stopping = new AbortController();

  constructor(options: IdempotentExecutorOptions) {
    this.#options = options;
    this.#store = new IdempotencyStore(options);
  }

  /** Claims whose result is not stored yet. */
  get unstoredCount(): number {
    return this.#unstoredResults.size;
  }

  /** Runs the entry, or answers from an earlier run of the same key. */
  async execute(
    entry: IdempotentOperation,
    run: RunOperation,
    signal: AbortSignal,
  ): Promise<OperationOutcome> {
    const { name, retentionMs, claimsPerMinute } = entry;
    const refusal =
      validateKey(name.key, retentionMs) ??
      this.#options.rateLimiter.acquire(name.customer, claimsPerMinute);
    if (refusal !== undefined) return Left(refusal);
    return this.#claimAndRun(entry, run, signal, undefined);
  }

  /** Waits until every result is stored; false when `deadline` came first. */
  async waitAndStop(deadline: Deadline): Promise<boolean> {
    while (this.#unstoredResults.size > 0 && !deadline.hasPassed) {
      await sleep(Math.min(initialPollIntervalMs, deadline.remainingMs));
    }
    this.#stopping.abort();
    return this.#unstoredResults.size === 0;
  }

  async #claimAndRun(
    entry: IdempotentOperation,
    run: RunOperation,
    signal: AbortSignal,
    released: StoredRecord | undefined,
  ): Promise<OperationOutcome> {
    const { name, deadline } = entry;
    const claim = this.#createRecord(entry);
    const timed = AbortSignal.any([
      signal,
      createTimeoutSignal(deadline.remainingMs),
    ]);
    this.#unstoredResults.add(claim.token);
    const claiming = this.#store.claimKey(name, claim, released, timed);
    const attempt = await Promise.race([claiming, waitForAbort(timed)]);
    if (attempt === undefined) {
      void claiming.then(late => this.#releaseRecord(late, claim.token));
      return Left(createClaimUnavailableFailure());
    }
    if (attempt.kind === 'claimed') {
      return this.#runOwned(entry, attempt.held, run, signal);
    }
    if (attempt.kind === 'unsettled') {
      void this.#releaseRecord(attempt, claim.token);
      return Left(createClaimUnavailableFailure());
    }
    this.#unstoredResults.delete(claim.token);
    if (attempt.kind === 'unsent') return Left(createClaimUnavailableFailure());
    return this.#answerFromRecord(entry, run, signal, attempt.stored);
  }

  #createRecord(entry: IdempotentOperation): IdempotencyRecord {
    const { instance, incarnation } = this.#options;
    const claimedAtMs = Date.now();
    return {
      state: 'running',
      bodyHash: hashBody(entry.body),
      instance,
      incarnation,
      token: randomUUID(),
      claimedAtMs,
      expiresAtMs: claimedAtMs + entry.retentionMs,
    };
  }

  /** Runs a claim that is durable; the caller's leaving does not stop it. */
  async #runOwned(
    entry: IdempotentOperation,
    held: OwnedRecord,
    run: RunOperation,
    signal: AbortSignal,
  ): Promise<OperationOutcome> {
    const refusal = this.#checkBeforeRun(entry, signal);
    if (refusal !== undefined) {
      void this.#storeResult(held, { state: 'released' });
      return Left(refusal);
    }
    const result = await run();
    const change = result.caseOf<Partial<IdempotencyRecord>>({
      Left: ({ executed }) => ({
        state: executed === 'no' ? 'released' : 'unknown',
      }),
      Right: answer => ({ state: 'done', answer }),
    });
    this.#unstoredResults.setResult(held.stored.claim.token, change);
    const grace = Math.min(recordWriteTimeoutMs, entry.deadline.remainingMs);
    await Promise.race([this.#storeResult(held, change), sleep(grace)]);
    return result.map(answer => ({ ...answer, isReplayed: false }));
  }

  #checkBeforeRun(
    { name, retentionMs, deadline }: IdempotentOperation,
    signal: AbortSignal,
  ): Failure | undefined {
    if (signal.aborted) return new Failure('caller_gone', 'the caller left');
    if (deadline.hasPassed) {
      return new Failure('deadline_exceeded', 'claiming took too long');
    }
    return validateKey(name.key, retentionMs);
  }

  /** Stores what became of a claim, however long the platform takes. */
  async #storeResult(
    held: OwnedRecord,
    change: Partial<IdempotencyRecord>,
  ): Promise<void> {
    const { log } = this.#options;
    const { token } = held.stored.claim;
    const { customer, operation } = held.name;
    const fields = { customer, operation, token };
    if (change.state === 'unknown') log.writeEvent('claim_unknown', fields);
    if (change.state === 'released') log.writeEvent('claim_released', fields);
    const { signal } = this.#stopping;
    const stored = await this.#store.updateRecord(held, change, signal);
    if (!stored) log.writeEvent('result_delayed', fields);
    if (!signal.aborted) this.#unstoredResults.delete(token);
  }

  /** Gives a claim back for which nothing was dispatched. */
  async #releaseRecord(attempt: ClaimResult, token: string): Promise<void> {
    const { signal } = this.#stopping;
    const written =
      attempt.kind === 'claimed' ||
      (attempt.kind === 'unsettled' &&
        (await this.#store.confirmWrite(attempt.held, signal)));
    if (written) return this.#storeResult(attempt.held, { state: 'released' });
    if (!signal.aborted) this.#unstoredResults.delete(token);
  }

  /** Answers from the claim that stands, waiting while it runs. */
  async #answerFromRecord(
    entry: IdempotentOperation,
    run: RunOperation,
    signal: AbortSignal,
    first: StoredRecord,
  ): Promise<OperationOutcome> {
    let stored = first;
    let pollMs = initialPollIntervalMs;
    for (;;) {
      const { claim } = stored;
      if (claim.bodyHash === hashBody(entry.body)) {
        if (claim.state === 'released') {
          return this.#claimAndRun(entry, run, signal, stored);
        }
      }
      const seen = this.#unstoredResults.mergeResult(claim);
      const outcome = getReplayOutcome(seen, entry, this.#isOwnerGone(claim));
      if (outcome !== undefined) return outcome;
      const leftMs = entry.deadline.remainingMs - answerMarginMs;
      if (leftMs <= 0) return Left(createStillRunningFailure());
      const pauseMs = Math.min(leftMs, addJitter(pollMs, this.#options.random));
      if (!(await sleep(pauseMs, signal)))
        return Left(createCallerGoneFailure());
      pollMs = Math.min(maxPollIntervalMs, pollMs * 2);
      stored = (await this.#readBeforeDeadline(entry)) ?? stored;
    }
  }

  /** The claim as it stands, if the table says so before the deadline. */
  async #readBeforeDeadline({
    name,
    deadline,
  }: IdempotentOperation): Promise<StoredRecord | undefined> {
    const late = waitForAbort(
      createTimeoutSignal(deadline.remainingMs - answerMarginMs),
    );
    const read = await Promise.race([this.#store.readRecord(name), late]);
    return read?.toMaybe().extract();
  }

  /** True when no process is left that could settle the running claim. */
  #isOwnerGone({ instance, incarnation }: IdempotencyRecord): boolean {
    return this.#options.isGone(instance, incarnation);
  }
}

const createCallerGoneFailure = (): Failure =>
  new Failure('caller_gone', 'the caller left', { executed: 'unknown' });
