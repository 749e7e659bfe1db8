/**
 * Polls the load report and the cache events of each engine periodically, with
 * one task per engine.
 */
import type { TargetDirectory } from '../membership/target-directory.js';
import { addJitter, sleep } from '../shared/time.js';
import type { Engine } from '../target/target.js';

import type { LoadEstimator } from './load-estimator.js';
import type { PrefixIndex } from './prefix-index.js';

export interface LoadPollerOptions {
  readonly directory: TargetDirectory;
  readonly loadEstimator: LoadEstimator;
  readonly prefixIndex: PrefixIndex;
  readonly random: () => number;
  /** Polling interval for engines in this data centre, in milliseconds. */
  readonly intervalMs?: number;
  /** Polling interval for engines in other data centres, in milliseconds. */
  readonly remoteIntervalMs?: number;
  /**
   * Maximum number of polls per second of this instance over all engines; with
   * many engines the intervals become longer.
   */
  readonly maxPollsPerSecond?: number;
}

interface PollTask {
  readonly incarnation: string;
  readonly abortController: AbortController;
  readonly finished: Promise<void>;
}

/**
 * Runs the polling tasks and keeps the load estimator and prefix index current.
 */
export class LoadPoller {
  readonly #options: LoadPollerOptions;
  readonly #intervalMs: number;
  readonly #remoteIntervalMs: number;
  readonly #maxPollsPerSecond: number;
  readonly #tasks = new Map<string, PollTask>();

  constructor(options: LoadPollerOptions) {
    this.#options = options;
    this.#intervalMs = options.intervalMs ?? 500;
    this.#remoteIntervalMs = options.remoteIntervalMs ?? 2_000;
    this.#maxPollsPerSecond = options.maxPollsPerSecond ?? 40;
  }

  /**
   * Polls all engines in the directory until the signal aborts, then waits
   * until the polls in progress have ended.
   */
  async run(signal: AbortSignal): Promise<void> {
    do this.#syncTasks();
    while (
      await sleep(addJitter(this.#intervalMs, this.#options.random), signal)
    );
    const runningTasks = [...this.#tasks.values()];
    for (const name of [...this.#tasks.keys()]) this.#stopTask(name);
    await Promise.all(runningTasks.map(task => task.finished));
  }

  /**
   * Starts a task for each new engine incarnation and stops the tasks of
   * incarnations that the directory no longer lists.
   */
  #syncTasks(): void {
    const engines = new Map<string, Engine>();
    const remoteNames = new Set<string>();
    for (const { target, isLocal } of this.#options.directory.listEngines()) {
      engines.set(target.name, target);
      if (!isLocal) remoteNames.add(target.name);
    }
    for (const [name, task] of this.#tasks) {
      if (engines.get(name)?.incarnation !== task.incarnation) {
        this.#stopTask(name);
      }
    }
    for (const [name, engine] of engines) {
      if (this.#tasks.has(name)) continue;
      const periodMs = remoteNames.has(name)
        ? this.#remoteIntervalMs
        : this.#intervalMs;
      this.#startTask(engine, periodMs);
    }
  }

  #startTask(engine: Engine, periodMs: number): void {
    const abortController = new AbortController();
    const finished = this.#pollPeriodically(
      engine,
      periodMs,
      abortController.signal,
    );
    this.#tasks.set(engine.name, {
      incarnation: engine.incarnation,
      abortController,
      finished,
    });
  }

  /**
   * Stops the task and removes the stored state of an engine that left or
   * restarted, because its load and its cache contents are no longer valid.
   */
  #stopTask(name: string): void {
    this.#tasks.get(name)?.abortController.abort();
    this.#tasks.delete(name);
    this.#options.loadEstimator.removeEngine(name);
    this.#options.prefixIndex.removeEngine(name);
  }

  async #pollPeriodically(
    engine: Engine,
    periodMs: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { random } = this.#options;
    do await this.#pollOnce(engine, signal);
    while (
      await sleep(addJitter(this.#computePeriodMs(periodMs), random), signal)
    );
  }

  #computePeriodMs(periodMs: number): number {
    const minPeriodMs = (this.#tasks.size / this.#maxPollsPerSecond) * 1_000;
    return Math.max(periodMs, minPeriodMs);
  }

  async #pollOnce(engine: Engine, signal: AbortSignal): Promise<void> {
    const { loadEstimator, directory, prefixIndex } = this.#options;
    const [load, events] = await Promise.all([
      engine.getLoadReport(),
      engine.listCacheEvents(prefixIndex.getLastSequence(engine.name)),
    ]);
    if (signal.aborted) return;
    load.ifRight(report => {
      loadEstimator.recordReport(engine.name, report);
      if (report.leaving) directory.markLeaving(engine.name, 'target');
    });
    events.ifRight(cacheEvents => {
      prefixIndex.applyEvents(engine.name, cacheEvents);
    });
  }
}
