/** Instances and engines in one process, for tests, drills and figures. */
import {
  Deadline,
  DispatchNotifier,
  estimateTokens,
  customerLimitsSchema,
  LoadEstimator,
  LoadPoller,
  MemoryLog,
  DisabledQuarantine,
  OutputLengthEstimator,
  PrefixIndex,
  Quarantine,
  rankingSettingsSchema,
  Router,
  StreamDispatcher,
} from '@medlarlever/core';
import type {
  AnswerItem,
  TargetCrash,
  Failure,
  GenerationRequest,
  RunPermit,
  StreamSettings,
} from '@medlarlever/core';
import {
  FakeEngine,
  MemoryNetwork,
  MemoryPeerGroup,
} from '@medlarlever/stand-ins';
import type { EngineOptions } from '@medlarlever/stand-ins';
import type { Either } from 'purify-ts';

import { seededRandom } from '../shared/seeded-random.js';

import { EngineDirectory } from './engine-directory.js';
import type { EnginePool } from './engine-directory.js';

export const model = {
  name: 'style-base',
  version: '1',
  adapter: undefined,
};

/** Admits everything and remembers the crashes it was told of. */
export class RecordingQuarantine extends Quarantine {
  readonly crashes: TargetCrash[] = [];
  readonly #open = new DisabledQuarantine();

  override admitRun(): Promise<Either<Failure, RunPermit>> {
    return this.#open.admitRun();
  }

  override recordCrash(crash: TargetCrash): Promise<void> {
    this.crashes.push(crash);
    return Promise.resolve();
  }

  override isReserved(): boolean {
    return false;
  }
}

export interface GenerationInstance {
  readonly dispatcher: StreamDispatcher;
  readonly router: Router;
  readonly book: LoadEstimator;
  readonly news: DispatchNotifier;
  readonly quarantine: RecordingQuarantine;
  readonly log: MemoryLog;
}

/** What a caller got. */
export interface Received {
  id: string | undefined;
  readonly texts: string[];
  end: string | undefined;
  failure: Failure | undefined;
  endedMs: number | undefined;
}

export interface GenerationFleetOptions {
  readonly seed: number;
  readonly engines?: readonly EngineOptions[];
  readonly instances?: number;
  readonly settings?: Partial<StreamSettings>;
  /** Retries beyond the first attempts. */
  readonly retries?: number;
}

export interface Asking {
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly deadlineMs?: number;
  readonly customer?: string;
  readonly background?: boolean;
}

export class GenerationFleet {
  readonly network = new MemoryNetwork();
  readonly pool: EnginePool = { engines: [], leaving: new Set() };
  readonly instances: GenerationInstance[] = [];
  readonly random: () => number;
  readonly #neighbours = new Map<string, FakeEngine>();
  readonly #stopper = new AbortController();
  #requests = 0;

  constructor(readonly options: GenerationFleetOptions) {
    this.random = seededRandom(options.seed);
    const names = ['engine-1', 'engine-2', 'engine-3'];
    const engines = options.engines ?? names.map(name => ({ name }));
    for (const engine of engines) {
      const neighbours = this.#neighbours;
      this.pool.engines.push(
        new FakeEngine({ ...engine, enginesByAddress: neighbours }),
      );
    }
    const count = options.instances ?? 2;
    for (let i = 1; i <= count; i += 1) this.#start(`e${i}`);
  }

  engine(name: string): FakeEngine {
    const found = this.pool.engines.find(engine => engine.name === name);
    if (found === undefined) throw new Error(`no engine "${name}"`);
    return found;
  }

  /** The engine that runs something, if any. */
  busyEngine(): FakeEngine | undefined {
    return this.pool.engines.find(
      engine => engine.simulator.activeGenerationIds.length > 0,
    );
  }

  /** Replaces an engine by its next incarnation. */
  restart(engine: FakeEngine): void {
    const next = engine.restart();
    this.pool.engines = this.pool.engines.map(other =>
      other === engine ? next : other,
    );
  }

  /** Stops the background tasks. */
  stop(): void {
    this.#stopper.abort();
  }

  at(index: number): GenerationInstance {
    const instance = this.instances[index % this.instances.length];
    if (instance === undefined) throw new Error('the fleet is empty');
    return instance;
  }

  request(asking: Asking): GenerationRequest {
    this.#requests += 1;
    const { prompt, maxTokens = 20 } = asking;
    return {
      id: `r${this.#requests}`,
      entitlement: {
        customer: asking.customer ?? 'desk',
        template: 'style',
        revision: 1,
        ranking: rankingSettingsSchema.parse({}),
        limits: customerLimitsSchema.parse({}),
        models: [{ alias: 'style', id: model }],
        operations: [],
      },
      model,
      prompt,
      promptTokens: estimateTokens(prompt),
      maxTokens,
      deadline: Deadline.after(asking.deadlineMs ?? 60_000),
      fingerprint: prompt,
      isBackground: asking.background,
    };
  }

  /** Sends a request through an instance and collects what comes. */
  send(
    instance: number,
    asking: Asking,
    signal: AbortSignal = new AbortController().signal,
  ): Received {
    const request = this.request(asking);
    const items = this.at(instance).dispatcher.dispatchGeneration(
      request,
      signal,
    );
    return collect(items);
  }

  #start(name: string): void {
    const { random } = this;
    const book = new LoadEstimator();
    const prefixes = new PrefixIndex();
    const directory = new EngineDirectory(this.pool, 'dc-1');
    const peers = new MemoryPeerGroup(this.network, name, 'dc-1');
    const router = new Router({
      directory,
      loadEstimator: book,
      prefixIndex: prefixes,
      random,
    });
    const news = new DispatchNotifier({ loadEstimator: book, peers, random });
    const poller = new LoadPoller({
      directory,
      loadEstimator: book,
      prefixIndex: prefixes,
      random,
    });
    const quarantine = new RecordingQuarantine();
    const log = new MemoryLog();
    let retries = this.options.retries ?? 100;
    const dispatcher = new StreamDispatcher({
      directory,
      router,
      loadEstimator: book,
      prefixIndex: prefixes,
      outputLengthEstimator: new OutputLengthEstimator(),
      quarantine,
      peers,
      retryLimiter: {
        countRequest: () => undefined,
        takeRetry: () => retries-- > 0,
      },
      log,
      secret: 'secret',
      dispatchNotifier: news,
      settings: this.options.settings,
    });
    this.network.attachPeer(
      name,
      new Map([...dispatcher.getPeerMethods(), ...news.getPeerMethods()]),
    );
    void poller.run(this.#stopper.signal);
    void news.run(this.#stopper.signal);
    this.instances.push({ dispatcher, router, book, news, quarantine, log });
  }
}

/** Reads an answer to its end in the background. */
export const collect = (items: AsyncIterable<AnswerItem>): Received => {
  const received: Received = {
    id: undefined,
    texts: [],
    end: undefined,
    failure: undefined,
    endedMs: undefined,
  };
  const read = async () => {
    for await (const item of items) take(received, item);
    received.endedMs = Date.now();
  };
  void read();
  return received;
};

const take = (received: Received, item: AnswerItem): void => {
  if (item.kind === 'started') received.id = item.id;
  if (item.kind === 'chunk') received.texts.push(item.chunk.text);
  if (item.kind === 'end') received.end = item.end.reason;
  if (item.kind === 'failure') received.failure = item.failure;
};
