/**
 * A simulated engine: continuous batching, priorities, prefix cache and
 * orders, moved by timers. One loop runs while there is work; each step
 * prefills one share of a prompt and decodes one token of every running
 * generation.
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

/** Ended streams can be resumed this long. */
const endedJobRetentionMs = 60_000;

/** A prompt's KV cache as another engine exports it. */
export interface ExportedCache {
  readonly tokens: number;
}

/** Fetches an exported cache; `undefined` when it is not to be had. */
export type CacheImporter = (
  from: NonNullable<JobRequest['cacheFrom']>,
) => Promise<ExportedCache | undefined>;

/** Fetches the weights of a model from the weight store. */
export type WeightLoader = (model: ModelId) => Promise<void>;

export interface EngineDependencies {
  readonly importCache?: CacheImporter;
  readonly loadWeights?: WeightLoader;
  /** Called once when a fault makes the engine crash. */
  readonly onCrash?: () => void;
}

export class EngineSimulator {
  readonly settings: EngineSettings;
  readonly faults = createEngineFaults();
  readonly commandExecutor: CommandExecutor;
  /** Every generation that began to run, by id, in order. */
  readonly startedGenerationIds: string[] = [];
  /** Streams cut by orders. */
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

  /** Ids of generations that are queued or running. */
  get activeGenerationIds(): readonly string[] {
    return [...this.#queuedJobs, ...this.#runningJobs].map(
      job => job.request.id,
    );
  }

  /** Admits a generation; an id that is known already is not run again. */
  submitGeneration(request: JobRequest): Either<Failure, GenerationJob> {
    const known = this.#jobs.get(request.id);
    if (known !== undefined) return Right(known);
    const refusal = this.#checkAdmission(request);
    if (refusal !== undefined) return Left(refusal);
    const job = new GenerationJob(request);
    this.#removeExpiredJobs();
    this.#jobs.set(request.id, job);
    this.#queuedJobs.push(job);
    this.#queuedJobs.sort((a, b) => b.request.priority - a.request.priority);
    this.#recordLoad();
    void this.#runSteps();
    return Right(job);
  }

  findGeneration(id: string): Either<Failure, GenerationJob> {
    const job = this.#jobs.get(id);
    if (job !== undefined) return Right(job);
    return Left(new Failure('stream_not_found', `no stream "${id}"`));
  }

  /** Ends a generation before its time. */
  stopGeneration(
    id: string,
    reason: 'cancelled' | 'moved',
  ): Either<Failure, void> {
    return this.findGeneration(id).map(job => {
      job.finishStream(reason);
      this.#removeJob(job);
    });
  }

  /** The cache of an ended generation, for another engine. */
  exportCache(id: string): ExportedCache | undefined {
    const job = this.#jobs.get(id);
    if (job?.remainingPrefillTokens !== 0) return undefined;
    return { tokens: job.promptTokens + job.outputTokens };
  }

  /** The load as it was some time ago. */
  getLoadReport(): LoadReport {
    const { lie, leaving } = this.faults;
    return { ...this.#loadHistory.getVisibleReport(), leaving, ...lie };
  }

  getCacheEvents(after: number): CacheEvent[] {
    return this.#prefixCache.getEvents(after);
  }

  /** Loses everything, as a killed process does. */
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
      return new Failure('target_rejected', 'the engine refuses new work');
    }
    if (this.commandExecutor.isBusy) {
      return new Failure('target_rejected', 'the engine carries out an order');
    }
    const wanted = formatModelKey(model);
    if (this.models.some(loaded => formatModelKey(loaded) === wanted)) return;
    return new Failure('target_rejected', `model "${wanted}" is not loaded`);
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
    const filling = this.#runningJobs.find(job => job.state === 'prefill');
    const share = Math.min(
      filling?.remainingPrefillTokens ?? 0,
      settings.prefillStepTokens,
    );
    const decoding = this.#runningJobs.filter(job => job.state === 'decode');
    const prefillMs = (share / settings.prefillTokensPerSecond) * 1_000;
    const decodeMs = decoding.length > 0 ? settings.decodeMs : 0;
    await sleep((prefillMs + decodeMs) * faults.slowFactor);
    while (faults.hang && !this.hasCrashed) await sleep(100);
    if (this.hasCrashed) return;
    for (const job of decoding) this.#decodeToken(job);
    if (filling !== undefined) this.#prefillJob(filling, share);
    this.#recordLoad();
  }

  /** Moves queued generations into free slots. */
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

  /** Takes what is cached here or elsewhere off the prefill. */
  async #reuseCachedPrefix(job: GenerationJob): Promise<void> {
    const { prompt, model, cacheFrom } = job.request;
    const cached =
      this.#prefixCache.matchPrefix(prompt, model) * prefixBlockTokens;
    job.remainingPrefillTokens = Math.max(1, job.promptTokens - cached);
    if (cacheFrom === undefined) return;
    const imported = await this.dependencies.importCache?.(cacheFrom);
    if (imported === undefined) return;
    const { importTokensPerSecond } = this.settings;
    await sleep((imported.tokens / importTokensPerSecond) * 1_000);
    job.remainingPrefillTokens = 1;
  }

  #prefillJob(job: GenerationJob, share: number): void {
    if (job.state !== 'prefill') return;
    job.remainingPrefillTokens -= share;
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
    const done = await this.#waitForCommandDuration(action);
    if (!done) return false;
    if (action.kind === 'role') this.role = action.role;
    if (action.kind === 'load') this.#addModel(action.model);
    if (action.kind === 'unload') this.#removeModel(action.model);
    // The book still counts the order as unfinished at this moment.
    setTimeout(() => {
      this.#recordLoad();
    }, 0);
    return true;
  }

  async #waitForCommandDuration(action: EngineCommandAction): Promise<boolean> {
    const { roleChangeMs, loadModelMs } = this.settings;
    const crashNow = this.faults.crashInOrder;
    this.faults.crashInOrder = false;
    if (crashNow) setTimeout(this.crash.bind(this), roleChangeMs / 4);
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

  /** A role change or an unloaded model ends what runs on it. */
  #cancelAffectedStreams(action: EngineCommandAction): void {
    const affected = [...this.#queuedJobs, ...this.#runningJobs].filter(
      job =>
        action.kind !== 'unload' ||
        formatModelKey(job.request.model) === formatModelKey(action.model),
    );
    this.cancelledStreamCount += affected.length;
    for (const job of affected) {
      job.finishStream('cancelled');
      this.#removeJob(job);
    }
  }

  #addModel(model: ModelId): void {
    this.#removeModel(model);
    this.models = [...this.models, model];
  }

  #removeModel(model: ModelId): void {
    const dropped = formatModelKey(model);
    this.models = this.models.filter(
      other => formatModelKey(other) !== dropped,
    );
  }

  #removeExpiredJobs(): void {
    const untilMs = Date.now() - endedJobRetentionMs;
    for (const [id, job] of this.#jobs) {
      if (job.streamEnd !== undefined && job.endedAtMs < untilMs)
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
