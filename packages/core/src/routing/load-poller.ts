/** Keeps load reports and cache contents current: one task for each engine. */
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
  /** Period for engines of this data centre. */
  readonly intervalMs?: number;
  /** Period for engines of other data centres. */
  readonly remoteIntervalMs?: number;
  /** Bounds the calls of an instance before many engines. */
  readonly maxPollsPerSecond?: number;
}

interface PollTask {
  readonly incarnation: string;
  readonly abortController: AbortController;
  readonly finished: Promise<void>;
}

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

  /** Polls the engines of the directory until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    do this.#syncTasks();
    while (
      await sleep(addJitter(this.#intervalMs, this.#options.random), signal)
    );
    const running = [...this.#tasks.values()];
    for (const name of [...this.#tasks.keys()]) this.#stopTask(name);
    await Promise.all(running.map(task => task.finished));
  }

  /** Starts tasks for new incarnations and ends those of the others. */
  #syncTasks(): void {
    const engines = new Map<string, Engine>();
    const remote = new Set<string>();
    for (const {
      target,
      isLocal: local,
    } of this.#options.directory.listEngines()) {
      engines.set(target.name, target);
      if (!local) remote.add(target.name);
    }
    for (const [name, task] of this.#tasks) {
      if (engines.get(name)?.incarnation !== task.incarnation) {
        this.#stopTask(name);
      }
    }
    for (const [name, engine] of engines) {
      if (this.#tasks.has(name)) continue;
      const periodMs = remote.has(name)
        ? this.#remoteIntervalMs
        : this.#intervalMs;
      this.#startTask(engine, periodMs);
    }
  }

  #startTask(engine: Engine, periodMs: number): void {
    const stopper = new AbortController();
    const done = this.#pollPeriodically(engine, periodMs, stopper.signal);
    this.#tasks.set(engine.name, {
      incarnation: engine.incarnation,
      abortController: stopper,
      finished: done,
    });
  }

  /** What is known of an engine that left or restarted holds no more. */
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
    const sparedMs = (this.#tasks.size / this.#maxPollsPerSecond) * 1_000;
    return Math.max(periodMs, sparedMs);
  }

  async #pollOnce(engine: Engine, signal: AbortSignal): Promise<void> {
    const {
      loadEstimator: book,
      directory,
      prefixIndex: prefixes,
    } = this.#options;
    const [load, events] = await Promise.all([
      engine.getLoadReport(),
      engine.listCacheEvents(prefixes.getLastSequence(engine.name)),
    ]);
    if (signal.aborted) return;
    load.ifRight(report => {
      book.recordReport(engine.name, report);
      if (report.leaving) directory.markLeaving(engine.name, 'target');
    });
    events.ifRight(list => {
      prefixes.applyEvents(engine.name, list);
    });
  }
}
