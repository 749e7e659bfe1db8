/** An engine in this process, for tests under a paused clock. */
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

import { disordered } from '../shared/reorder-chunks.js';
import { StreamQueue } from '../shared/stream-queue.js';

import { EngineModel } from './engine-simulator.js';
import type { ExportedCache } from './engine-simulator.js';
import type { EngineFaults, EngineOptions } from './engine-settings.js';
import type { GenerationJob } from './generation-job.js';

export type FakeEngineOptions = EngineOptions & {
  readonly dataCenter?: string;
  readonly incarnation?: number;
  /** Where the caches of the other engines are found, by address. */
  readonly neighbours?: Map<string, FakeEngine>;
};

/** A call to a hanging engine gives up after this. */
const callTimeoutMs = 2_000;

const failureOf = (executed: 'no' | 'unknown', message: string): Failure =>
  new Failure('target_failed', message, { executed });

interface Connection {
  readonly queue: StreamQueue<StreamItem>;
  silent: boolean;
}

export class FakeEngine extends Engine {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCenter: string;
  readonly address: string;
  readonly model: EngineModel;
  /** Generations, resumes and orders that this engine was sent. */
  readonly calls = { generate: 0, resume: 0, cancel: 0, order: 0, probe: 0 };
  readonly #connections = new Set<Connection>();

  constructor(readonly options: FakeEngineOptions = {}) {
    super();
    this.model = new EngineModel(options, {
      importCache: from => Promise.resolve(this.#importCache(from)),
    });
    this.name = this.model.settings.name;
    this.incarnation = `${this.name}#${options.incarnation ?? 1}`;
    this.dataCenter = options.dataCenter ?? 'dc-1';
    this.address = `${this.name}:80`;
    options.neighbours?.set(this.address, this);
  }

  get faults(): EngineFaults {
    return this.model.faults;
  }

  /** Ids of generations that began to run, in order. */
  get executions(): readonly string[] {
    return this.model.executions;
  }

  /** Kills the process. */
  crash(): void {
    this.model.crash();
  }

  /** Open streams go silent for good; new connections work. */
  silence(): void {
    for (const connection of this.#connections) connection.silent = true;
  }

  /** The next incarnation of a crashed engine, with nothing kept. */
  restart(): FakeEngine {
    const incarnation = (this.options.incarnation ?? 1) + 1;
    return new FakeEngine({ ...this.options, incarnation });
  }

  override async *generate(
    generation: GenerationTask,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    this.calls.generate += 1;
    if (this.model.crashed) {
      yield { kind: 'failure', failure: this.#refused() };
      return;
    }
    yield* this.#follow(this.model.submit(generation), -1, signal);
  }

  override async *resumeStream(
    id: string,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    this.calls.resume += 1;
    if (this.model.crashed) {
      yield { kind: 'failure', failure: this.#refused() };
      return;
    }
    yield* this.#follow(this.model.find(id), after, signal);
  }

  override cancelGeneration(id: string): Promise<Either<Failure, void>> {
    this.calls.cancel += 1;
    return this.#answer(() => this.model.stop(id, 'cancelled'));
  }

  override getLoadReport(): Promise<Either<Failure, LoadReport>> {
    return this.#answer(() => Right(this.model.load()));
  }

  override listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>> {
    return this.#answer(() => Right(this.model.cacheEvents(after)));
  }

  override sendCommand(
    order: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    this.calls.order += 1;
    return this.#answer(() => {
      const answer = this.model.orders.submit(order);
      if (this.faults.loseOrderAnswers === 0) return answer;
      this.faults.loseOrderAnswers -= 1;
      return Left(failureOf('unknown', 'the answer to the order was lost'));
    });
  }

  override getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.#answer(() => this.model.orders.status(id));
  }

  override exportStream(id: string): Promise<Either<Failure, void>> {
    return this.#answer(() => this.model.stop(id, 'moved'));
  }

  override async probeHealth(
    timeoutMs: number,
  ): Promise<Either<Failure, void>> {
    this.calls.probe += 1;
    if (this.model.crashed) return Left(this.#refused());
    if (!this.faults.hang) return Right(undefined);
    await sleep(timeoutMs);
    return Left(failureOf('no', 'the engine did not answer the probe'));
  }

  override resetConnections(): void {
    const failure = failureOf('unknown', 'the connection was closed');
    for (const { queue } of this.#connections) {
      queue.push({ kind: 'failure', failure });
      queue.end();
    }
    this.#connections.clear();
  }

  async #answer<T>(
    call: () => Either<Failure, T>,
  ): Promise<Either<Failure, T>> {
    await Promise.resolve();
    if (this.model.crashed) return Left(this.#refused());
    if (!this.faults.hang) return call();
    await sleep(callTimeoutMs);
    return Left(failureOf('unknown', 'the engine did not answer'));
  }

  async *#follow(
    found: Either<Failure, GenerationJob>,
    after: number,
    signal: AbortSignal,
  ): AsyncGenerator<StreamItem, void, undefined> {
    const job = found.extract();
    if (job instanceof Failure) {
      yield { kind: 'failure', failure: job };
      return;
    }
    const queue = new StreamQueue<StreamItem>();
    const connection: Connection = { queue, silent: false };
    const detach = this.#connect(connection, job, after);
    const onAbort = () => {
      queue.close();
    };
    signal.addEventListener('abort', onAbort, { once: true });
    try {
      if (signal.aborted) return;
      const items = this.faults.disorder ? disordered(queue) : queue;
      for await (const item of items) yield item;
    } finally {
      detach();
      signal.removeEventListener('abort', onAbort);
    }
  }

  /** Opens a stream: chunks as they come and heartbeats between them. */
  #connect(
    connection: Connection,
    job: GenerationJob,
    after: number,
  ): () => void {
    const { queue } = connection;
    const receive = (item: StreamItem) => {
      if (connection.silent) return;
      queue.push(item);
      if (item.kind === 'end' || item.kind === 'failure') queue.end();
    };
    this.#connections.add(connection);
    const detach = job.follow(after, receive);
    const heartbeat = setInterval(() => {
      if (!this.faults.hang) receive({ kind: 'heartbeat' });
    }, this.model.settings.heartbeatMs);
    return () => {
      clearInterval(heartbeat);
      this.#connections.delete(connection);
      detach();
    };
  }

  #importCache(
    from: NonNullable<GenerationTask['cacheFrom']>,
  ): ExportedCache | undefined {
    const source = this.options.neighbours?.get(from.address);
    if (source === undefined || source.model.crashed) return undefined;
    return source.model.export(from.id);
  }

  #refused(): Failure {
    return failureOf('no', `connection to ${this.address} refused`);
  }
}
