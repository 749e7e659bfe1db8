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

import { engineSettingsSchema, noEngineFaults } from './engine-settings.js';
import type { EngineOptions, EngineSettings } from './engine-settings.js';
import { GenerationJob } from './generation-job.js';
import type { JobRequest } from './generation-job.js';
import { LoadHistory } from './load-history.js';
import { inHalves, OrderBook } from './command-executor.js';
import { PrefixCache } from './prefix-cache.js';

/** Ended streams can be resumed this long. */
const endedMemoryMs = 60_000;

/** A prompt's KV cache as another engine exports it. */
export interface ExportedCache {
  readonly tokens: number;
}

/** Fetches an exported cache; `undefined` when it is not to be had. */
export type CacheImport = (
  from: NonNullable<JobRequest['cacheFrom']>,
) => Promise<ExportedCache | undefined>;

/** Fetches the weights of a model from the weight store. */
export type WeightLoad = (model: ModelId) => Promise<void>;

export interface EngineSurroundings {
  readonly importCache?: CacheImport;
  readonly loadWeights?: WeightLoad;
  /** Called once when a fault makes the engine crash. */
  readonly onCrash?: () => void;
}

export class EngineModel {
  readonly settings: EngineSettings;
  readonly faults = noEngineFaults();
  readonly orders: OrderBook;
  /** Every generation that began to run, by id, in order. */
  readonly executions: string[] = [];
  /** Streams cut by orders. */
  cut = 0;
  crashed = false;
  role: EngineRole;
  models: readonly ModelId[];
  readonly #cache: PrefixCache;
  readonly #jobs = new Map<string, GenerationJob>();
  #queue: GenerationJob[] = [];
  #running: GenerationJob[] = [];
  #looping = false;
  readonly #history: LoadHistory;

