/**
 * A fake engine: continuous batching with chunked prefill, a prefix cache and
 * slow role changes, on the runtime's clock.
 */
import { Engine, Failure, prefixBlockTokens, sleep } from '@medlarlever/core';
import type {
  CacheEvent,
  LoadReport,
  ModelId,
  EngineRole,
  StreamItem,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { compareJobs } from './engine-job.js';
import type { Job, JobEnd, JobRequest } from './engine-job.js';
import type { EngineModel } from './engine-cost-model.js';
import { PieceCache } from './prefix-cache.js';

export const replayModel: ModelId = { name: 'replay', version: '1' };

export interface ReplayEngineOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly role: EngineRole;
  readonly model: EngineModel;
  readonly random: () => number;
}

const minStepMs = 5;
const snapshotPeriodMs = 250;
const drainPollMs = 50;

export class ReplayEngine extends Engine {
  override readonly name: string;
  override readonly incarnation: string;
  override readonly dataCenter: string;
  override readonly address: string;
  role: EngineRole;
  /** False from the start of a role change to its end. */
  available = true;
  alive = true;
  roleSinceMs = -Infinity;
  readonly #model: EngineModel;
  readonly #random: () => number;
  readonly #cache = new PieceCache();
  readonly #snapshots: LoadReport[] = [];
  #waiting: Job[] = [];
  #decoding: Job[] = [];
  #heldTokens = 0;
  #arrivals = 0;
  #stepping = false;

  constructor(options: ReplayEngineOptions) {
    super();
    this.name = options.name;
    this.incarnation = `${options.name}-1`;
    this.dataCenter = options.dataCenter;
    this.address = options.name;
    this.role = options.role;
    this.#model = options.model;
    this.#random = options.random;
  }

