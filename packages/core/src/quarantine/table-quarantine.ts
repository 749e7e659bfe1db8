/**
 * Quarantine whose authoritative state is in the table; messages between peers
 * speed up its distribution.
 */
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
  /**
   * Returns true if the platform confirmed that the incarnation never runs
   * again.
   */
  readonly isGone: (instance: string, incarnation: string) => boolean;
  /**
   * Returns the newest incarnation of a target, or `undefined` if the target is
   * not listed.
   */
  readonly findIncarnation: (target: string) => string | undefined;
  /**
   * Maximum number of isolated runs at the same time in the whole deployment.
   */
  readonly maxIsolatedRuns?: number;
}

type AdmissionResult = Either<Failure, RunPermit>;

/**
 * Maximum time that recording a crash or reserving a target waits for the table
 * and the peers.
 */
const tableTimeoutMs = 2_000;
/**
 * First pause between two attempts to admit a request; it doubles up to
 * `maxBackoffMs`.
 */
const initialBackoffMs = 100;
const maxBackoffMs = 800;
/** Retry time in a `suspect_waiting` failure. */
const retryAfterMs = 1_000;
/** Interval at which suspects are read from the table. */
const refreshIntervalMs = 10_000;
/** Pause between two attempts to record a crash or the end of a run. */
const recordRetryMs = 1_000;

/**
 * Admits requests by the suspects in the table and runs suspects one by one.
 */
export class TableQuarantine extends Quarantine {
  readonly #options: TableQuarantineOptions;
  readonly #store: SuspectStore;
  readonly #suspectCache: SuspectCache;
  readonly #peers: QuarantinePeers;
  /** Isolated runs of this instance, by fingerprint. */
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
   * Loads the suspects from the table, or from a peer if the table fails. Fails
   * if neither answers; the instance must not accept requests then.
   */
  async start(): Promise<Either<Failure, void>> {
    const result = await this.#refreshSuspects();
    void this.#refreshPeriodically();
    return result;
  }

  stop(): void {
    this.#stopController.abort();
  }

