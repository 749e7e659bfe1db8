/**
 * Stores suspects, their crashes, and the slots for isolated runs in the table.
 */
import { randomUUID } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import {
  commitWithRetry,
  getCommitOutcome,
} from '../table/commit-with-retry.js';
import type { CommitOutcome } from '../table/commit-with-retry.js';
import { createUnchangedCondition } from '../table/table.js';
import type { Row, RowKey, Table, Write } from '../table/table.js';

import {
  createSlotKey,
  isolationSlotSchema,
  createSuspectKey,
  suspectPartition,
  suspectSortPrefix,
  suspectSchema,
  addCrash,
} from './suspect.js';
import type {
  CrashSite,
  IsolationSlot,
  Suspect,
  SuspectRun,
} from './suspect.js';

export interface SuspectStoreOptions {
  readonly table: Table;
  readonly random: () => number;
  readonly instance: string;
  readonly incarnation: string;
  /**
   * Maximum number of isolated runs at the same time in the whole deployment.
   */
  readonly maxIsolatedRuns: number;
}

/** Isolated run of a suspect that this instance started. */
export interface IsolatedRun {
  readonly suspect: Suspect;
  readonly token: string;
  /** Index of the isolation slot that the run holds. */
  readonly slotIndex: number;
}

/** Result of an attempt to start an isolated run. */
export type IsolationOutcome =
  | { readonly kind: 'begun'; readonly run: IsolatedRun }
  /** The suspect was cleared or is poison, as its state shows. */
  | { readonly kind: 'settled'; readonly suspect: Suspect }
  /**
   * The suspect already runs, all isolation slots are in use, or another
   * instance changed the rows at the same time.
   */
  | { readonly kind: 'busy'; readonly suspect: Suspect }
  /**
   * The table did not answer, or it is unknown whether the run was recorded.
   */
  | { readonly kind: 'unavailable' };

/** Instance and incarnation that hold a run or an isolation slot. */
export type RunHolder = Pick<IsolationSlot, 'instance' | 'incarnation'>;

/** Returns the changed suspect, or `undefined` to leave the row unchanged. */
type SuspectUpdate = (suspect: Suspect | undefined) => Suspect | undefined;

/**
 * Milliseconds after which an isolation slot that was not released becomes
 * free.
 */
const slotLeaseMs = 60_000;

const parseSuspect = (row: Row | undefined): Suspect | undefined =>
  row === undefined ? undefined : suspectSchema.parse(row.value);

const createPut = (
  key: RowKey,
  row: Row | undefined,
  value: unknown,
): Write => ({
  kind: 'put',
  key,
  condition: createUnchangedCondition(row?.version),
  value,
});

/** Reads and writes the suspects in the table. */
export class SuspectStore {
  constructor(readonly options: SuspectStoreOptions) {}

  /** Lists all suspects in the table. */
  async listSuspects(): Promise<Either<Failure, readonly Suspect[]>> {
    const options = { prefix: suspectSortPrefix };
    const rows = await this.options.table.scanPartition(
      suspectPartition,
      options,
    );
    return rows.map(suspectRows =>
      suspectRows.map(row => suspectSchema.parse(row.value)),
    );
  }

