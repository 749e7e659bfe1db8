/**
 * A simulated engine: continuous batching with chunked prefill, a prefix cache,
 * lagging load reports and slow role changes. Times are milliseconds of
 * `Date.now()`, which a replay fakes.
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

/** The only model of a replay; every engine serves it. */
export const replayModelId: ModelId = { name: 'replay', version: '1' };

/** Identity and cost model of a simulated engine. */
export interface ReplayEngineOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly role: EngineRole;
  readonly costModel: EngineCostModel;
  readonly random: () => number;
}

/** Minimum duration of a batch step. */
const minStepMs = 5;
const loadReportIntervalMs = 250;
const drainPollIntervalMs = 50;

/** Engine that simulates the duration of jobs and generates no text. */
export class ReplayEngine extends Engine {
  override readonly name: string;
  override readonly incarnation: string;
  override readonly dataCenter: string;
  override readonly address: string;
  role: EngineRole;
  /** False while a role change is in progress and after a failure. */
  isAvailable = true;
  /** False after `failPermanently`. */
  isAlive = true;
  /** End of the latest role change; -Infinity if there was none. */
  roleStartedAtMs = -Infinity;
  readonly #costModel: EngineCostModel;
  readonly #random: () => number;
  readonly #prefixCache = new PrefixCache();
  readonly #loadReports: LoadReport[] = [];
  /** Jobs before the end of their prefill, in the order of `compareJobs`. */
  #waitingJobs: EngineJob[] = [];
  #decodingJobs: EngineJob[] = [];
  /** KV cache tokens reserved for started jobs, without cached prefix blocks. */
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

