/**
 * An engine client whose engine is simulated in the same process, for tests
 * with a fake clock.
 */
import { Engine, Failure, sleep } from '@medlarlever/core';
import type {
  CacheEvent,
  GenerationTask,
  LoadReport,
  EngineCommand,
  EngineCommandStatus,
  StreamItem,
} from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { reorderChunks } from '../shared/reorder-chunks.js';
import { StreamQueue } from '../shared/stream-queue.js';

import { EngineSimulator } from './engine-simulator.js';
import type { ExportedCache } from './engine-simulator.js';
import type { EngineFaults, EngineOptions } from './engine-settings.js';
import type { GenerationJob } from './generation-job.js';

/**
 * Settings of the simulated engine, its data centre and incarnation, and the
 * engines from which it can import KV caches.
 */
export type FakeEngineOptions = EngineOptions & {
  readonly dataCenter?: string;
  readonly incarnation?: number;
  /**
   * Engines by address, from which KV caches are imported; the engine adds
   * itself.
   */
  readonly enginesByAddress?: Map<string, FakeEngine>;
};

/** Milliseconds after which a call to a hanging engine fails. */
const callTimeoutMs = 2_000;

const createTargetFailure = (
  executed: 'no' | 'unknown',
  message: string,
): Failure => new Failure('target_failed', message, { executed });

/** The connection of one stream. */
interface Connection {
  readonly queue: StreamQueue<StreamItem>;
  isSilent: boolean;
}

/** Calls the simulated engine directly and injects connection faults. */
export class FakeEngine extends Engine {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly simulator: EngineSimulator;
  /** Number of calls that this engine received, by kind. */
  readonly callCounts = {
    generate: 0,
    resume: 0,
    cancel: 0,
    order: 0,
    probe: 0,
  };
  readonly #connections = new Set<Connection>();

