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
import type { EngineJob, JobOutcome, EngineJobRequest } from './engine-job.js';
import type { EngineCostModel } from './engine-cost-model.js';
import { PrefixCache } from './prefix-cache.js';

export const replayModelId: ModelId = { name: 'replay', version: '1' };

export interface ReplayEngineOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly role: EngineRole;
  readonly costModel: EngineCostModel;
  readonly random: () => number;
}

const minStepMs = 5;
const loadReportIntervalMs = 250;
const drainPollIntervalMs = 50;

export class ReplayEngine extends Engine {
  override readonly name: string;
  override readonly incarnation: string;
  override readonly dataCenter: string;
  override readonly address: string;
  role: EngineRole;
  /** False from the start of a role change to its end. */
  isAvailable = true;
  isAlive = true;
  roleStartedAtMs = -Infinity;
  readonly #costModel: EngineCostModel;
  readonly #random: () => number;
  readonly #prefixCache = new PrefixCache();
  readonly #loadReports: LoadReport[] = [];
  #waitingJobs: EngineJob[] = [];
  #decodingJobs: EngineJob[] = [];
  #heldKvTokens = 0;
  #arrivalCount = 0;
  #isStepping = false;

  constructor(options: ReplayEngineOptions) {
    super();
    this.name = options.name;
    this.incarnation = `${options.name}-1`;
    this.dataCenter = options.dataCenter;
    this.address = options.name;
    this.role = options.role;
    this.#costModel = options.costModel;
    this.#random = options.random;
  }

