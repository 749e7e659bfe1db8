/** Suspects in the table: crashes, runs apart and their lanes. */
import { randomUUID } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import { settle, settledKind } from '../table/commit-with-retry.js';
import type { SettledKind } from '../table/commit-with-retry.js';
import type { Condition, Row, RowKey, Table, Write } from '../table/table.js';

import {
  laneKey,
  laneSchema,
  suspectKey,
  suspectPartition,
  suspectPrefix,
  suspectSchema,
  withCrash,
} from './suspect.js';
import type { CrashSite, Lane, Suspect, SuspectRun } from './suspect.js';

export interface SuspectStoreOptions {
  readonly table: Table;
  readonly random: () => number;
  readonly instance: string;
  readonly incarnation: string;
  /** Suspects that may run at once in the whole deployment. */
  readonly lanes: number;
}

/** A run apart that this instance began. */
export interface BegunRun {
  readonly suspect: Suspect;
  readonly token: string;
  readonly lane: number;
}

/** What came of trying to run a suspect apart. */
export type BeginOutcome =
  | { readonly kind: 'begun'; readonly run: BegunRun }
  /** It need not or must not run apart: the state says which. */
  | { readonly kind: 'settled'; readonly suspect: Suspect }
  /** Another run of it, or of too many others, goes on. */
  | { readonly kind: 'busy'; readonly suspect: Suspect }
  | { readonly kind: 'unavailable' };

/** Who began a run or took a lane. */
export type Holder = Pick<Lane, 'instance' | 'incarnation'>;

/** Changes a suspect; `undefined` leaves the row as it is. */
type Change = (suspect: Suspect | undefined) => Suspect | undefined;

const laneMs = 60_000;

const suspectOf = (row: Row | undefined): Suspect | undefined =>
  row === undefined ? undefined : suspectSchema.parse(row.value);

const after = (row: Row | undefined): Condition =>
  row === undefined
    ? { kind: 'absent' }
    : { kind: 'version', version: row.version };

const put = (key: RowKey, row: Row | undefined, value: unknown): Write => ({
  kind: 'put',
  key,
  condition: after(row),
  value,
});

export class SuspectStore {
  constructor(readonly options: SuspectStoreOptions) {}

  /** Every suspect in the table. */
  async list(): Promise<Either<Failure, readonly Suspect[]>> {
    const options = { prefix: suspectPrefix };
    const rows = await this.options.table.scan(suspectPartition, options);
    return rows.map(found => found.map(row => suspectSchema.parse(row.value)));
  }