  constructor(readonly options: FakeEngineOptions = {}) {
    super();
    this.simulator = new EngineSimulator(options, {
      importCache: from => Promise.resolve(this.#findExportedCache(from)),
    });
    this.name = this.simulator.settings.name;
    this.incarnation = `${this.name}#${options.incarnation ?? 1}`;
    this.dataCenter = options.dataCenter ?? 'dc-1';
    this.address = `${this.name}:80`;
    options.enginesByAddress?.set(this.address, this);
  }

  get faults(): EngineFaults {
    return this.simulator.faults;
  }

  /** Ids of the generations that were started, in order of their start. */
  get startedGenerationIds(): readonly string[] {
    return this.simulator.startedGenerationIds;
  }

  /** Crashes the simulated engine. */
  crash(): void {
    this.simulator.crash();
  }

  /** Open streams deliver nothing from now on; new streams work. */
  silenceStreams(): void {
    for (const connection of this.#connections) connection.isSilent = true;
  }

  /** Creates the next incarnation of a crashed engine, with empty state. */
  restart(): FakeEngine {
    const incarnation = (this.options.incarnation ?? 1) + 1;
    return new FakeEngine({ ...this.options, incarnation });
  }

  override async *generate(
    generation: GenerationTask,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    this.callCounts.generate += 1;
    if (this.simulator.hasCrashed) {
      yield {
        kind: 'failure',
        failure: this.#createConnectionRefusedFailure(),
      };
      return;
    }
    yield* this.#streamJob(
      this.simulator.submitGeneration(generation),
      -1,
      signal,
    );
  }

  override async *resumeStream(
    id: string,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    this.callCounts.resume += 1;
    if (this.simulator.hasCrashed) {
      yield {
        kind: 'failure',
        failure: this.#createConnectionRefusedFailure(),
      };
      return;
    }
    yield* this.#streamJob(this.simulator.findGeneration(id), after, signal);
  }

  override cancelGeneration(id: string): Promise<Either<Failure, void>> {
    this.callCounts.cancel += 1;
    return this.#runCall(() => this.simulator.stopGeneration(id, 'cancelled'));
  }

  override getLoadReport(): Promise<Either<Failure, LoadReport>> {
    return this.#runCall(() => Right(this.simulator.getLoadReport()));
  }

  override listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>> {
    return this.#runCall(() => Right(this.simulator.getCacheEvents(after)));
  }

  override sendCommand(
    command: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    this.callCounts.order += 1;
    return this.#runCall(() => {
      const status = this.simulator.commandExecutor.submitCommand(command);
      if (this.faults.loseOrderAnswers === 0) return status;
      this.faults.loseOrderAnswers -= 1;
      return Left(
        createTargetFailure('unknown', 'the answer to the order was lost'),
      );
    });
  }

  override getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.#runCall(() => this.simulator.commandExecutor.getStatus(id));
  }

  override exportStream(id: string): Promise<Either<Failure, void>> {
    return this.#runCall(() => this.simulator.stopGeneration(id, 'moved'));
  }

  override async probeHealth(
    timeoutMs: number,
  ): Promise<Either<Failure, void>> {
    this.callCounts.probe += 1;
    if (this.simulator.hasCrashed)
      return Left(this.#createConnectionRefusedFailure());
    if (!this.faults.hang) return Right(undefined);
    await sleep(timeoutMs);
    return Left(
      createTargetFailure('no', 'the engine did not answer the probe'),
    );
  }

  override resetConnections(): void {
    const failure = createTargetFailure('unknown', 'the connection was closed');
    for (const { queue } of this.#connections) {
      queue.push({ kind: 'failure', failure });
      queue.end();
    }
    this.#connections.clear();
  }

  async #runCall<T>(
    call: () => Either<Failure, T>,
  ): Promise<Either<Failure, T>> {
    await Promise.resolve();
    if (this.simulator.hasCrashed)
      return Left(this.#createConnectionRefusedFailure());
    if (!this.faults.hang) return call();
    await sleep(callTimeoutMs);
    return Left(
      createTargetFailure('unknown', 'the engine did not answer the call'),
    );
  }

  async *#streamJob(
    jobResult: Either<Failure, GenerationJob>,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    const job = jobResult.extract();
    if (job instanceof Failure) {
      yield { kind: 'failure', failure: job };
      return;
    }
    const queue = new StreamQueue<StreamItem>();
    const connection: Connection = { queue, isSilent: false };
    const detach = this.#openStream(connection, job, after);
    const onAbort = () => {
      queue.close();
    };
    signal.addEventListener('abort', onAbort, { once: true });
    try {
      if (signal.aborted) return;
      const items = this.faults.reordersChunks ? reorderChunks(queue) : queue;
      for await (const item of items) yield item;
    } finally {
      detach();
      signal.removeEventListener('abort', onAbort);
    }
  }

  /**
   * Delivers chunks after index `after` and heartbeats to the connection;
   * returns a function that stops this.
   */
  #openStream(
    connection: Connection,
    job: GenerationJob,
    after: number,
  ): () => void {
    const { queue } = connection;
    const receive = (item: StreamItem) => {
      if (connection.isSilent) return;
      queue.push(item);
      if (item.kind === 'end' || item.kind === 'failure') queue.end();
    };
    this.#connections.add(connection);
    const detach = job.addListener(after, receive);
    const heartbeat = setInterval(() => {
      if (!this.faults.hang) receive({ kind: 'heartbeat' });
    }, this.simulator.settings.heartbeatMs);
    return () => {
      clearInterval(heartbeat);
      this.#connections.delete(connection);
      detach();
    };
  }

  #findExportedCache(
    from: NonNullable<GenerationTask['cacheFrom']>,
  ): ExportedCache | undefined {
    const source = this.options.enginesByAddress?.get(from.address);
    if (source === undefined || source.simulator.hasCrashed) return undefined;
    return source.simulator.exportCache(from.id);
  }

  #createConnectionRefusedFailure(): Failure {
    return createTargetFailure('no', `connection to ${this.address} refused`);
  }
}