  /** Records its load periodically, so that reports can lag. */
  async recordLoadPeriodically(signal: AbortSignal): Promise<void> {
    do {
      this.#loadReports.push(this.#createLoadReport());
      if (this.#loadReports.length > 16) this.#loadReports.shift();
    } while (await sleep(loadReportIntervalMs, signal));
  }

  /** Runs a job to its end. */
  submitJob(request: EngineJobRequest): Promise<JobOutcome> {
    if (!this.isAlive) return Promise.resolve('lost');
    return new Promise(resolve => {
      this.#arrivalCount += 1;
      this.#waitingJobs.push({
        request,
        arrivalNumber: this.#arrivalCount,
        remainingPrefillTokens:
          request.stage === 'decode' ? 0 : request.promptTokens,
        isStarted: false,
        heldKvTokens: 0,
        remainingOutputTokens:
          request.stage === 'prefill' ? 0 : request.outputTokens,
        lastTokenAtMs: 0,
        completeJob: resolve,
      });
      this.#waitingJobs.sort(compareJobs);
      this.#startStepping();
    });
  }

  /** Prompt tokens that it would have to fetch from another engine. */
  countMissingTokens(promptTokens: number, pieces: readonly string[]): number {
    return Math.max(
      0,
      promptTokens - this.#prefixCache.touchPrefix(pieces) * prefixBlockTokens,
    );
  }

  /** Breaks off everything for good. */
  failPermanently(): void {
    this.isAlive = false;
    this.isAvailable = false;
    for (const job of [...this.#waitingJobs, ...this.#decodingJobs])
      job.completeJob('lost');
    this.#waitingJobs = [];
    this.#decodingJobs = [];
  }

  /** Drains, is away for a while and returns in the other role. */
  async changeRole(role: EngineRole, awayMs: number): Promise<void> {
    this.isAvailable = false;
    while (this.isAlive && this.#jobCount > 0) await sleep(drainPollIntervalMs);
    await sleep(awayMs);
    this.#prefixCache.clearBlocks();
    this.role = role;
    this.isAvailable = this.isAlive;
    this.roleStartedAtMs = Date.now();
  }

  override getLoadReport(): Promise<Either<Failure, LoadReport>> {
    if (!this.isAlive)
      return Promise.resolve(Left(createEngineLostFailure(this.name)));
    const { minReportLagMs: minLagMs, maxReportLagMs: maxLagMs } =
      this.#costModel;
    const lagMs = minLagMs + this.#random() * (maxLagMs - minLagMs);
    const newest = Date.now() - lagMs;
    const report = this.#loadReports.findLast(each => each.atMs <= newest);
    const known = report ?? this.#loadReports[0] ?? this.#createLoadReport();
    return Promise.resolve(Right(known));
  }

  override listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>> {
    if (!this.isAlive)
      return Promise.resolve(Left(createEngineLostFailure(this.name)));
    const events = this.#prefixCache
      .listEventsAfter(after)
      .filter(() => this.#random() >= this.#costModel.lostCacheEventShare);
    return Promise.resolve(Right(events));
  }

  override probeHealth(): Promise<Either<Failure, void>> {
    return Promise.resolve(
      this.isAlive
        ? Right(undefined)
        : Left(createEngineLostFailure(this.name)),
    );
  }

  override resetConnections(): void {
    return;
  }

  override generate(): AsyncIterable<StreamItem> {
    throw createUnsupportedFailure();
  }

  override resumeStream(): AsyncIterable<StreamItem> {
    throw createUnsupportedFailure();
  }

  override cancelGeneration(): Promise<Either<Failure, void>> {
    return Promise.resolve(Left(createUnsupportedFailure()));
  }

  override sendCommand(): Promise<Either<Failure, never>> {
    return Promise.resolve(Left(createUnsupportedFailure()));
  }

  override getCommandStatus(): Promise<Either<Failure, never>> {
    return Promise.resolve(Left(createUnsupportedFailure()));
  }

  override exportStream(): Promise<Either<Failure, void>> {
    return Promise.resolve(Left(createUnsupportedFailure()));
  }

  get #jobCount(): number {
    return this.#waitingJobs.length + this.#decodingJobs.length;
  }

  #createLoadReport(): LoadReport {
    const { kvCacheTokens: cacheTokens, maxSequences: slots } = this.#costModel;
    const prefillTokens = this.#waitingJobs.reduce(
      (sum, job) => sum + job.remainingPrefillTokens,
      0,
    );
    const started = this.#waitingJobs.filter(job => job.isStarted).length;
    return {
      atMs: Date.now(),
      role: this.role,
      models: [replayModelId],
      accepting: this.isAvailable,
      leaving: false,
      running: this.#decodingJobs.length + started,
      queued: this.#waitingJobs.length - started,
      prefillTokens,
      cacheUse: Math.min(1, this.#heldKvTokens / cacheTokens),
      slots,
    };
  }

  #startStepping(): void {
    if (this.#isStepping) return;
    this.#isStepping = true;
    void this.#runSteps();
  }

  /** Runs one step after another while there is work. */
  async #runSteps(): Promise<void> {
    while (this.#jobCount > 0) {
      this.#dropLateJobs();
      const batch = this.#choosePrefillBatch();
      await sleep(Math.max(minStepMs, this.#computeStepMs(batch.tokens)));
      if (!this.isAlive) break;
      this.#emitTokens();
      this.#finishPrefills(batch.done);
    }
    this.#isStepping = false;
  }

  /** Callers whose deadline passed cancel their streams. */
  #dropLateJobs(): void {
    const now = Date.now();
    const late = (job: EngineJob) => job.request.deadlineAtMs <= now;
    for (const job of [...this.#waitingJobs, ...this.#decodingJobs].filter(
      late,
    )) {
      this.#heldKvTokens -= job.heldKvTokens;
      job.completeJob('late');
    }
    this.#waitingJobs = this.#waitingJobs.filter(job => !late(job));
    this.#decodingJobs = this.#decodingJobs.filter(job => !late(job));
  }

  #computeStepMs(prefillTokens: number): number {
    const model = this.#costModel;
    const decodes = this.#decodingJobs.length;
    const prefillMs = (prefillTokens / model.prefillTokensPerSecond) * 1_000;
    if (decodes === 0) return prefillMs;
    const decodeMs = model.decodeStepMs + model.decodeMsPerSequence * decodes;
    return decodeMs + prefillMs * model.mixedPrefillFactor;
  }

  /** Fills the chunk of this step with the first waiting jobs. */
  #choosePrefillBatch(): {
    readonly tokens: number;
    readonly done: EngineJob[];
  } {
    const { mixedChunkTokens, prefillChunkTokens } = this.#costModel;
    const decodes = this.#decodingJobs.length > 0;
    const chunk = decodes ? mixedChunkTokens : prefillChunkTokens;
    const done: EngineJob[] = [];
    let left = chunk;
    for (const job of this.#waitingJobs) {
      if (left <= 0) break;
      if (!job.isStarted && !this.#startJob(job)) break;
      const taken = Math.min(left, job.remainingPrefillTokens);
      job.remainingPrefillTokens -= taken;
      left -= taken;
      if (job.remainingPrefillTokens === 0) done.push(job);
    }
    return { tokens: chunk - left, done };
  }

  /** Gives the job a slot and memory, and looks up its cached prefix. */
  #startJob(job: EngineJob): boolean {
    const { kvCacheTokens: cacheTokens, maxSequences: slots } = this.#costModel;
    const started = this.#waitingJobs.filter(each => each.isStarted).length;
    if (this.#decodingJobs.length + started >= slots) return false;
    const { blocks: pieces, promptTokens, outputTokens } = job.request;
    const cachedTokens =
      this.#prefixCache.touchPrefix(pieces) * prefixBlockTokens;
    const heldTokens = promptTokens - cachedTokens + outputTokens;
    const needed = this.#heldKvTokens + heldTokens;
    if (needed > cacheTokens && this.#heldKvTokens > 0) return false;
    job.isStarted = true;
    job.heldKvTokens = heldTokens;
    this.#heldKvTokens = needed;
    this.#prefixCache.evictToTokens(Math.max(0, cacheTokens - needed));
    if (job.request.stage !== 'decode') {
      job.remainingPrefillTokens = Math.max(
        1,
        job.remainingPrefillTokens - cachedTokens,
      );
    }
    return true;
  }

  #emitTokens(): void {
    const now = Date.now();
    for (const job of this.#decodingJobs) {
      job.remainingOutputTokens -= 1;
      job.request.onTokenGap?.(now - job.lastTokenAtMs);
      job.lastTokenAtMs = now;
      if (job.remainingOutputTokens <= 0) this.#finishJob(job);
    }
    this.#decodingJobs = this.#decodingJobs.filter(
      job => job.remainingOutputTokens > 0,
    );
  }

  #finishPrefills(done: readonly EngineJob[]): void {
    if (done.length === 0) return;
    this.#waitingJobs = this.#waitingJobs.filter(job => !done.includes(job));
    for (const job of done) {
      this.#prefixCache.storeBlocks(job.request.blocks);
      if (job.request.stage === 'prefill') {
        this.#finishJob(job);
        continue;
      }
      job.remainingOutputTokens -= 1;
      job.lastTokenAtMs = Date.now();
      job.request.onFirstToken?.();
      if (job.remainingOutputTokens <= 0) this.#finishJob(job);
      else this.#decodingJobs.push(job);
    }
    const free = this.#costModel.kvCacheTokens - this.#heldKvTokens;
    this.#prefixCache.evictToTokens(Math.max(0, free));
  }

  #finishJob(job: EngineJob): void {
    this.#heldKvTokens -= job.heldKvTokens;
    job.completeJob('done');
  }
}

const createEngineLostFailure = (name: string) =>
  new Failure('target_failed', `${name} is lost`);

const createUnsupportedFailure = () =>
  new Failure('internal', 'the replay does not use this call');
