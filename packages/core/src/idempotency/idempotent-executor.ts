/** Runs what may not be repeated at most once for each key. */
import { randomUUID } from 'node:crypto';

import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { abortAfter, aborted, jittered, sleep } from '../shared/time.js';
import type { Deadline } from '../shared/time.js';
import type { Table } from '../table/table.js';
import type { ServiceAnswer } from '../target/target.js';

import type { ClaimBudget } from './idempotency-rate-limiter.js';
import { ClaimStore } from './idempotency-store.js';
import type { ClaimAttempt, HeldClaim } from './idempotency-store.js';
import { bodyHashOf } from './idempotency-record.js';
import type { Claim, ClaimName, StoredClaim } from './idempotency-record.js';
import { checkKey } from './idempotency-key.js';
import {
  claimUnavailable,
  repeatOutcome,
  stillRunning,
} from './replay-outcome.js';
import { RunningClaims } from './unstored-results.js';
import type { OperationAnswer } from './service-dispatcher.js';

/** What is to be run once. */
export interface LedgerEntry {
  readonly name: ClaimName;
  readonly body: string;
  readonly deadline: Deadline;
  readonly retentionMs: number;
  readonly claimsPerMinute: number;
}

/** The run itself; `executed: "no"` in a failure releases the claim. */
export type LedgerRun = () => Promise<Either<Failure, ServiceAnswer>>;

export interface LedgerOptions {
  readonly table: Table;
  readonly log: Log;
  readonly random: () => number;
  readonly budget: ClaimBudget;
  readonly instance: string;
  readonly incarnation: string;
  /** True when the platform confirmed that the incarnation never runs again. */
  readonly isGone: (instance: string, incarnation: string) => boolean;
}

type Outcome = Either<Failure, OperationAnswer>;

/** An answer waits this long for its record before it goes out anyway. */
const recordGraceMs = 500;
/** A waiting repeat gives up this long before its deadline. */
const answerMarginMs = 100;
const firstPollMs = 100;
const maxPollMs = 1_000;

export class Ledger {
  readonly #options: LedgerOptions;
  readonly #store: ClaimStore;
  readonly #running = new RunningClaims();
  readonly #stopping = new AbortController();

  constructor(options: LedgerOptions) {
    this.#options = options;
    this.#store = new ClaimStore(options);
  }

  /** Claims whose result is not stored yet. */
  get unsettled(): number {
    return this.#running.size;
  }

  /** Runs the entry, or answers from an earlier run of the same key. */
  async execute(
    entry: LedgerEntry,
    run: LedgerRun,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const { name, retentionMs, claimsPerMinute } = entry;
    const refusal =
      checkKey(name.key, retentionMs) ??
      this.#options.budget.take(name.customer, claimsPerMinute);
    if (refusal !== undefined) return Left(refusal);
    return this.#claimAndRun(entry, run, signal, undefined);
  }

  /** Waits until every result is stored; false when `deadline` came first. */
  async stop(deadline: Deadline): Promise<boolean> {
    while (this.#running.size > 0 && !deadline.passed) {
      await sleep(Math.min(firstPollMs, deadline.leftMs));
    }
    this.#stopping.abort();
    return this.#running.size === 0;
  }

