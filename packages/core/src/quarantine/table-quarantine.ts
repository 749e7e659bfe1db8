/** Quarantine agreed through the table, with hints between the peers. */
import { randomUUID } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import {
  createTimeoutSignal,
  waitForAbort,
  addJitter,
  sleep,
} from '../shared/time.js';
import type { Table } from '../table/table.js';

import { SuspectCache } from './suspect-cache.js';
import { QuarantinePeers } from './quarantine-peers.js';
import type { RunRegistration } from './quarantine-peers.js';
import { Quarantine } from './quarantine.js';
import type { TargetCrash, RunPermit } from './quarantine.js';
import { SuspectStore } from './suspect-store.js';
import type { IsolatedRun, RunHolder } from './suspect-store.js';
import type { CrashSite, Suspect } from './suspect.js';

export interface TableQuarantineOptions {
  readonly table: Table;
  readonly peers: PeerGroup;
  readonly log: Log;
  readonly random: () => number;
  readonly instance: string;
  readonly incarnation: string;
  /** True when the platform confirmed that the incarnation never runs again. */
  readonly isGone: (instance: string, incarnation: string) => boolean;
  /** Newest incarnation of a target, if it is listed. */
  readonly findIncarnation: (target: string) => string | undefined;
  /** Suspects that may run at once in the whole deployment. */
  readonly maxIsolatedRuns?: number;
}

type AdmissionResult = Either<Failure, RunPermit>;

const tableTimeoutMs = 2_000;
const initialBackoffMs = 100;
const maxBackoffMs = 800;
const retryAfterMs = 1_000;
const refreshIntervalMs = 10_000;
const recordRetryMs = 1_000;

export class TableQuarantine extends Quarantine {
  readonly #options: TableQuarantineOptions;
  readonly #store: SuspectStore;
  readonly #suspectCache: SuspectCache;
  readonly #peers: QuarantinePeers;
  /** Runs apart of this instance, by fingerprint. */
  readonly #isolatedRuns = new Map<string, IsolatedRun>();
  readonly #stopController = new AbortController();

