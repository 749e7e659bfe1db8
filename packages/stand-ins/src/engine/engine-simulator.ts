/**
 * A simulated inference engine with continuous batching, priorities, a prefix
 * cache and orders; timers simulate the durations. One loop runs while there are
 * generations. Each step prefills part of one prompt and decodes one token for
 * each generation in the decode phase.
 */
import {
  Failure,
  formatModelKey,
  prefixBlockTokens,
  sleep,
} from '@medlarlever/core';
import type {
  CacheEvent,
  LoadReport,
  ModelId,
  EngineCommandAction,
  EngineRole,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { engineSettingsSchema, createEngineFaults } from './engine-settings.js';
import type { EngineOptions, EngineSettings } from './engine-settings.js';
import { GenerationJob } from './generation-job.js';
import type { JobRequest } from './generation-job.js';
import { LoadHistory } from './load-history.js';
import { sleepUnlessCrashed, CommandExecutor } from './command-executor.js';
import { PrefixCache } from './prefix-cache.js';

/** Milliseconds after the end of a stream during which it can be resumed. */
const endedJobRetentionMs = 60_000;

/**
 * A KV cache that one engine exports to another: the number of cached tokens.
 */
export interface ExportedCache {
  readonly tokens: number;
}

/** Fetches an exported KV cache; `undefined` when it is not available. */
export type CacheImporter = (
  from: NonNullable<JobRequest['cacheFrom']>,
) => Promise<ExportedCache | undefined>;

/** Fetches the weights of a model from the weight store. */
export type WeightLoader = (model: ModelId) => Promise<void>;

/** External services that a simulated engine uses, all optional. */
export interface EngineDependencies {
  readonly importCache?: CacheImporter;
  readonly loadWeights?: WeightLoader;
  /** Called once when the engine crashes. */
  readonly onCrash?: () => void;
}

/** The simulated engine, without any transport. */
export class EngineSimulator {
  readonly settings: EngineSettings;
  readonly faults = createEngineFaults();
  readonly commandExecutor: CommandExecutor;
  /** Ids of the generations that were started, in order of their start. */
  readonly startedGenerationIds: string[] = [];
  /** Number of streams that orders cancelled. */
  cancelledStreamCount = 0;
  hasCrashed = false;
  role: EngineRole;
  models: readonly ModelId[];
  readonly #prefixCache: PrefixCache;
  readonly #jobs = new Map<string, GenerationJob>();
  #queuedJobs: GenerationJob[] = [];
  #runningJobs: GenerationJob[] = [];
  #isLooping = false;
  readonly #loadHistory: LoadHistory;

  constructor(
    options: EngineOptions = {},
    private readonly dependencies: EngineDependencies = {},
  ) {
    this.settings = engineSettingsSchema.parse(options);
    const { settings } = this;
    this.role = settings.role;
    this.models = settings.models;
    this.#prefixCache = new PrefixCache({
      capacityBlocks: settings.cachePieces,
      eventLagMs: settings.cacheLagMs,
      eventLossInterval: settings.cacheGapEvery,
    });
    this.commandExecutor = new CommandExecutor(settings.checksFencing, action =>
      this.#executeCommand(action),
    );
    this.#loadHistory = new LoadHistory(
      settings.loadLagMs,
      this.#createLoadReport(),
    );
  }

  /** Ids of the queued and running generations. */
  get activeGenerationIds(): readonly string[] {
    return [...this.#queuedJobs, ...this.#runningJobs].map(
      job => job.request.id,
    );
  }

  /**
   * Queues a generation. A generation with a known id is not executed again; its
   * job is returned. Fails with `target_rejected` when the engine does not admit it.
   */
  submitGeneration(request: JobRequest): Either<Failure, GenerationJob> {
    const knownJob = this.#jobs.get(request.id);
    if (knownJob !== undefined) return Right(knownJob);
    const rejection = this.#checkAdmission(request);
    if (rejection !== undefined) return Left(rejection);
    const job = new GenerationJob(request);
    this.#removeExpiredJobs();
    this.#jobs.set(request.id, job);
    this.#queuedJobs.push(job);
    this.#queuedJobs.sort((a, b) => b.request.priority - a.request.priority);
    this.#recordLoad();
    void this.#runSteps();
    return Right(job);
  }

  /** Returns the job with this id, or `stream_not_found`. */
  findGeneration(id: string): Either<Failure, GenerationJob> {
    const job = this.#jobs.get(id);
    if (job !== undefined) return Right(job);
    return Left(
      new Failure('stream_not_found', `stream "${id}" does not exist`),
    );
  }

  /** Ends a generation before it is complete. */
  stopGeneration(
    id: string,
    reason: 'cancelled' | 'moved',
  ): Either<Failure, void> {
    return this.findGeneration(id).map(job => {
      job.finishStream(reason);
      this.#removeJob(job);
    });
  }

  /**
   * Returns the KV cache of a generation whose prefill is complete, for another
   * engine.
   */
  exportCache(id: string): ExportedCache | undefined {
    const job = this.#jobs.get(id);
    if (job?.remainingPrefillTokens !== 0) return undefined;
    return { tokens: job.promptTokens + job.outputTokens };
  }

  /**
   * Returns the load `loadLagMs` ago, changed by the faults `lie` and
   * `leaving`.
   */
  getLoadReport(): LoadReport {
    const { lie, leaving } = this.faults;
    return { ...this.#loadHistory.getVisibleReport(), leaving, ...lie };
  }

  /** Returns the visible cache events with a sequence number above `after`. */
  getCacheEvents(after: number): CacheEvent[] {
    return this.#prefixCache.getEvents(after);
  }

  /** Loses all generations, as a killed process does. */
  crash(): void {
    if (this.hasCrashed) return;
    this.hasCrashed = true;
    this.#queuedJobs = [];
    this.#runningJobs = [];
    const failure = new Failure('target_failed', 'the engine crashed', {
      executed: 'unknown',
    });
    for (const job of this.#jobs.values())
      job.notifyListeners({ kind: 'failure', failure });
    this.dependencies.onCrash?.();
  }

  #checkAdmission({ model }: JobRequest): Failure | undefined {
    if (this.faults.refuse) {
      return new Failure(
        'target_rejected',
        'the engine refuses new generations',
      );
    }
    if (this.commandExecutor.isBusy) {
      return new Failure('target_rejected', 'the engine is executing an order');
    }
    const modelKey = formatModelKey(model);
    if (this.models.some(loaded => formatModelKey(loaded) === modelKey)) return;
    return new Failure('target_rejected', `model "${modelKey}" is not loaded`);
  }

  async #runSteps(): Promise<void> {
    if (this.#isLooping) return;
    this.#isLooping = true;
    while (this.#queuedJobs.length + this.#runningJobs.length > 0) {
      await this.#runStep();
    }
    this.#isLooping = false;
  }

  async #runStep(): Promise<void> {
    await this.#admitQueuedJobs();
    const { settings, faults } = this;
    const prefillingJob = this.#runningJobs.find(
      job => job.state === 'prefill',
    );
    const stepTokens = Math.min(
      prefillingJob?.remainingPrefillTokens ?? 0,
      settings.prefillStepTokens,
    );
    const decodingJobs = this.#runningJobs.filter(
      job => job.state === 'decode',
    );
    const prefillMs = (stepTokens / settings.prefillTokensPerSecond) * 1_000;
    const decodeMs = decodingJobs.length > 0 ? settings.decodeMs : 0;
    await sleep((prefillMs + decodeMs) * faults.slowFactor);
    while (faults.hang && !this.hasCrashed) await sleep(100);
    if (this.hasCrashed) return;
    for (const job of decodingJobs) this.#decodeToken(job);
    if (prefillingJob !== undefined)
      this.#prefillJob(prefillingJob, stepTokens);
    this.#recordLoad();
  }

  /** Starts queued generations while slots are free. */
  async #admitQueuedJobs(): Promise<void> {
    while (this.#runningJobs.length < this.settings.slots) {
      const job = this.#queuedJobs.shift();
      if (job === undefined) return;
      const { id, prompt } = job.request;
      this.startedGenerationIds.push(id);
      const { crashOn } = this.faults;
      if (crashOn !== undefined && prompt.includes(crashOn)) {
        this.crash();
        return;
      }
      this.#runningJobs.push(job);
      job.state = 'prefill';
      await this.#reuseCachedPrefix(job);
    }
  }

  /**
   * Reduces the prefill by the cached prefix of the prompt and by an imported
   * KV cache.
   */
  async #reuseCachedPrefix(job: GenerationJob): Promise<void> {
    const { prompt, model, cacheFrom } = job.request;
    const cachedTokens =
      this.#prefixCache.matchPrefix(prompt, model) * prefixBlockTokens;
    job.remainingPrefillTokens = Math.max(1, job.promptTokens - cachedTokens);
    if (cacheFrom === undefined) return;
    const importedCache = await this.dependencies.importCache?.(cacheFrom);
    if (importedCache === undefined) return;
    const { importTokensPerSecond } = this.settings;
    await sleep((importedCache.tokens / importTokensPerSecond) * 1_000);
    job.remainingPrefillTokens = 1;
  }

  #prefillJob(job: GenerationJob, stepTokens: number): void {
    if (job.state !== 'prefill') return;
    job.remainingPrefillTokens -= stepTokens;
    if (job.remainingPrefillTokens > 0) return;
    this.#prefixCache.storePrompt(job.request.prompt, job.request.model);
    job.state = 'decode';
    if (job.isFinished) this.#finishJob(job);
  }

  #decodeToken(job: GenerationJob): void {
    if (job.state !== 'decode') return;
    job.generateToken();
    if (job.isFinished) this.#finishJob(job);
  }

  #finishJob(job: GenerationJob): void {
    job.finishStream();
    this.#removeJob(job);
  }

  #removeJob(job: GenerationJob): void {
    this.#queuedJobs = this.#queuedJobs.filter(other => other !== job);
    this.#runningJobs = this.#runningJobs.filter(other => other !== job);
    this.#recordLoad();
  }

  async #executeCommand(action: EngineCommandAction): Promise<boolean> {
    this.#recordLoad();
    if (action.kind !== 'load') this.#cancelAffectedStreams(action);
    const isDone = await this.#waitForCommandDuration(action);
    if (!isDone) return false;
    if (action.kind === 'role') this.role = action.role;
    if (action.kind === 'load') this.#addModel(action.model);
    if (action.kind === 'unload') this.#removeModel(action.model);
    // The command executor counts this order as running until this function returns,
    // so the load is recorded in a later turn of the event loop.
    setTimeout(() => {
      this.#recordLoad();
    }, 0);
    return true;
  }

  async #waitForCommandDuration(action: EngineCommandAction): Promise<boolean> {
    const { roleChangeMs, loadModelMs } = this.settings;
    const crashesDuringCommand = this.faults.crashInOrder;
    this.faults.crashInOrder = false;
    if (crashesDuringCommand)
      setTimeout(this.crash.bind(this), roleChangeMs / 4);
    if (action.kind === 'load' && this.dependencies.loadWeights !== undefined) {
      await this.dependencies.loadWeights(action.model);
      return !this.hasCrashed;
    }
    const ms = action.kind === 'role' ? roleChangeMs : loadModelMs;
    return sleepUnlessCrashed(
      ms * this.faults.slowFactor,
      () => this.hasCrashed,
    );
  }

  /**
   * A role change cancels all streams, unloading a model those of that model.
   */
  #cancelAffectedStreams(action: EngineCommandAction): void {
    const affectedJobs = [...this.#queuedJobs, ...this.#runningJobs].filter(
      job =>
        action.kind !== 'unload' ||
        formatModelKey(job.request.model) === formatModelKey(action.model),
    );
    this.cancelledStreamCount += affectedJobs.length;
    for (const job of affectedJobs) {
      job.finishStream('cancelled');
      this.#removeJob(job);
    }
  }

  #addModel(model: ModelId): void {
    this.#removeModel(model);
    this.models = [...this.models, model];
  }

  #removeModel(model: ModelId): void {
    const removedKey = formatModelKey(model);
    this.models = this.models.filter(
      other => formatModelKey(other) !== removedKey,
    );
  }

  #removeExpiredJobs(): void {
    const expiryMs = Date.now() - endedJobRetentionMs;
    for (const [id, job] of this.#jobs) {
      if (job.streamEnd !== undefined && job.endedAtMs < expiryMs)
        this.#jobs.delete(id);
    }
  }

  #createLoadReport(): LoadReport {
    const jobs = [...this.#queuedJobs, ...this.#runningJobs];
    return {
      atMs: Date.now(),
      role: this.role,
      models: [...this.models],
      accepting: !this.commandExecutor.isBusy && !this.faults.refuse,
      leaving: this.faults.leaving,
      running: this.#runningJobs.length,
      queued: this.#queuedJobs.length,
      prefillTokens: jobs.reduce(
        (sum, job) => sum + job.remainingPrefillTokens,
        0,
      ),
      cacheUse: Math.min(1, this.#prefixCache.utilization),
      slots: this.settings.slots,
    };
  }

  #recordLoad(): void {
    this.#loadHistory.addReport(this.#createLoadReport());
  }
}