  /** Returns the handlers of the methods that peers call, by method name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#peers.getPeerMethods();
  }

  override async admitRun(
    fingerprint: string,
    signal: AbortSignal,
    candidate?: string,
  ): Promise<AdmissionResult> {
    const id = `${this.#options.instance}/${randomUUID()}`;
    const registration = { fingerprint, id, candidate };
    const aborted = waitForAbort(signal).then(() => 'aborted' as const);
    let backoffMs = initialBackoffMs;
    for (;;) {
      const suspect = this.#suspectCache.getSuspect(fingerprint);
      if (suspect?.state === 'poison') return Left(createPoisonFailure());
      const admission =
        suspect === undefined
          ? await this.#admitUnsuspected(registration)
          : await this.#admitIsolatedInTime(suspect, signal, aborted);
      if (admission !== undefined) return admission;
      if (this.#suspectCache.getSuspect(fingerprint) !== suspect) continue;
      const pauseMs = addJitter(backoffMs, this.#options.random);
      if (!(await sleep(pauseMs, signal))) return Left(createWaitingFailure());
      backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
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
      fingerprint => this.#suspectCache.getSuspect(fingerprint) ?? [],
    );
    const notified = Promise.all([
      this.#peers.sendSuspects(suspects),
      this.#peers.setTargetReserved(target, false),
      ...fingerprints.map(fingerprint =>
        this.#recordCrashInTable(fingerprint, site, signal),
      ),
    ]);
    await Promise.race([notified, waitForAbort(signal)]);
  }

  override isReserved(target: string): boolean {
    return this.#suspectCache.isReserved(target);
  }

  /**
   * Registers the run with the owner of the fingerprint. Returns `undefined` if
   * the run has to wait or the request is a suspect.
   */
  async #admitUnsuspected(
    registration: RunRegistration,
  ): Promise<AdmissionResult | undefined> {
    const reply = await this.#peers.registerRun(registration);
    if (reply.kind === 'suspect')
      this.#suspectCache.mergeSuspect(reply.suspect);
    if (reply.kind === 'suspect' || reply.kind === 'wait') return undefined;
    return Right({
      isIsolated: false,
      target: reply.kind === 'pinned' ? reply.target : undefined,
      avoidedTargets: [],
      reserveTarget: () => Promise.resolve(),
      release: () => void this.#peers.unregisterRun(registration),
    });
  }

  /**
   * Tries to start an isolated run, but fails when the signal aborts, even if
   * the table has not answered. A permit that arrives later is released.
   */
  async #admitIsolatedInTime(
    suspect: Suspect,
    signal: AbortSignal,
    aborted: Promise<'aborted'>,
  ): Promise<AdmissionResult | undefined> {
    const pendingAdmission = this.#admitIsolated(suspect, signal);
    const firstResult = await Promise.race([pendingAdmission, aborted]);
    if (firstResult !== 'aborted') return firstResult;
    void pendingAdmission.then(admission => {
      admission?.ifRight(permit => {
        permit.release();
      });
    });
    return Left(createWaitingFailure());
  }

  /**
   * Tries to start an isolated run of the suspect. Returns `undefined` if the
   * run has to wait or the suspect has changed.
   */
  async #admitIsolated(
    suspect: Suspect,
    signal: AbortSignal,
  ): Promise<AdmissionResult | undefined> {
    const { fingerprint } = suspect;
    if (this.#isolatedRuns.has(fingerprint)) return undefined;
    const isGone = ({ instance, incarnation }: RunHolder) =>
      this.#options.isGone(instance, incarnation);
    const outcome = await this.#store.beginRun(suspect, isGone, signal);
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
    let reservedTarget: string | undefined;
    return {
      isIsolated: true,
      target,
      avoidedTargets: run.suspect.crashes.map(site => site.target),
      reserveTarget: async name => {
        reservedTarget = name;
        await this.#reserveTarget(run, name);
      },
      release: (answered = false) => {
        void this.#endIsolatedRun(run, reservedTarget, answered);
      },
    };
  }

  async #reserveTarget(run: IsolatedRun, target: string): Promise<void> {
    const incarnation = this.#options.findIncarnation(target) ?? '';
    const signal = createTimeoutSignal(tableTimeoutMs);
    const notified = Promise.all([
      this.#peers.setTargetReserved(target, true),
      this.#store.recordSite(run, { target, incarnation }, signal),
    ]);
    await Promise.race([notified, waitForAbort(signal)]);
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

  /** Retries until the table has recorded the end of the run. */
  async #recordRunEnd(run: IsolatedRun, answered: boolean): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopController;
    for (;;) {
      const result = await this.#store.endRun(run, answered, signal);
      if (result.isRight()) return;
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
    const recordResult = await this.#store.recordCrash(
      fingerprint,
      site,
      signal,
    );
    if (run !== undefined) await this.#store.releaseSlot(run);
    recordResult.caseOf({
      Left: () => void this.#retryRecordingCrash(fingerprint, site),
      Right: suspect => {
        this.#suspectCache.mergeSuspect(suspect);
      },
    });
  }

  /** Retries until the table has recorded the crash. */
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
    const tableResult = await this.#store.listSuspects();
    const peerSuspects = tableResult.isRight()
      ? undefined
      : await this.#peers.fetchSuspects();
    const suspectsResult =
      peerSuspects === undefined ? tableResult : Right(peerSuspects);
    return suspectsResult.map(loaded => {
      for (const suspect of loaded) this.#suspectCache.mergeSuspect(suspect);
    });
  }
}

const createPoisonFailure = (): Failure =>
  new Failure(
    'poison_request',
    'this request crashed two targets; it is not run again',
  );

const createWaitingFailure = (): Failure =>
  new Failure(
    'suspect_waiting',
    'the request was in flight at a crash and waits for an isolated run; retry later',
    {
      retryAfterMs,
    },
  );