  /** Adds a crash and ends the run of this instance, if it had one. */
  record(
    fingerprint: string,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    return this.#change(fingerprint, signal, old => {
      const crashed = withCrash(fingerprint, old, site);
      if (crashed === old) return undefined;
      const mine = this.#isMine(crashed.run);
      return mine ? { ...crashed, run: undefined } : crashed;
    });
  }

  /** Says where the run goes, before anything is sent there. */
  reserve(
    { suspect, token }: BegunRun,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    return this.#change(suspect.fingerprint, signal, old => {
      if (old?.run?.token !== token) return undefined;
      return { ...old, run: { ...old.run, site } };
    });
  }

  /** Ends a run that crashed nothing; `answered` clears the suspect. */
  async end(
    run: BegunRun,
    answered: boolean,
    signal: AbortSignal,
  ): Promise<Either<Failure, Suspect>> {
    const { suspect, token } = run;
    const ended = await this.#change(suspect.fingerprint, signal, old => {
      if (old?.run?.token !== token) return undefined;
      const state = answered ? 'cleared' : old.state;
      return { ...old, state, run: undefined };
    });
    await this.freeLane(run);
    return ended;
  }

  /** Gives a lane back early; it lapses anyway. */
  async freeLane({ lane, token }: BegunRun): Promise<void> {
    const { table } = this.options;
    const row = (await table.read([laneKey(lane)])).orDefault([])[0];
    if (row === undefined) return;
    if (laneSchema.parse(row.value).token !== token) return;
    const { instance, incarnation } = this.options;
    const free: Lane = { instance, incarnation, token, untilMs: 0 };
    const writes = [put(laneKey(lane), row, free)];
    await table.commit({ token: randomUUID(), writes });
  }

  /**
   * Begins a run apart: takes the suspect and a free lane in one transaction.
   * Only a holder that is gone is replaced.
   */
  async begin(
    known: Suspect,
    isGone: (holder: Holder) => boolean,
    signal: AbortSignal,
  ): Promise<BeginOutcome> {
    const { table, lanes, instance, incarnation } = this.options;
    const key = suspectKey(known.fingerprint);
    const laneKeys = Array.from({ length: lanes }, (_, i) => laneKey(i));
    const read = await table.read([key, ...laneKeys]);
    const rows = read.extract();
    if (rows instanceof Failure) return { kind: 'unavailable' };
    const [row, ...laneRows] = rows;
    const suspect = joined(suspectOf(row), known);
    if (suspect.state !== 'suspect') return { kind: 'settled', suspect };
    if (suspect.run !== undefined && !isGone(suspect.run)) {
      return { kind: 'busy', suspect };
    }
    const lane = laneRows.findIndex(found => isFree(found, isGone));
    if (lane < 0) return { kind: 'busy', suspect };
    const token = randomUUID();
    const run = { instance, incarnation, token, site: suspect.run?.site };
    const untilMs = Date.now() + laneMs;
    const held: Lane = { instance, incarnation, token, untilMs };
    const begun = { ...suspect, run };
    const writes = [
      put(key, row, begun),
      put(laneKey(lane), laneRows[lane], held),
    ];
    const outcome = await this.#settle(token, writes, signal);
    if (outcome === 'conflict') return { kind: 'busy', suspect };
    if (outcome === 'unsent') return { kind: 'unavailable' };
    const started = { suspect: begun, token, lane };
    if (outcome === 'committed') return { kind: 'begun', run: started };
    void this.end(started, false, new AbortController().signal);
    return { kind: 'unavailable' };
  }

  /** Reads, changes and writes until no other writer came between. */
  async #change(
    fingerprint: string,
    signal: AbortSignal,
    change: Change,
  ): Promise<Either<Failure, Suspect>> {
    const { table } = this.options;
    const key = suspectKey(fingerprint);
    for (;;) {
      const read = await table.read([key]);
      const rows = read.extract();
      if (rows instanceof Failure) return Left(rows);
      const old = suspectOf(rows[0]);
      const next = change(old);
      if (next === undefined) return Right(old ?? cleared(fingerprint));
      const writes = [put(key, rows[0], next)];
      const outcome = await this.#settle(randomUUID(), writes, signal);
      if (outcome === 'committed') return Right(next);
      if (outcome !== 'conflict') return Left(unrecorded());
    }
  }

  async #settle(
    token: string,
    writes: Write[],
    signal: AbortSignal,
  ): Promise<SettledKind> {
    const { table, random } = this.options;
    const ended = await settle({
      table,
      random,
      signal,
      transaction: { token, writes },
      repeatsRefused: false,
      patienceMs: Infinity,
    });
    return settledKind(ended);
  }

  #isMine(run: SuspectRun | undefined): boolean {
    const { instance, incarnation } = this.options;
    return run?.instance === instance && run.incarnation === incarnation;
  }
}

const isFree = (
  row: Row | undefined,
  isGone: (holder: Holder) => boolean,
): boolean => {
  if (row === undefined) return true;
  const lane = laneSchema.parse(row.value);
  return lane.untilMs <= Date.now() || isGone(lane);
};

/** The stored suspect with the crashes that this instance knows of. */
const joined = (stored: Suspect | undefined, known: Suspect): Suspect => {
  const none: Suspect = { ...known, run: undefined };
  const { fingerprint } = known;
  return known.crashes.reduce<Suspect>(
    (suspect, site) => withCrash(fingerprint, suspect, site),
    stored ?? none,
  );
};

const cleared = (fingerprint: string): Suspect => ({
  fingerprint,
  state: 'cleared',
  crashes: [],
});

const unrecorded = (): Failure =>
  new Failure('platform_unknown', 'the suspect could not be written', {
    executed: 'unknown',
  });