  /** Records its load periodically, so that reports can lag. */
  async run(signal: AbortSignal): Promise<void> {
    do {
      this.#snapshots.push(this.#report());
      if (this.#snapshots.length > 16) this.#snapshots.shift();
    } while (await sleep(snapshotPeriodMs, signal));
  }

  /** Runs a job to its end. */
  submit(request: JobRequest): Promise<JobEnd> {
    if (!this.alive) return Promise.resolve('lost');
    return new Promise(resolve => {
      this.#arrivals += 1;
      this.#waiting.push({
        request,
        arrival: this.#arrivals,
        prefillLeft: request.stage === 'decode' ? 0 : request.promptTokens,
        started: false,
        heldTokens: 0,
        outputLeft: request.stage === 'prefill' ? 0 : request.outputTokens,
        lastTokenAtMs: 0,
        end: resolve,
      });
      this.#waiting.sort(compareJobs);
      this.#wake();
    });
  }

  /** Prompt tokens that it would have to fetch from another engine. */
  missingTokens(promptTokens: number, pieces: readonly string[]): number {
    return Math.max(
      0,
      promptTokens - this.#cache.use(pieces) * prefixBlockTokens,
    );
  }

  /** Breaks off everything for good. */
  lose(): void {
    this.alive = false;
    this.available = false;
    for (const job of [...this.#waiting, ...this.#decoding]) job.end('lost');
    this.#waiting = [];
    this.#decoding = [];
  }

  /** Drains, is away for a while and returns in the other role. */
  async changeRole(role: EngineRole, awayMs: number): Promise<void> {
    this.available = false;
    while (this.alive && this.#jobs > 0) await sleep(drainPollMs);
    await sleep(awayMs);
    this.#cache.clear();
    this.role = role;
    this.available = this.alive;
    this.roleSinceMs = Date.now();
  }

  override getLoadReport(): Promise<Either<Failure, LoadReport>> {
    if (!this.alive) return Promise.resolve(Left(lost(this.name)));
    const { minLagMs, maxLagMs } = this.#model;
    const lagMs = minLagMs + this.#random() * (maxLagMs - minLagMs);
    const newest = Date.now() - lagMs;
    const report = this.#snapshots.findLast(each => each.atMs <= newest);
    const known = report ?? this.#snapshots[0] ?? this.#report();
    return Promise.resolve(Right(known));
  }

  override listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>> {
    if (!this.alive) return Promise.resolve(Left(lost(this.name)));
    const events = this.#cache
      .eventsAfter(after)
      .filter(() => this.#random() >= this.#model.lostEventShare);
    return Promise.resolve(Right(events));
  }

  override probeHealth(): Promise<Either<Failure, void>> {
    return Promise.resolve(
      this.alive ? Right(undefined) : Left(lost(this.name)),
    );
  }

  override resetConnections(): void {
    return;
  }

  override generate(): AsyncIterable<StreamItem> {
    throw unsupported();
  }

  override resumeStream(): AsyncIterable<StreamItem> {
    throw unsupported();
  }

  override cancelGeneration(): Promise<Either<Failure, void>> {
    return Promise.resolve(Left(unsupported()));
  }

  override sendCommand(): Promise<Either<Failure, never>> {
    return Promise.resolve(Left(unsupported()));
  }

  override getCommandStatus(): Promise<Either<Failure, never>> {
    return Promise.resolve(Left(unsupported()));
  }

  override exportStream(): Promise<Either<Failure, void>> {
    return Promise.resolve(Left(unsupported()));
  }

  get #jobs(): number {
    return this.#waiting.length + this.#decoding.length;
  }

  #report(): LoadReport {
    const { cacheTokens, slots } = this.#model;
    const prefillTokens = this.#waiting.reduce(
      (sum, job) => sum + job.prefillLeft,
      0,
    );
    const started = this.#waiting.filter(job => job.started).length;
    return {
      atMs: Date.now(),
      role: this.role,
      models: [replayModel],
      accepting: this.available,
      leaving: false,
      running: this.#decoding.length + started,
      queued: this.#waiting.length - started,
      prefillTokens,
      cacheUse: Math.min(1, this.#heldTokens / cacheTokens),
      slots,
    };
  }

  #wake(): void {
    if (this.#stepping) return;
    this.#stepping = true;
    void this.#steps();
  }

  /** Runs one step after another while there is work. */
  async #steps(): Promise<void> {
    while (this.#jobs > 0) {
      this.#dropLate();
      const batch = this.#choosePrefill();
      await sleep(Math.max(minStepMs, this.#stepMs(batch.tokens)));
      if (!this.alive) break;
      this.#emitTokens();
      this.#finishPrefills(batch.done);
    }
    this.#stepping = false;
  }

  /** Callers whose deadline passed cancel their streams. */
  #dropLate(): void {
    const now = Date.now();
    const late = (job: Job) => job.request.deadlineAtMs <= now;
    for (const job of [...this.#waiting, ...this.#decoding].filter(late)) {
      this.#heldTokens -= job.heldTokens;
      job.end('late');
    }
    this.#waiting = this.#waiting.filter(job => !late(job));
    this.#decoding = this.#decoding.filter(job => !late(job));
  }

  #stepMs(prefillTokens: number): number {
    const model = this.#model;
    const decodes = this.#decoding.length;
    const prefillMs = (prefillTokens / model.prefillTokensPerSecond) * 1_000;
    if (decodes === 0) return prefillMs;
    const decodeMs = model.decodeStepMs + model.decodeSequenceMs * decodes;
    return decodeMs + prefillMs * model.interference;
  }

  /** Fills the chunk of this step with the first waiting jobs. */
  #choosePrefill(): { readonly tokens: number; readonly done: Job[] } {
    const { mixedChunkTokens, prefillChunkTokens } = this.#model;
    const decodes = this.#decoding.length > 0;
    const chunk = decodes ? mixedChunkTokens : prefillChunkTokens;
    const done: Job[] = [];
    let left = chunk;
    for (const job of this.#waiting) {
      if (left <= 0) break;
      if (!job.started && !this.#start(job)) break;
      const taken = Math.min(left, job.prefillLeft);
      job.prefillLeft -= taken;
      left -= taken;
      if (job.prefillLeft === 0) done.push(job);
    }
    return { tokens: chunk - left, done };
  }

  /** Gives the job a slot and memory, and looks up its cached prefix. */
  #start(job: Job): boolean {
    const { cacheTokens, slots } = this.#model;
    const started = this.#waiting.filter(each => each.started).length;
    if (this.#decoding.length + started >= slots) return false;
    const { pieces, promptTokens, outputTokens } = job.request;
    const cachedTokens = this.#cache.use(pieces) * prefixBlockTokens;
    const heldTokens = promptTokens - cachedTokens + outputTokens;
    const needed = this.#heldTokens + heldTokens;
    if (needed > cacheTokens && this.#heldTokens > 0) return false;
    job.started = true;
    job.heldTokens = heldTokens;
    this.#heldTokens = needed;
    this.#cache.shrinkTo(Math.max(0, cacheTokens - needed));
    if (job.request.stage !== 'decode') {
      job.prefillLeft = Math.max(1, job.prefillLeft - cachedTokens);
    }
    return true;
  }

  #emitTokens(): void {
    const now = Date.now();
    for (const job of this.#decoding) {
      job.outputLeft -= 1;
      job.request.onGap?.(now - job.lastTokenAtMs);
      job.lastTokenAtMs = now;
      if (job.outputLeft <= 0) this.#finish(job);
    }
    this.#decoding = this.#decoding.filter(job => job.outputLeft > 0);
  }

  #finishPrefills(done: readonly Job[]): void {
    if (done.length === 0) return;
    this.#waiting = this.#waiting.filter(job => !done.includes(job));
    for (const job of done) {
      this.#cache.store(job.request.pieces);
      if (job.request.stage === 'prefill') {
        this.#finish(job);
        continue;
      }
      job.outputLeft -= 1;
      job.lastTokenAtMs = Date.now();
      job.request.onFirstToken?.();
      if (job.outputLeft <= 0) this.#finish(job);
      else this.#decoding.push(job);
    }
    const free = this.#model.cacheTokens - this.#heldTokens;
    this.#cache.shrinkTo(Math.max(0, free));
  }

  #finish(job: Job): void {
    this.#heldTokens -= job.heldTokens;
    job.end('done');
  }
}

const lost = (name: string) => new Failure('target_failed', `${name} is lost`);

const unsupported = () =>
  new Failure('internal', 'the replay does not use this call');
