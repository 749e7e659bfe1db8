/** Runs non-idempotent operations at most once for each idempotency key. */
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
import { RestoredClaims } from './restored-claims.js';
import { UnstoredResults } from './unstored-results.js';
import type { OperationResponse } from './service-dispatcher.js';

/** An operation that must run at most once. */
export interface IdempotentOperation {
  readonly name: IdempotencyRecordKey;
  readonly body: string;
  readonly deadline: Deadline;
  /** Time after the claim during which the answer can be replayed. */
  readonly retentionMs: number;
  readonly claimsPerMinute: number;
}

/** Runs the operation; a failure with `executed: "no"` releases the claim. */
export type RunOperation = () => Promise<Either<Failure, ServiceResponse>>;

export interface IdempotentExecutorOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
  readonly rateLimiter: IdempotencyRateLimiter;
  readonly instance: string;
  readonly incarnation: string;
  /** Returns whether the platform reports that the incarnation has ended. */
  readonly isGone: (instance: string, incarnation: string) => boolean;
}

type OperationOutcome = Either<Failure, OperationResponse>;

/**
 * Milliseconds that an answer waits for its record to be written before it is
 * returned anyway.
 */
const recordWriteTimeoutMs = 500;
/** Milliseconds before its deadline at which a waiting retry is answered. */
const answerMarginMs = 100;
const initialPollIntervalMs = 100;
const maxPollIntervalMs = 1_000;

/** Claims a key in the table before it runs the operation. */
export class IdempotentExecutor {
  readonly #options: IdempotentExecutorOptions;
  readonly #store: IdempotencyStore;
  readonly #restoredClaims: RestoredClaims;
  readonly #unstoredResults = new UnstoredResults();
  readonly #stopController = new AbortController();