  async #claimAndRun(
    entry: LedgerEntry,
    run: LedgerRun,
    signal: AbortSignal,
    released: StoredClaim | undefined,
  ): Promise<Outcome> {
    const { name, deadline } = entry;
    const claim = this.#newClaim(entry);
    const timed = AbortSignal.any([signal, abortAfter(deadline.leftMs)]);
    this.#running.add(claim.token);
    const claiming = this.#store.claim(name, claim, released, timed);
    const attempt = await Promise.race([claiming, aborted(timed)]);
    if (attempt === undefined) {
      void claiming.then(late => this.#giveBack(late, claim.token));
      return Left(claimUnavailable());
    }
    if (attempt.kind === 'claimed') {
      return this.#runClaimed(entry, attempt.held, run, signal);
    }
    if (attempt.kind === 'unsettled') {
      void this.#giveBack(attempt, claim.token);
      return Left(claimUnavailable());
    }
    this.#running.delete(claim.token);
    if (attempt.kind === 'unsent') return Left(claimUnavailable());
    return this.#repeat(entry, run, signal, attempt.stored);
  }

  #newClaim(entry: LedgerEntry): Claim {
    const { instance, incarnation } = this.#options;
    const claimedAtMs = Date.now();
    return {
      state: 'running',
      bodyHash: bodyHashOf(entry.body),
      instance,
      incarnation,
      token: randomUUID(),
      claimedAtMs,
      expiresAtMs: claimedAtMs + entry.retentionMs,
    };
  }

  /** Runs a claim that is durable; the caller's leaving does not stop it. */
  async #runClaimed(
    entry: LedgerEntry,
    held: HeldClaim,
    run: LedgerRun,
    signal: AbortSignal,
  ): Promise<Outcome> {
    const refusal = this.#refusalBeforeRun(entry, signal);
    if (refusal !== undefined) {
      void this.#record(held, { state: 'released' });
      return Left(refusal);
    }
    const result = await run();
    const change = result.caseOf<Partial<Claim>>({
      Left: ({ executed }) => ({
        state: executed === 'no' ? 'released' : 'unknown',
      }),
      Right: answer => ({ state: 'done', answer }),
    });
    this.#running.keep(held.stored.claim.token, change);
    const grace = Math.min(recordGraceMs, entry.deadline.leftMs);
    await Promise.race([this.#record(held, change), sleep(grace)]);
    return result.map(answer => ({ ...answer, repeated: false }));
  }

  #refusalBeforeRun(
    { name, retentionMs, deadline }: LedgerEntry,
    signal: AbortSignal,
  ): Failure | undefined {
    if (signal.aborted) return new Failure('caller_gone', 'the caller left');
    if (deadline.passed) {
      return new Failure('deadline_exceeded', 'claiming took too long');
    }
    return checkKey(name.key, retentionMs);
  }

  /** Stores what became of a claim, however long the platform takes. */
  async #record(held: HeldClaim, change: Partial<Claim>): Promise<void> {
    const { log } = this.#options;
    const { token } = held.stored.claim;
    const { customer, operation } = held.name;
    const fields = { customer, operation, token };
    if (change.state === 'unknown') log.event('claim_unknown', fields);
    if (change.state === 'released') log.event('claim_released', fields);
    const { signal } = this.#stopping;
    const stored = await this.#store.settle(held, change, signal);
    if (!stored) log.event('result_delayed', fields);
    if (!signal.aborted) this.#running.delete(token);
  }

  /** Gives a claim back for which nothing was dispatched. */
  async #giveBack(attempt: ClaimAttempt, token: string): Promise<void> {
    const { signal } = this.#stopping;
    const written =
      attempt.kind === 'claimed' ||
      (attempt.kind === 'unsettled' &&
        (await this.#store.confirm(attempt.held, signal)));
    if (written) return this.#record(attempt.held, { state: 'released' });
    if (!signal.aborted) this.#running.delete(token);
  }

  /** Answers from the claim that stands, waiting while it runs. */
  async #repeat(
    entry: LedgerEntry,
    run: LedgerRun,
    signal: AbortSignal,
    first: StoredClaim,
  ): Promise<Outcome> {
    let stored = first;
    let pollMs = firstPollMs;
    for (;;) {
      const { claim } = stored;
      if (claim.bodyHash === bodyHashOf(entry.body)) {
        if (claim.state === 'released') {
          return this.#claimAndRun(entry, run, signal, stored);
        }
      }
      const seen = this.#running.withOutcome(claim);
      const outcome = repeatOutcome(seen, entry, this.#isLost(claim));
      if (outcome !== undefined) return outcome;
      const leftMs = entry.deadline.leftMs - answerMarginMs;
      if (leftMs <= 0) return Left(stillRunning());
      const pauseMs = Math.min(leftMs, jittered(pollMs, this.#options.random));
      if (!(await sleep(pauseMs, signal))) return Left(callerLeft());
      pollMs = Math.min(maxPollMs, pollMs * 2);
      stored = (await this.#readInTime(entry)) ?? stored;
    }
  }

  /** The claim as it stands, if the table says so before the deadline. */
  async #readInTime({
    name,
    deadline,
  }: LedgerEntry): Promise<StoredClaim | undefined> {
    const late = aborted(abortAfter(deadline.leftMs - answerMarginMs));
    const read = await Promise.race([this.#store.read(name), late]);
    return read?.toMaybe().extract();
  }

  /** True when no process is left that could settle the running claim. */
  #isLost({ instance, incarnation }: Claim): boolean {
    return this.#options.isGone(instance, incarnation);
  }
}

const callerLeft = (): Failure =>
  new Failure('caller_gone', 'the caller left', { executed: 'unknown' });