  constructor(
    options: EngineOptions = {},
    private readonly surroundings: EngineSurroundings = {},
  ) {
    this.settings = engineSettingsSchema.parse(options);
    const { settings } = this;
    this.role = settings.role;
    this.models = settings.models;
    this.#cache = new PrefixCache({
      capacity: settings.cachePieces,
      lagMs: settings.cacheLagMs,
      gapEvery: settings.cacheGapEvery,
    });
    this.orders = new OrderBook(settings.checksFencing, action =>
      this.#carryOut(action),
    );
    this.#history = new LoadHistory(settings.loadLagMs, this.#measure());
  }

  /** Ids of generations that are queued or running. */
  get active(): readonly string[] {
    return [...this.#queue, ...this.#running].map(job => job.request.id);
  }

  /** Admits a generation; an id that is known already is not run again. */
  submit(request: JobRequest): Either<Failure, GenerationJob> {
    const known = this.#jobs.get(request.id);
    if (known !== undefined) return Right(known);
    const refusal = this.#refusal(request);
    if (refusal !== undefined) return Left(refusal);
    const job = new GenerationJob(request);
    this.#forgetEnded();
    this.#jobs.set(request.id, job);
    this.#queue.push(job);
    this.#queue.sort((a, b) => b.request.priority - a.request.priority);
    this.#record();
    void this.#loop();
    return Right(job);
  }

  find(id: string): Either<Failure, GenerationJob> {
    const job = this.#jobs.get(id);
    if (job !== undefined) return Right(job);
    return Left(new Failure('stream_not_found', `no stream "${id}"`));
  }

  /** Ends a generation before its time. */
  stop(id: string, reason: 'cancelled' | 'moved'): Either<Failure, void> {
    return this.find(id).map(job => {
      job.finish(reason);
      this.#remove(job);
    });
  }

  /** The cache of an ended generation, for another engine. */
  export(id: string): ExportedCache | undefined {
    const job = this.#jobs.get(id);
    if (job?.prefillLeft !== 0) return undefined;
    return { tokens: job.promptTokens + job.outputTokens };
  }

  /** The load as it was some time ago. */
  load(): LoadReport {
    const { lie, leaving } = this.faults;
    return { ...this.#history.seen(), leaving, ...lie };
  }

  cacheEvents(after: number): CacheEvent[] {
    return this.#cache.events(after);
  }

  /** Loses everything, as a killed process does. */
  crash(): void {
    if (this.crashed) return;
    this.crashed = true;
    this.#queue = [];
    this.#running = [];
    const failure = new Failure('target_failed', 'the engine crashed', {
      executed: 'unknown',
    });
    for (const job of this.#jobs.values())
      job.tell({ kind: 'failure', failure });
    this.surroundings.onCrash?.();
  }

  #refusal({ model }: JobRequest): Failure | undefined {
    if (this.faults.refuse) {
      return new Failure('target_rejected', 'the engine refuses new work');
    }
    if (this.orders.busy) {
      return new Failure('target_rejected', 'the engine carries out an order');
    }
    const wanted = formatModelKey(model);
    if (this.models.some(loaded => formatModelKey(loaded) === wanted)) return;
    return new Failure('target_rejected', `model "${wanted}" is not loaded`);
  }

  async #loop(): Promise<void> {
    if (this.#looping) return;
    this.#looping = true;
    while (this.#queue.length + this.#running.length > 0) {
      await this.#step();
    }
    this.#looping = false;
  }

  async #step(): Promise<void> {
    await this.#fill();
    const { settings, faults } = this;
    const filling = this.#running.find(job => job.state === 'prefill');
    const share = Math.min(
      filling?.prefillLeft ?? 0,
      settings.prefillStepTokens,
    );
    const decoding = this.#running.filter(job => job.state === 'decode');
    const prefillMs = (share / settings.prefillTokensPerSecond) * 1_000;
    const decodeMs = decoding.length > 0 ? settings.decodeMs : 0;
    await sleep((prefillMs + decodeMs) * faults.slowFactor);
    while (faults.hang && !this.crashed) await sleep(100);
    if (this.crashed) return;
    for (const job of decoding) this.#decode(job);
    if (filling !== undefined) this.#prefill(filling, share);
    this.#record();
  }

  /** Moves queued generations into free slots. */
  async #fill(): Promise<void> {
    while (this.#running.length < this.settings.slots) {
      const job = this.#queue.shift();
      if (job === undefined) return;
      const { id, prompt } = job.request;
      this.executions.push(id);
      const { crashOn } = this.faults;
      if (crashOn !== undefined && prompt.includes(crashOn)) {
        this.crash();
        return;
      }
      this.#running.push(job);
      job.state = 'prefill';
      await this.#reuse(job);
    }
  }

  /** Takes what is cached here or elsewhere off the prefill. */
  async #reuse(job: GenerationJob): Promise<void> {
    const { prompt, model, cacheFrom } = job.request;
    const cached = this.#cache.match(prompt, model) * prefixBlockTokens;
    job.prefillLeft = Math.max(1, job.promptTokens - cached);
    if (cacheFrom === undefined) return;
    const imported = await this.surroundings.importCache?.(cacheFrom);
    if (imported === undefined) return;
    const { importTokensPerSecond } = this.settings;
    await sleep((imported.tokens / importTokensPerSecond) * 1_000);
    job.prefillLeft = 1;
  }

  #prefill(job: GenerationJob, share: number): void {
    if (job.state !== 'prefill') return;
    job.prefillLeft -= share;
    if (job.prefillLeft > 0) return;
    this.#cache.store(job.request.prompt, job.request.model);
    job.state = 'decode';
    if (job.finished) this.#finish(job);
  }

  #decode(job: GenerationJob): void {
    if (job.state !== 'decode') return;
    job.step();
    if (job.finished) this.#finish(job);
  }

  #finish(job: GenerationJob): void {
    job.finish();
    this.#remove(job);
  }

  #remove(job: GenerationJob): void {
    this.#queue = this.#queue.filter(other => other !== job);
    this.#running = this.#running.filter(other => other !== job);
    this.#record();
  }

  async #carryOut(action: EngineCommandAction): Promise<boolean> {
    this.#record();
    if (action.kind !== 'load') this.#cutStreams(action);
    const done = await this.#change(action);
    if (!done) return false;
    if (action.kind === 'role') this.role = action.role;
    if (action.kind === 'load') this.#addModel(action.model);
    if (action.kind === 'unload') this.#dropModel(action.model);
    // The book still counts the order as unfinished at this moment.
    setTimeout(() => {
      this.#record();
    }, 0);
    return true;
  }

  async #change(action: EngineCommandAction): Promise<boolean> {
    const { roleChangeMs, loadModelMs } = this.settings;
    const crashNow = this.faults.crashInOrder;
    this.faults.crashInOrder = false;
    if (crashNow) setTimeout(this.crash.bind(this), roleChangeMs / 4);
    if (action.kind === 'load' && this.surroundings.loadWeights !== undefined) {
      await this.surroundings.loadWeights(action.model);
      return !this.crashed;
    }
    const ms = action.kind === 'role' ? roleChangeMs : loadModelMs;
    return inHalves(ms * this.faults.slowFactor, () => this.crashed);
  }

  /** A role change or an unloaded model ends what runs on it. */
  #cutStreams(action: EngineCommandAction): void {
    const affected = [...this.#queue, ...this.#running].filter(
      job =>
        action.kind !== 'unload' ||
        formatModelKey(job.request.model) === formatModelKey(action.model),
    );
    this.cut += affected.length;
    for (const job of affected) {
      job.finish('cancelled');
      this.#remove(job);
    }
  }

  #addModel(model: ModelId): void {
    this.#dropModel(model);
    this.models = [...this.models, model];
  }

  #dropModel(model: ModelId): void {
    const dropped = formatModelKey(model);
    this.models = this.models.filter(
      other => formatModelKey(other) !== dropped,
    );
  }

  #forgetEnded(): void {
    const untilMs = Date.now() - endedMemoryMs;
    for (const [id, job] of this.#jobs) {
      if (job.end !== undefined && job.endedAtMs < untilMs)
        this.#jobs.delete(id);
    }
  }

  #measure(): LoadReport {
    const jobs = [...this.#queue, ...this.#running];
    return {
      atMs: Date.now(),
      role: this.role,
      models: [...this.models],
      accepting: !this.orders.busy && !this.faults.refuse,
      leaving: this.faults.leaving,
      running: this.#running.length,
      queued: this.#queue.length,
      prefillTokens: jobs.reduce((sum, job) => sum + job.prefillLeft, 0),
      cacheUse: Math.min(1, this.#cache.use),
      slots: this.settings.slots,
    };
  }

  #record(): void {
    this.#history.add(this.#measure());
  }
}
