/** Quarantine agreed through the table, with hints between the peers. */
import { randomUUID } from 'node:crypto';

import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { PeerHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { abortAfter, aborted, jittered, sleep } from '../shared/time.js';
import type { Table } from '../table/table.js';

import { KnownSuspects } from './suspect-cache.js';
import { QuarantinePeers } from './quarantine-peers.js';
import type { RunEntry } from './quarantine-peers.js';
import { Quarantine } from './quarantine.js';
import type { Crash, Passage } from './quarantine.js';
import { SuspectStore } from './suspect-store.js';
import type { BegunRun, Holder } from './suspect-store.js';
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
  readonly incarnationOf: (target: string) => string | undefined;
  /** Suspects that may run at once in the whole deployment. */
  readonly lanes?: number;
}

type Admission = Either<Failure, Passage>;

const tablePatienceMs = 2_000;
const firstWaitMs = 100;
const maxWaitMs = 800;
const retryAfterMs = 1_000;
const refreshMs = 10_000;
const recordPauseMs = 1_000;

export class TableQuarantine extends Quarantine {
  readonly #options: TableQuarantineOptions;
  readonly #store: SuspectStore;
  readonly #known: KnownSuspects;
  readonly #peers: QuarantinePeers;
  /** Runs apart of this instance, by fingerprint. */
  readonly #apart = new Map<string, BegunRun>();
  readonly #stopping = new AbortController();

  constructor(options: TableQuarantineOptions) {
    super();
    this.#options = options;
    this.#store = new SuspectStore({ ...options, lanes: options.lanes ?? 1 });
    this.#known = new KnownSuspects(options.log);
    this.#peers = new QuarantinePeers({ ...options, known: this.#known });
  }