  constructor(options: TableQuarantineOptions) {
    super();
    this.#options = options;
    this.#store = new SuspectStore({
      ...options,
      maxIsolatedRuns: options.maxIsolatedRuns ?? 1,
    });
    this.#suspectCache = new SuspectCache(options.log);
    this.#peers = new QuarantinePeers({
      ...options,
      suspectCache: this.#suspectCache,
    });
  }

  /**
   * Learns the suspects from the table, or else from a peer. Fails when
   * neither answers: the instance must not take requests yet.
   */
  async start(): Promise<Either<Failure, void>> {
    const learnt = await this.#refreshSuspects();
    void this.#refreshPeriodically();
    return learnt;
  }

  stop(): void {
    this.#stopController.abort();
  }

  /** Methods that peers call, by name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#peers.getPeerMethods();
  }

  override async admitRun(
    fingerprint: string,
    signal: AbortSignal,
    candidate?: string,
  ): Promise<AdmissionResult> {
    const id = `${this.#options.instance}/${randomUUID()}`;
    const entry = { fingerprint, id, candidate };
    const late = waitForAbort(signal).then(() => 'late' as const);
    let pauseMs = initialBackoffMs;
    for (;;) {
      const known = this.#suspectCache.getSuspect(fingerprint);
      if (known?.state === 'poison') return Left(createPoisonFailure());
      const admission =
        known === undefined
          ? await this.#admitUnsuspected(entry)
          : await this.#admitIsolatedInTime(known, signal, late);
      if (admission !== undefined) return admission;
      if (this.#suspectCache.getSuspect(fingerprint) !== known) continue;
      const pause = addJitter(pauseMs, this.#options.random);
      if (!(await sleep(pause, signal))) return Left(createWaitingFailure());
      pauseMs = Math.min(maxBackoffMs, pauseMs * 2);
    }
  }

  override async recordCrash(crash: TargetCrash): Promise<void> {
    const { target, incarnation, fingerprints } = crash;
    const site = { target, incarnation };
    for (const fingerprint of fingerprints) {
      this.#suspectCache.recordCrash(fingerprint, site);
      this.#peers.unregisterRuns(fingerprint);
    }
    const signal = createTimeoutSignal(tableTimeoutMs);
    const suspects = fingerprints.flatMap(
      one => this.#suspectCache.getSuspect(one) ?? [],
    );
    const told = Promise.all([
      this.#peers.sendSuspects(suspects),
      this.#peers.setTargetReserved(target, false),
      ...fingerprints.map(one => this.#recordCrashInTable(one, site, signal)),
    ]);
    await Promise.race([told, waitForAbort(signal)]);
  }

  override isReserved(target: string): boolean {
    return this.#suspectCache.isReserved(target);
  }

  /** Asks the owner of the fingerprint; `undefined` means to wait. */
  async #admitUnsuspected(
    entry: RunRegistration,
  ): Promise<AdmissionResult | undefined> {
    const place = await this.#peers.registerRun(entry);
    if (place.kind === 'suspect')
      this.#suspectCache.mergeSuspect(place.suspect);
    if (place.kind === 'suspect' || place.kind === 'wait') return undefined;
    return Right({
      isIsolated: false,
      target: place.kind === 'pinned' ? place.target : undefined,
      avoidedTargets: [],
      reserveTarget: () => Promise.resolve(),
      release: () => void this.#peers.unregisterRun(entry),
    });
  }

  /** Gives up with the signal, even while the table does not answer. */
  async #admitIsolatedInTime(
    known: Suspect,
    signal: AbortSignal,
    late: Promise<'late'>,
  ): Promise<AdmissionResult | undefined> {
    const admitting = this.#admitIsolated(known, signal);
    const first = await Promise.race([admitting, late]);
    if (first !== 'late') return first;
    void admitting.then(admission => {
      admission?.ifRight(passage => {
        passage.release();
      });
    });
    return Left(createWaitingFailure());
  }

  /** Takes the suspect's turn; `undefined` means to wait. */
  async #admitIsolated(
    known: Suspect,
    signal: AbortSignal,
  ): Promise<AdmissionResult | undefined> {
    const { fingerprint } = known;
    if (this.#isolatedRuns.has(fingerprint)) return undefined;
    const isGone = ({ instance, incarnation }: RunHolder) =>
      this.#options.isGone(instance, incarnation);
    const outcome = await this.#store.beginRun(known, isGone, signal);
    if (outcome.kind === 'unavailable') return Left(createWaitingFailure());
    if (outcome.kind === 'settled')
      this.#suspectCache.mergeSuspect(outcome.suspect);
    if (outcome.kind !== 'begun') return undefined;
    const { run } = outcome;
    const site = run.suspect.run?.site;
    this.#isolatedRuns.set(fingerprint, run);
    if (site !== undefined && this.#isReplaced(site)) {
      await this.recordCrash({ ...site, fingerprints: [fingerprint] });
      return undefined;
    }
    return Right(this.#createIsolatedPermit(run, site?.target));
  }

  #createIsolatedPermit(
    run: IsolatedRun,
    target: string | undefined,
  ): RunPermit {
    let reserved: string | undefined;
    return {
      isIsolated: true,
      target,
      avoidedTargets: run.suspect.crashes.map(site => site.target),
      reserveTarget: async name => {
        reserved = name;
        await this.#reserveTarget(run, name);
      },
      release: (answered = false) => {
        void this.#endIsolatedRun(run, reserved, answered);
      },
    };
  }

  async #reserveTarget(run: IsolatedRun, target: string): Promise<void> {
    const incarnation = this.#options.findIncarnation(target) ?? '';
    const signal = createTimeoutSignal(tableTimeoutMs);
    const told = Promise.all([
      this.#peers.setTargetReserved(target, true),
      this.#store.recordSite(run, { target, incarnation }, signal),
    ]);
    await Promise.race([told, waitForAbort(signal)]);
  }

  async #endIsolatedRun(
    run: IsolatedRun,
    target: string | undefined,
    answered: boolean,
  ): Promise<void> {
    const { fingerprint } = run.suspect;
    if (this.#isolatedRuns.get(fingerprint) !== run) return;
    if (target !== undefined)
      await this.#peers.setTargetReserved(target, false);
    await this.#recordRunEnd(run, answered);
    this.#isolatedRuns.delete(fingerprint);
    if (!answered) return;
    this.#options.log.writeEvent('suspect_cleared', { fingerprint });
    this.#suspectCache.removeSuspect(fingerprint);
    const cleared = { ...run.suspect, state: 'cleared' as const };
    await this.#peers.sendSuspects([cleared]);
  }

  /** Goes on until the table has taken the end of a run. */
  async #recordRunEnd(run: IsolatedRun, answered: boolean): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopController;
    for (;;) {
      const ended = await this.#store.endRun(run, answered, signal);
      if (ended.isRight()) return;
      if (!(await sleep(addJitter(recordRetryMs, random), signal))) return;
    }
  }

  async #recordCrashInTable(
    fingerprint: string,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<void> {
    const run = this.#isolatedRuns.get(fingerprint);
    this.#isolatedRuns.delete(fingerprint);
    const recorded = await this.#store.recordCrash(fingerprint, site, signal);
    if (run !== undefined) await this.#store.releaseSlot(run);
    recorded.caseOf({
      Left: () => void this.#retryRecordingCrash(fingerprint, site),
      Right: suspect => {
        this.#suspectCache.mergeSuspect(suspect);
      },
    });
  }

  /** Goes on recording a crash until the table takes it. */
  async #retryRecordingCrash(
    fingerprint: string,
    site: CrashSite,
  ): Promise<void> {
    const { log, random } = this.#options;
    const { signal } = this.#stopController;
    log.writeEvent('suspect_unrecorded', { fingerprint, ...site });
    while (await sleep(addJitter(recordRetryMs, random), signal)) {
      const result = await this.#store.recordCrash(fingerprint, site, signal);
      if (result.isRight()) return;
    }
  }

  #isReplaced({ target, incarnation }: CrashSite): boolean {
    return this.#options.findIncarnation(target) !== incarnation;
  }

  async #refreshPeriodically(): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopController;
    while (await sleep(addJitter(refreshIntervalMs, random), signal)) {
      await this.#refreshSuspects();
    }
  }

  async #refreshSuspects(): Promise<Either<Failure, void>> {
    const listed = await this.#store.listSuspects();
    const told = listed.isRight()
      ? undefined
      : await this.#peers.fetchSuspects();
    const suspects = told === undefined ? listed : Right(told);
    return suspects.map(found => {
      for (const suspect of found) this.#suspectCache.mergeSuspect(suspect);
    });
  }
}

const createPoisonFailure = (): Failure =>
  new Failure('poison_request', 'this request crashed two targets');

const createWaitingFailure = (): Failure =>
  new Failure('suspect_waiting', 'the request waits to be run apart', {
    retryAfterMs,
  });
