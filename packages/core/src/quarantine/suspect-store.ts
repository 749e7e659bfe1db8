/** Suspects in the table: crashes, runs apart and their lanes. */
import { randomUUID } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import {
  commitWithRetry,
  getCommitOutcome,
} from '../table/commit-with-retry.js';
import type { CommitOutcome } from '../table/commit-with-retry.js';
import type { Condition, Row, RowKey, Table, Write } from '../table/table.js';

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
  /** Suspects that may run at once in the whole deployment. */
  readonly maxIsolatedRuns: number;
}

/** A run apart that this instance began. */
export interface IsolatedRun {
  readonly suspect: Suspect;
  readonly token: string;
  readonly slotIndex: number;
}

/** What came of trying to run a suspect apart. */
export type IsolationOutcome =
  | { readonly kind: 'begun'; readonly run: IsolatedRun }
  /** It need not or must not run apart: the state says which. */
  | { readonly kind: 'settled'; readonly suspect: Suspect }
  /** Another run of it, or of too many others, goes on. */
  | { readonly kind: 'busy'; readonly suspect: Suspect }
  | { readonly kind: 'unavailable' };

/** Who began a run or took a lane. */
export type RunHolder = Pick<IsolationSlot, 'instance' | 'incarnation'>;

/** Changes a suspect; `undefined` leaves the row as it is. */
type SuspectUpdate = (suspect: Suspect | undefined) => Suspect | undefined;

const slotLeaseMs = 60_000;

const parseSuspect = (row: Row | undefined): Suspect | undefined =>
  row === undefined ? undefined : suspectSchema.parse(row.value);

const createCondition = (row: Row | undefined): Condition =>
  row === undefined
    ? { kind: 'absent' }
    : { kind: 'version', version: row.version };

const createPut = (
  key: RowKey,
  row: Row | undefined,
  value: unknown,
): Write => ({
  kind: 'put',
  key,
  condition: createCondition(row),
  value,
});

export class SuspectStore {
  constructor(readonly options: SuspectStoreOptions) {}

  /** Every suspect in the table. */
  async listSuspects(): Promise<Either<Failure, readonly Suspect[]>> {
    const options = { prefix: suspectSortPrefix };
    const rows = await this.options.table.scanPartition(
      suspectPartition,
      options,
    );
    return rows.map(found => found.map(row => suspectSchema.parse(row.value)));
  }