  /** Records load reports periodically, so that `getLoadReport` can lag. */
  async recordLoadPeriodically(signal: AbortSignal): Promise<void> {
    do {
      this.#loadReports.push(this.#createLoadReport());
      if (this.#loadReports.length > 16) this.#loadReports.shift();
    } while (await sleep(loadReportIntervalMs, signal));
  }

  /** Queues a job and resolves with its outcome. */
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

  /** Counts the prompt tokens that are not in the prefix cache. */
  countMissingTokens(
    promptTokens: number,
    prefixBlocks: readonly string[],
  ): number {
    return Math.max(
      0,
      promptTokens -
        this.#prefixCache.touchPrefix(prefixBlocks) * prefixBlockTokens,
    );
  }

  /** Fails the engine: all its jobs end as `lost` and later ones are rejected. */
  failPermanently(): void {
    this.isAlive = false;
    this.isAvailable = false;
    for (const job of [...this.#waitingJobs, ...this.#decodingJobs])
      job.completeJob('lost');
    this.#waitingJobs = [];
    this.#decodingJobs = [];
  }

  /**
   * Drains the engine, waits `changeMs` milliseconds, clears the prefix cache and
   * accepts jobs in the new role.
   */
  async changeRole(role: EngineRole, changeMs: number): Promise<void> {
    this.isAvailable = false;
    while (this.isAlive && this.#jobCount > 0) await sleep(drainPollIntervalMs);
    await sleep(changeMs);
    this.#prefixCache.clearBlocks();
    this.role = role;
    this.isAvailable = this.isAlive;
    this.roleStartedAtMs = Date.now();
  }

  override getLoadReport(): Promise<Either<Failure, LoadReport>> {
    if (!this.isAlive)
      return Promise.resolve(Left(createEngineLostFailure(this.name)));
    const { minReportLagMs, maxReportLagMs } = this.#costModel;
    const lagMs =
      minReportLagMs + this.#random() * (maxReportLagMs - minReportLagMs);
    const latestAtMs = Date.now() - lagMs;
    const report = this.#loadReports.findLast(
      candidate => candidate.atMs <= latestAtMs,
    );
    const availableReport =
      report ?? this.#loadReports[0] ?? this.#createLoadReport();
    return Promise.resolve(Right(availableReport));
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
    const { kvCacheTokens, maxSequences } = this.#costModel;
    const prefillTokens = this.#waitingJobs.reduce(
      (sum, job) => sum + job.remainingPrefillTokens,
      0,
    );
    const startedCount = this.#waitingJobs.filter(job => job.isStarted).length;
    return {
      atMs: Date.now(),
      role: this.role,
      models: [replayModelId],
      accepting: this.isAvailable,
      leaving: false,
      running: this.#decodingJobs.length + startedCount,
      queued: this.#waitingJobs.length - startedCount,
      prefillTokens,
      cacheUse: Math.min(1, this.#heldKvTokens / kvCacheTokens),
      slots: maxSequences,
    };
  }

  #startStepping(): void {
    if (this.#isStepping) return;
    this.#isStepping = true;
    void this.#runSteps();
  }

  /** Runs batch steps while there are jobs. */
  async #runSteps(): Promise<void> {
    while (this.#jobCount > 0) {
      this.#dropLateJobs();
      const batch = this.#choosePrefillBatch();
      await sleep(Math.max(minStepMs, this.#computeStepMs(batch.tokens)));
      if (!this.isAlive) break;
      this.#emitTokens();
      this.#finishPrefills(batch.finishedPrefills);
    }
    this.#isStepping = false;
  }

  /** Ends the jobs whose deadline has passed, as their callers cancel them. */
  #dropLateJobs(): void {
    const now = Date.now();
    const isLate = (job: EngineJob) => job.request.deadlineAtMs <= now;
    for (const job of [...this.#waitingJobs, ...this.#decodingJobs].filter(
      isLate,
    )) {
      this.#heldKvTokens -= job.heldKvTokens;
      job.completeJob('late');
    }
    this.#waitingJobs = this.#waitingJobs.filter(job => !isLate(job));
    this.#decodingJobs = this.#decodingJobs.filter(job => !isLate(job));
  }

  #computeStepMs(prefillTokens: number): number {
    const model = this.#costModel;
    const decodingCount = this.#decodingJobs.length;
    const prefillMs = (prefillTokens / model.prefillTokensPerSecond) * 1_000;
    if (decodingCount === 0) return prefillMs;
    const decodeMs =
      model.decodeStepMs + model.decodeMsPerSequence * decodingCount;
    return decodeMs + prefillMs * model.mixedPrefillFactor;
  }

  /**
   * Assigns the prefill tokens of this step to the first waiting jobs. Returns
   * the assigned tokens and the jobs whose prefill ends with this step.
   */
  #choosePrefillBatch(): {
    readonly tokens: number;
    readonly finishedPrefills: EngineJob[];
  } {
    const { mixedChunkTokens, prefillChunkTokens } = this.#costModel;
    const isDecoding = this.#decodingJobs.length > 0;
    const chunkTokens = isDecoding ? mixedChunkTokens : prefillChunkTokens;
    const finishedPrefills: EngineJob[] = [];
    let remainingTokens = chunkTokens;
    for (const job of this.#waitingJobs) {
      if (remainingTokens <= 0) break;
      if (!job.isStarted && !this.#startJob(job)) break;
      const jobTokens = Math.min(remainingTokens, job.remainingPrefillTokens);
      job.remainingPrefillTokens -= jobTokens;
      remainingTokens -= jobTokens;
      if (job.remainingPrefillTokens === 0) finishedPrefills.push(job);
    }
    return { tokens: chunkTokens - remainingTokens, finishedPrefills };
  }

  /**
   * Assigns a batch slot and KV cache memory to the job and subtracts its cached
   * prefix. Returns false if there is no free slot or not enough memory.
   */
  #startJob(job: EngineJob): boolean {
    const { kvCacheTokens, maxSequences } = this.#costModel;
    const startedCount = this.#waitingJobs.filter(
      waiting => waiting.isStarted,
    ).length;
    if (this.#decodingJobs.length + startedCount >= maxSequences) return false;
    const { blocks: prefixBlocks, promptTokens, outputTokens } = job.request;
    const cachedTokens =
      this.#prefixCache.touchPrefix(prefixBlocks) * prefixBlockTokens;
    const heldKvTokens = promptTokens - cachedTokens + outputTokens;
    const requiredKvTokens = this.#heldKvTokens + heldKvTokens;
    if (requiredKvTokens > kvCacheTokens && this.#heldKvTokens > 0)
      return false;
    job.isStarted = true;
    job.heldKvTokens = heldKvTokens;
    this.#heldKvTokens = requiredKvTokens;
    this.#prefixCache.evictToTokens(
      Math.max(0, kvCacheTokens - requiredKvTokens),
    );
    if (job.request.stage !== 'decode') {
      job.remainingPrefillTokens = Math.max(
        1,
        job.remainingPrefillTokens - cachedTokens,
      );
    }
    return true;
  }

  /** Emits one token of each decoding job. */
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

  /** Emits the first token of each prefilled job, or ends a prefill-only job. */
  #finishPrefills(finishedPrefills: readonly EngineJob[]): void {
    if (finishedPrefills.length === 0) return;
    this.#waitingJobs = this.#waitingJobs.filter(
      job => !finishedPrefills.includes(job),
    );
    for (const job of finishedPrefills) {
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
    const freeTokens = this.#costModel.kvCacheTokens - this.#heldKvTokens;
    this.#prefixCache.evictToTokens(Math.max(0, freeTokens));
  }

  #finishJob(job: EngineJob): void {
    this.#heldKvTokens -= job.heldKvTokens;
    job.completeJob('done');
  }
}

const createEngineLostFailure = (name: string) =>
  new Failure(
    'target_failed',
    `engine ${name} has failed; its loss is part of the trace`,
  );

const createUnsupportedFailure = () =>
  new Failure(
    'internal',
    'a replay engine supports only submitJob, loads and cache events',
  );