  /**
   * Adds a crash to the suspect, and ends its run if this instance started it.
   */
  recordCrash(
    fingerprint: string,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    return this.#updateSuspect(fingerprint, signal, current => {
      const updated = addCrash(fingerprint, current, site);
      if (updated === current) return undefined;
      const isOwnRun = this.#isOwnRun(updated.run);
      return isOwnRun ? { ...updated, run: undefined } : updated;
    });
  }

  /** Records the target of the run, before the request is sent to it. */
  recordSite(
    { suspect, token }: IsolatedRun,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    return this.#updateSuspect(suspect.fingerprint, signal, current => {
      if (current?.run?.token !== token) return undefined;
      return { ...current, run: { ...current.run, site } };
    });
  }

  /**
   * Ends a run that did not crash its target. The suspect is cleared if
   * `answered` is true.
   */
  async endRun(
    run: IsolatedRun,
    answered: boolean,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    const { suspect, token } = run;
    const result = await this.#updateSuspect(
      suspect.fingerprint,
      signal,
      current => {
        if (current?.run?.token !== token) return undefined;
        const state = answered ? 'cleared' : current.state;
        return { ...current, state, run: undefined };
      },
    );
    await this.releaseSlot(run);
    return result;
  }

  /** Releases an isolation slot before its lease expires. */
  async releaseSlot({ slotIndex, token }: IsolatedRun): Promise<void> {
    const { table } = this.options;
    const row = (await table.readRows([createSlotKey(slotIndex)])).orDefault(
      [],
    )[0];
    if (row === undefined) return;
    if (isolationSlotSchema.parse(row.value).token !== token) return;
    const { instance, incarnation } = this.options;
    const freeSlot: IsolationSlot = {
      instance,
      incarnation,
      token,
      untilMs: 0,
    };
    const writes = [createPut(createSlotKey(slotIndex), row, freeSlot)];
    await table.commitTransaction({ token: randomUUID(), writes });
  }

  /**
   * Starts an isolated run: writes the suspect and a free isolation slot in one
   * transaction. The run or slot of another holder is replaced only if the
   * holder is gone or the lease of the slot has expired.
   */
  async beginRun(
    localSuspect: Suspect,
    isGone: (holder: RunHolder) => boolean,
    signal: AbortSignal,
  ): Promise<IsolationOutcome> {
    const { table, maxIsolatedRuns, instance, incarnation } = this.options;
    const key = createSuspectKey(localSuspect.fingerprint);
    const slotKeys = Array.from({ length: maxIsolatedRuns }, (_, i) =>
      createSlotKey(i),
    );
    const read = await table.readRows([key, ...slotKeys]);
    const rows = read.extract();
    if (rows instanceof Failure) return { kind: 'unavailable' };
    const [row, ...slotRows] = rows;
    const suspect = mergeCrashes(parseSuspect(row), localSuspect);
    if (suspect.state !== 'suspect') return { kind: 'settled', suspect };
    if (suspect.run !== undefined && !isGone(suspect.run)) {
      return { kind: 'busy', suspect };
    }
    const slotIndex = slotRows.findIndex(slotRow =>
      isSlotFree(slotRow, isGone),
    );
    if (slotIndex < 0) return { kind: 'busy', suspect };
    const token = randomUUID();
    const run = { instance, incarnation, token, site: suspect.run?.site };
    const untilMs = Date.now() + slotLeaseMs;
    const heldSlot: IsolationSlot = { instance, incarnation, token, untilMs };
    const runningSuspect = { ...suspect, run };
    const writes = [
      createPut(key, row, runningSuspect),
      createPut(createSlotKey(slotIndex), slotRows[slotIndex], heldSlot),
    ];
    const outcome = await this.#commitWrites(token, writes, signal);
    if (outcome === 'conflict') return { kind: 'busy', suspect };
    if (outcome === 'unsent') return { kind: 'unavailable' };
    const isolatedRun = { suspect: runningSuspect, token, slotIndex };
    if (outcome === 'committed') return { kind: 'begun', run: isolatedRun };
    void this.endRun(isolatedRun, false, new AbortController().signal);
    return { kind: 'unavailable' };
  }

  /**
   * Reads, changes and writes the suspect, and repeats this until no other
   * writer has changed the row in between.
   */
  async #updateSuspect(
    fingerprint: string,
    signal: AbortSignal,
    updateSuspect: SuspectUpdate,
  ): Promise<Either<Failure, Suspect>> {
    const { table } = this.options;
    const key = createSuspectKey(fingerprint);
    for (;;) {
      const read = await table.readRows([key]);
      const rows = read.extract();
      if (rows instanceof Failure) return Left(rows);
      const current = parseSuspect(rows[0]);
      const updatedSuspect = updateSuspect(current);
      if (updatedSuspect === undefined)
        return Right(current ?? createClearedSuspect(fingerprint));
      const writes = [createPut(key, rows[0], updatedSuspect)];
      const outcome = await this.#commitWrites(randomUUID(), writes, signal);
      if (outcome === 'committed') return Right(updatedSuspect);
      if (outcome !== 'conflict') return Left(createUnrecordedFailure());
    }
  }

  async #commitWrites(
    token: string,
    writes: Write[],
    signal: AbortSignal,
  ): Promise<CommitOutcome> {
    const { table, random } = this.options;
    const result = await commitWithRetry({
      table,
      random,
      signal,
      transaction: { token, writes },
      shouldRetryUnsent: false,
      retryTimeoutMs: Infinity,
    });
    return getCommitOutcome(result);
  }

  #isOwnRun(run: SuspectRun | undefined): boolean {
    const { instance, incarnation } = this.options;
    return run?.instance === instance && run.incarnation === incarnation;
  }
}

const isSlotFree = (
  row: Row | undefined,
  isGone: (holder: RunHolder) => boolean,
): boolean => {
  if (row === undefined) return true;
  const slot = isolationSlotSchema.parse(row.value);
  return slot.untilMs <= Date.now() || isGone(slot);
};

/**
 * Returns the stored suspect with the crashes that this instance knows of
 * added.
 */
const mergeCrashes = (
  stored: Suspect | undefined,
  localSuspect: Suspect,
): Suspect => {
  const initial: Suspect = { ...localSuspect, run: undefined };
  const { fingerprint } = localSuspect;
  return localSuspect.crashes.reduce<Suspect>(
    (suspect, site) => addCrash(fingerprint, suspect, site),
    stored ?? initial,
  );
};

const createClearedSuspect = (fingerprint: string): Suspect => ({
  fingerprint,
  state: 'cleared',
  crashes: [],
});

const createUnrecordedFailure = (): Failure =>
  new Failure(
    'platform_unknown',
    'it is unknown whether the suspect was written to the table; retry the write',
    {
      executed: 'unknown',
    },
  );