  /** Adds a crash and ends the run of this instance, if it had one. */
  recordCrash(
    fingerprint: string,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    return this.#updateSuspect(fingerprint, signal, old => {
      const crashed = addCrash(fingerprint, old, site);
      if (crashed === old) return undefined;
      const mine = this.#isOwnRun(crashed.run);
      return mine ? { ...crashed, run: undefined } : crashed;
    });
  }

  /** Says where the run goes, before anything is sent there. */
  recordSite(
    { suspect, token }: IsolatedRun,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    return this.#updateSuspect(suspect.fingerprint, signal, old => {
      if (old?.run?.token !== token) return undefined;
      return { ...old, run: { ...old.run, site } };
    });
  }

  /** Ends a run that crashed nothing; `answered` clears the suspect. */
  async endRun(
    run: IsolatedRun,
    answered: boolean,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    const { suspect, token } = run;
    const ended = await this.#updateSuspect(
      suspect.fingerprint,
      signal,
      old => {
        if (old?.run?.token !== token) return undefined;
        const state = answered ? 'cleared' : old.state;
        return { ...old, state, run: undefined };
      },
    );
    await this.releaseSlot(run);
    return ended;
  }

  /** Gives a lane back early; it lapses anyway. */
  async releaseSlot({ slotIndex: lane, token }: IsolatedRun): Promise<void> {
    const { table } = this.options;
    const row = (await table.readRows([createSlotKey(lane)])).orDefault([])[0];
    if (row === undefined) return;
    if (isolationSlotSchema.parse(row.value).token !== token) return;
    const { instance, incarnation } = this.options;
    const free: IsolationSlot = { instance, incarnation, token, untilMs: 0 };
    const writes = [createPut(createSlotKey(lane), row, free)];
    await table.commitTransaction({ token: randomUUID(), writes });
  }

  /**
   * Begins a run apart: takes the suspect and a free lane in one transaction.
   * Only a holder that is gone is replaced.
   */
  async beginRun(
    known: Suspect,
    isGone: (holder: RunHolder) => boolean,
    signal: AbortSignal,
  ): Promise<IsolationOutcome> {
    const {
      table,
      maxIsolatedRuns: lanes,
      instance,
      incarnation,
    } = this.options;
    const key = createSuspectKey(known.fingerprint);
    const laneKeys = Array.from({ length: lanes }, (_, i) => createSlotKey(i));
    const read = await table.readRows([key, ...laneKeys]);
    const rows = read.extract();
    if (rows instanceof Failure) return { kind: 'unavailable' };
    const [row, ...laneRows] = rows;
    const suspect = mergeCrashes(parseSuspect(row), known);
    if (suspect.state !== 'suspect') return { kind: 'settled', suspect };
    if (suspect.run !== undefined && !isGone(suspect.run)) {
      return { kind: 'busy', suspect };
    }
    const slotIndex = laneRows.findIndex(found => isSlotFree(found, isGone));
    if (slotIndex < 0) return { kind: 'busy', suspect };
    const token = randomUUID();
    const run = { instance, incarnation, token, site: suspect.run?.site };
    const untilMs = Date.now() + slotLeaseMs;
    const held: IsolationSlot = { instance, incarnation, token, untilMs };
    const begun = { ...suspect, run };
    const writes = [
      createPut(key, row, begun),
      createPut(createSlotKey(slotIndex), laneRows[slotIndex], held),
    ];
    const outcome = await this.#commitWrites(token, writes, signal);
    if (outcome === 'conflict') return { kind: 'busy', suspect };
    if (outcome === 'unsent') return { kind: 'unavailable' };
    const started = { suspect: begun, token, slotIndex };
    if (outcome === 'committed') return { kind: 'begun', run: started };
    void this.endRun(started, false, new AbortController().signal);
    return { kind: 'unavailable' };
  }

  /** Reads, changes and writes until no other writer came between. */
  async #updateSuspect(
    fingerprint: string,
    signal: AbortSignal,
    change: SuspectUpdate,
  ): Promise<Either<Failure, Suspect>> {
    const { table } = this.options;
    const key = createSuspectKey(fingerprint);
    for (;;) {
      const read = await table.readRows([key]);
      const rows = read.extract();
      if (rows instanceof Failure) return Left(rows);
      const old = parseSuspect(rows[0]);
      const next = change(old);
      if (next === undefined)
        return Right(old ?? createClearedSuspect(fingerprint));
      const writes = [createPut(key, rows[0], next)];
      const outcome = await this.#commitWrites(randomUUID(), writes, signal);
      if (outcome === 'committed') return Right(next);
      if (outcome !== 'conflict') return Left(createUnrecordedFailure());
    }
  }

  async #commitWrites(
    token: string,
    writes: Write[],
    signal: AbortSignal,
  ): Promise<CommitOutcome> {
    const { table, random } = this.options;
    const ended = await commitWithRetry({
      table,
      random,
      signal,
      transaction: { token, writes },
      shouldRetryUnsent: false,
      retryTimeoutMs: Infinity,
    });
    return getCommitOutcome(ended);
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
  const lane = isolationSlotSchema.parse(row.value);
  return lane.untilMs <= Date.now() || isGone(lane);
};

/** The stored suspect with the crashes that this instance knows of. */
const mergeCrashes = (stored: Suspect | undefined, known: Suspect): Suspect => {
  const none: Suspect = { ...known, run: undefined };
  const { fingerprint } = known;
  return known.crashes.reduce<Suspect>(
    (suspect, site) => addCrash(fingerprint, suspect, site),
    stored ?? none,
  );
};

const createClearedSuspect = (fingerprint: string): Suspect => ({
  fingerprint,
  state: 'cleared',
  crashes: [],
});

const createUnrecordedFailure = (): Failure =>
  new Failure('platform_unknown', 'the suspect could not be written', {
    executed: 'unknown',
  });