  /**
   * Learns the suspects from the table, or else from a peer. Fails when
   * neither answers: the instance must not take requests yet.
   */
  async start(): Promise<Either<Failure, void>> {
    const learnt = await this.#refresh();
    void this.#refreshOften();
    return learnt;
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Methods that peers call, by name. */
  peerMethods(): ReadonlyMap<string, PeerHandler> {
    return this.#peers.methods();
  }

  override async admit(
    fingerprint: string,
    signal: AbortSignal,
    candidate?: string,
  ): Promise<Admission> {
    const id = `${this.#options.instance}/${randomUUID()}`;
    const entry = { fingerprint, id, candidate };
    const late = aborted(signal).then(() => 'late' as const);
    let pauseMs = firstWaitMs;
    for (;;) {
      const known = this.#known.get(fingerprint);
      if (known?.state === 'poison') return Left(poison());
      const admission =
        known === undefined
          ? await this.#admitFree(entry)
          : await this.#admitInTime(known, signal, late);
      if (admission !== undefined) return admission;
      if (this.#known.get(fingerprint) !== known) continue;
      const pause = jittered(pauseMs, this.#options.random);
      if (!(await sleep(pause, signal))) return Left(waiting());
      pauseMs = Math.min(maxWaitMs, pauseMs * 2);
    }
  }

  override async crashed(crash: Crash): Promise<void> {
    const { target, incarnation, fingerprints } = crash;
    const site = { target, incarnation };
    for (const fingerprint of fingerprints) {
      this.#known.suspect(fingerprint, site);
      this.#peers.leaveAll(fingerprint);
    }
    const signal = abortAfter(tablePatienceMs);
    const suspects = fingerprints.flatMap(one => this.#known.get(one) ?? []);
    const told = Promise.all([
      this.#peers.tellSuspects(suspects),
      this.#peers.reserve(target, false),
      ...fingerprints.map(one => this.#record(one, site, signal)),
    ]);
    await Promise.race([told, aborted(signal)]);
  }

  override reserved(target: string): boolean {
    return this.#known.reserved(target);
  }

  /** Asks the owner of the fingerprint; `undefined` means to wait. */
  async #admitFree(entry: RunEntry): Promise<Admission | undefined> {
    const place = await this.#peers.enter(entry);
    if (place.kind === 'suspect') this.#known.learn(place.suspect);
    if (place.kind === 'suspect' || place.kind === 'wait') return undefined;
    return Right({
      isolated: false,
      target: place.kind === 'pinned' ? place.target : undefined,
      avoid: [],
      reserve: () => Promise.resolve(),
      release: () => void this.#peers.leave(entry),
    });
  }

  /** Gives up with the signal, even while the table does not answer. */
  async #admitInTime(
    known: Suspect,
    signal: AbortSignal,
    late: Promise<'late'>,
  ): Promise<Admission | undefined> {
    const admitting = this.#admitApart(known, signal);
    const first = await Promise.race([admitting, late]);
    if (first !== 'late') return first;
    void admitting.then(admission => {
      admission?.ifRight(passage => {
        passage.release();
      });
    });
    return Left(waiting());
  }

  /** Takes the suspect's turn; `undefined` means to wait. */
  async #admitApart(
    known: Suspect,
    signal: AbortSignal,
  ): Promise<Admission | undefined> {
    const { fingerprint } = known;
    if (this.#apart.has(fingerprint)) return undefined;
    const isGone = ({ instance, incarnation }: Holder) =>
      this.#options.isGone(instance, incarnation);
    const outcome = await this.#store.begin(known, isGone, signal);
    if (outcome.kind === 'unavailable') return Left(waiting());
    if (outcome.kind === 'settled') this.#known.learn(outcome.suspect);
    if (outcome.kind !== 'begun') return undefined;
    const { run } = outcome;
    const site = run.suspect.run?.site;
    this.#apart.set(fingerprint, run);
    if (site !== undefined && this.#isReplaced(site)) {
      await this.crashed({ ...site, fingerprints: [fingerprint] });
      return undefined;
    }
    return Right(this.#passageApart(run, site?.target));
  }

  #passageApart(run: BegunRun, target: string | undefined): Passage {
    let reserved: string | undefined;
    return {
      isolated: true,
      target,
      avoid: run.suspect.crashes.map(site => site.target),
      reserve: async name => {
        reserved = name;
        await this.#reserve(run, name);
      },
      release: (answered = false) => {
        void this.#endApart(run, reserved, answered);
      },
    };
  }

  async #reserve(run: BegunRun, target: string): Promise<void> {
    const incarnation = this.#options.incarnationOf(target) ?? '';
    const signal = abortAfter(tablePatienceMs);
    const told = Promise.all([
      this.#peers.reserve(target, true),
      this.#store.reserve(run, { target, incarnation }, signal),
    ]);
    await Promise.race([told, aborted(signal)]);
  }

  async #endApart(
    run: BegunRun,
    target: string | undefined,
    answered: boolean,
  ): Promise<void> {
    const { fingerprint } = run.suspect;
    if (this.#apart.get(fingerprint) !== run) return;
    if (target !== undefined) await this.#peers.reserve(target, false);
    await this.#endInTable(run, answered);
    this.#apart.delete(fingerprint);
    if (!answered) return;
    this.#options.log.event('suspect_cleared', { fingerprint });
    this.#known.forget(fingerprint);
    const cleared = { ...run.suspect, state: 'cleared' as const };
    await this.#peers.tellSuspects([cleared]);
  }

  /** Goes on until the table has taken the end of a run. */
  async #endInTable(run: BegunRun, answered: boolean): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopping;
    for (;;) {
      const ended = await this.#store.end(run, answered, signal);
      if (ended.isRight()) return;
      if (!(await sleep(jittered(recordPauseMs, random), signal))) return;
    }
  }

  async #record(
    fingerprint: string,
    site: CrashSite,
    signal: AbortSignal,
  ): Promise<void> {
    const run = this.#apart.get(fingerprint);
    this.#apart.delete(fingerprint);
    const recorded = await this.#store.record(fingerprint, site, signal);
    if (run !== undefined) await this.#store.freeLane(run);
    recorded.caseOf({
      Left: () => void this.#recordLater(fingerprint, site),
      Right: suspect => {
        this.#known.learn(suspect);
      },
    });
  }

  /** Goes on recording a crash until the table takes it. */
  async #recordLater(fingerprint: string, site: CrashSite): Promise<void> {
    const { log, random } = this.#options;
    const { signal } = this.#stopping;
    log.event('suspect_unrecorded', { fingerprint, ...site });
    while (await sleep(jittered(recordPauseMs, random), signal)) {
      const result = await this.#store.record(fingerprint, site, signal);
      if (result.isRight()) return;
    }
  }

  #isReplaced({ target, incarnation }: CrashSite): boolean {
    return this.#options.incarnationOf(target) !== incarnation;
  }

  async #refreshOften(): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopping;
    while (await sleep(jittered(refreshMs, random), signal)) {
      await this.#refresh();
    }
  }

  async #refresh(): Promise<Either<Failure, void>> {
    const listed = await this.#store.list();
    const told = listed.isRight() ? undefined : await this.#peers.list();
    const suspects = told === undefined ? listed : Right(told);
    return suspects.map(found => {
      for (const suspect of found) this.#known.learn(suspect);
    });
  }
}

const poison = (): Failure =>
  new Failure('poison_request', 'this request crashed two targets');

const waiting = (): Failure =>
  new Failure('suspect_waiting', 'the request waits to be run apart', {
    retryAfterMs,
  });