  constructor(options: IdempotentExecutorOptions) {
    this.#options = options;
    this.#store = new IdempotencyStore(options);
    this.#restoredClaims = new RestoredClaims({
      ...options,
      store: this.#store,
      eras: options.table.eras,
      signal: this.#stopController.signal,
    });
  }

  /** Number of claims whose result is not stored yet. */
  get unstoredCount(): number {
    return this.#unstoredResults.size;
  }

  /** Runs the operation, or answers from an earlier run with the same key. */
  async execute(
    operation: IdempotentOperation,
    run: RunOperation,
    signal: AbortSignal,
  ): Promise<OperationOutcome> {
    const { name, retentionMs, claimsPerMinute } = operation;
    const rejection =
      validateKey(name.key, retentionMs) ??
      this.#options.rateLimiter.acquire(name.customer, claimsPerMinute);
    if (rejection !== undefined) return Left(rejection);
    const { remainingSettlingMs } = this.#restoredClaims;
    if (remainingSettlingMs > 0)
      return Left(createClaimUnavailableFailure(remainingSettlingMs));
    return this.#claimAndRun(operation, run, signal, undefined);
  }

  /**
   * Waits until every result is stored or the deadline has passed, then stops.
   * Returns false when results remain unstored.
   */
  async waitAndStop(deadline: Deadline): Promise<boolean> {
    while (this.#unstoredResults.size > 0 && !deadline.hasPassed) {
      await sleep(Math.min(initialPollIntervalMs, deadline.remainingMs));
    }
    this.#stopController.abort();
    return this.#unstoredResults.size === 0;
  }

  /** Claims the key, over a released claim if given, and runs or answers. */
  async #claimAndRun(
    operation: IdempotentOperation,
    run: RunOperation,
    signal: AbortSignal,
    releasedRecord: StoredRecord | undefined,
  ): Promise<OperationOutcome> {
    const { name, deadline } = operation;
    const claim = this.#createRecord(operation);
    const callSignal = AbortSignal.any([
      signal,
      createTimeoutSignal(deadline.remainingMs),
    ]);
    this.#unstoredResults.add(claim.token);
    const pendingClaim = this.#store.claimKey(
      name,
      claim,
      releasedRecord,
      callSignal,
    );
    const claimResult = await Promise.race([
      pendingClaim,
      waitForAbort(callSignal),
    ]);
    if (claimResult === undefined) {
      void pendingClaim.then(lateResult =>
        this.#releaseRecord(lateResult, claim.token),
      );
      return Left(createClaimUnavailableFailure());
    }
    if (claimResult.kind === 'claimed') {
      return this.#runOwned(operation, claimResult.held, run, signal);
    }
    if (claimResult.kind === 'unsettled') {
      void this.#releaseRecord(claimResult, claim.token);
      return Left(createClaimUnavailableFailure());
    }
    this.#unstoredResults.delete(claim.token);
    if (claimResult.kind === 'unsent')
      return Left(createClaimUnavailableFailure());
    return this.#answerFromRecord(operation, run, signal, claimResult.stored);
  }

  #createRecord(operation: IdempotentOperation): IdempotencyRecord {
    const { instance, incarnation } = this.#options;
    const claimedAtMs = Date.now();
    return {
      state: 'running',
      bodyHash: hashBody(operation.body),
      instance,
      incarnation,
      token: randomUUID(),
      claimedAtMs,
      expiresAtMs: claimedAtMs + operation.retentionMs,
    };
  }

  /**
   * Runs an operation whose claim is stored. The run continues when the caller
   * disconnects.
   */
  async #runOwned(
    operation: IdempotentOperation,
    ownedRecord: OwnedRecord,
    run: RunOperation,
    signal: AbortSignal,
  ): Promise<OperationOutcome> {
    const rejection =
      this.#checkBeforeRun(operation, signal) ??
      this.#checkClaimEra(ownedRecord);
    if (rejection !== undefined) {
      void this.#storeResult(ownedRecord, { state: 'released' });
      return Left(rejection);
    }
    const { name, stored } = ownedRecord;
    this.#restoredClaims.remember(name, stored.record);
    const result = await run();
    const change = result.caseOf<Partial<IdempotencyRecord>>({
      Left: ({ executed }) => ({
        state: executed === 'no' ? 'released' : 'unknown',
      }),
      Right: answer => ({ state: 'done', answer }),
    });
    this.#unstoredResults.setResult(ownedRecord.stored.record.token, change);
    const recordTimeoutMs = Math.min(
      recordWriteTimeoutMs,
      operation.deadline.remainingMs,
    );
    await Promise.race([
      this.#storeResult(ownedRecord, change),
      sleep(recordTimeoutMs),
    ]);
    return result.map(answer => ({ ...answer, isReplayed: false }));
  }

  /** Fails if the table was restored since the claim and may have lost it. */
  #checkClaimEra({ stored }: OwnedRecord): Failure | undefined {
    const { currentEra } = this.#options.table.eras;
    return stored.version.era === currentEra
      ? undefined
      : createClaimUnavailableFailure(this.#restoredClaims.remainingSettlingMs);
  }

  #checkBeforeRun(
    { name, retentionMs, deadline }: IdempotentOperation,
    signal: AbortSignal,
  ): Failure | undefined {
    if (signal.aborted)
      return new Failure('caller_gone', 'the caller closed the connection');
    if (deadline.hasPassed) {
      return new Failure(
        'deadline_exceeded',
        'the deadline passed before the key was claimed',
      );
    }
    return validateKey(name.key, retentionMs);
  }

  /** Stores the result of a claim, retrying until `waitAndStop` stops it. */
  async #storeResult(
    ownedRecord: OwnedRecord,
    change: Partial<IdempotencyRecord>,
  ): Promise<void> {
    const { log } = this.#options;
    const { record } = ownedRecord.stored;
    const { token } = record;
    if (change.state === 'released') this.#restoredClaims.forget(token);
    else
      this.#restoredClaims.remember(ownedRecord.name, { ...record, ...change });
    const { customer, operation } = ownedRecord.name;
    const fields = { customer, operation, token };
    if (change.state === 'unknown') log.writeEvent('claim_unknown', fields);
    if (change.state === 'released') log.writeEvent('claim_released', fields);
    const { signal } = this.#stopController;
    const isStored = await this.#store.updateRecord(
      ownedRecord,
      change,
      signal,
    );
    if (!isStored) {
      log.writeEvent('result_delayed', fields);
      // After a restore the row has another version, or none.
      const { era } = ownedRecord.stored.version;
      if (era !== this.#options.table.eras.currentEra)
        await this.#restoredClaims.writeAgain(token);
    }
    if (!signal.aborted) this.#unstoredResults.delete(token);
  }

  /** Releases a claim for which nothing was dispatched. */
  async #releaseRecord(claimResult: ClaimResult, token: string): Promise<void> {
    const { signal } = this.#stopController;
    const isWritten =
      claimResult.kind === 'claimed' ||
      (claimResult.kind === 'unsettled' &&
        (await this.#store.confirmWrite(claimResult.held, signal)));
    if (isWritten)
      return this.#storeResult(claimResult.held, { state: 'released' });
    if (!signal.aborted) this.#unstoredResults.delete(token);
  }

  /**
   * Answers a request from the existing record of its key; waits while the
   * operation of that record runs.
   */
  async #answerFromRecord(
    operation: IdempotentOperation,
    run: RunOperation,
    signal: AbortSignal,
    initialRecord: StoredRecord,
  ): Promise<OperationOutcome> {
    let storedRecord = initialRecord;
    let pollMs = initialPollIntervalMs;
    for (;;) {
      const { record: claim } = storedRecord;
      if (claim.bodyHash === hashBody(operation.body)) {
        if (claim.state === 'released') {
          return this.#claimAndRun(operation, run, signal, storedRecord);
        }
      }
      const latestClaim = this.#unstoredResults.mergeResult(claim);
      const outcome = getReplayOutcome(
        latestClaim,
        operation,
        this.#isOwnerGone(claim),
      );
      if (outcome !== undefined) return outcome;
      const remainingMs = operation.deadline.remainingMs - answerMarginMs;
      if (remainingMs <= 0) return Left(createStillRunningFailure());
      const pauseMs = Math.min(
        remainingMs,
        addJitter(pollMs, this.#options.random),
      );
      if (!(await sleep(pauseMs, signal)))
        return Left(createCallerGoneFailure());
      pollMs = Math.min(maxPollIntervalMs, pollMs * 2);
      storedRecord =
        (await this.#readBeforeDeadline(operation)) ?? storedRecord;
    }
  }

  /** Reads the claim; `undefined` when the read fails or takes too long. */
  async #readBeforeDeadline({
    name,
    deadline,
  }: IdempotentOperation): Promise<StoredRecord | undefined> {
    const timeout = waitForAbort(
      createTimeoutSignal(deadline.remainingMs - answerMarginMs),
    );
    const readResult = await Promise.race([
      this.#store.readRecord(name),
      timeout,
    ]);
    return readResult?.toMaybe().extract();
  }

  /** True when the platform reports that the claiming process has ended. */
  #isOwnerGone({ instance, incarnation }: IdempotencyRecord): boolean {
    return this.#options.isGone(instance, incarnation);
  }
}

const createCallerGoneFailure = (): Failure =>
  new Failure('caller_gone', 'the caller closed the connection', {
    executed: 'unknown',
  });
