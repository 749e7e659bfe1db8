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

import { createSeededRandom } from '../shared/seeded-random.js';

import { EngineDirectory } from './engine-directory.js';
import type { EnginePool } from './engine-directory.js';

export const modelId = {
  name: 'style-base',
  version: '1',
  adapter: undefined,
};

/** Admits everything and remembers the crashes it was told of. */
export class RecordingQuarantine extends Quarantine {
  readonly recordedCrashes: TargetCrash[] = [];
  readonly #openQuarantine = new DisabledQuarantine();

  override admitRun(): Promise<Either<Failure, RunPermit>> {
    return this.#openQuarantine.admitRun();
  }

  override recordCrash(crash: TargetCrash): Promise<void> {
    this.recordedCrashes.push(crash);
    return Promise.resolve();
  }

  override isReserved(): boolean {
    return false;
  }
}

export interface GenerationInstance {
  readonly dispatcher: StreamDispatcher;
  readonly router: Router;
  readonly loadEstimator: LoadEstimator;
  readonly dispatchNotifier: DispatchNotifier;
  readonly quarantine: RecordingQuarantine;
  readonly log: MemoryLog;
}

/** What a caller got. */
export interface ReceivedAnswer {
  id: string | undefined;
  readonly chunkTexts: string[];
  endReason: string | undefined;
  failure: Failure | undefined;
  endedAtMs: number | undefined;
}

export interface GenerationFleetOptions {
  readonly seed: number;
  readonly engineOptions?: readonly EngineOptions[];
  readonly instanceCount?: number;
  readonly streamSettings?: Partial<StreamSettings>;
  /** Retries beyond the first attempts. */
  readonly maxRetries?: number;
}

export interface GenerationCall {
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly deadlineMs?: number;
  readonly customer?: string;
  readonly isBackground?: boolean;
}

export class GenerationFleet {
  readonly network = new MemoryNetwork();
  readonly enginePool: EnginePool = { engines: [], leavingEngines: new Set() };
  readonly instances: GenerationInstance[] = [];
  readonly random: () => number;
  readonly #enginesByAddress = new Map<string, FakeEngine>();
  readonly #stopController = new AbortController();
  #requestCount = 0;

  constructor(readonly options: GenerationFleetOptions) {
    this.random = createSeededRandom(options.seed);
    const names = ['engine-1', 'engine-2', 'engine-3'];
    const engines = options.engineOptions ?? names.map(name => ({ name }));
    for (const engine of engines) {
      const neighbours = this.#enginesByAddress;
      this.enginePool.engines.push(
        new FakeEngine({ ...engine, enginesByAddress: neighbours }),
      );
    }
    const count = options.instanceCount ?? 2;
    for (let i = 1; i <= count; i += 1) this.#startInstance(`e${i}`);
  }

  getEngine(name: string): FakeEngine {
    const found = this.enginePool.engines.find(engine => engine.name === name);
    if (found === undefined) throw new Error(`no engine "${name}"`);
    return found;
  }

  /** The engine that runs something, if any. */
  findBusyEngine(): FakeEngine | undefined {
    return this.enginePool.engines.find(
      engine => engine.simulator.activeGenerationIds.length > 0,
    );
  }

  /** Replaces an engine by its next incarnation. */
  restartEngine(engine: FakeEngine): void {
    const next = engine.restart();
    this.enginePool.engines = this.enginePool.engines.map(other =>
      other === engine ? next : other,
    );
  }

  /** Stops the background tasks. */
  stopBackgroundTasks(): void {
    this.#stopController.abort();
  }

  getInstance(index: number): GenerationInstance {
    const instance = this.instances[index % this.instances.length];
    if (instance === undefined) throw new Error('the fleet is empty');
    return instance;
  }

  createRequest(asking: GenerationCall): GenerationRequest {
    this.#requestCount += 1;
    const { prompt, maxTokens = 20 } = asking;
    return {
      id: `r${this.#requestCount}`,
      entitlement: {
        customer: asking.customer ?? 'desk',
        template: 'style',
        revision: 1,
        ranking: rankingSettingsSchema.parse({}),
        limits: customerLimitsSchema.parse({}),
        models: [{ alias: 'style', id: modelId }],
        operations: [],
      },
      model: modelId,
      prompt,
      promptTokens: estimateTokens(prompt),
      maxTokens,
      deadline: Deadline.after(asking.deadlineMs ?? 60_000),
      fingerprint: prompt,
      isBackground: asking.isBackground,
    };
  }

  /** Sends a request through an instance and collects what comes. */
  sendRequest(
    instance: number,
    asking: GenerationCall,
    signal: AbortSignal = new AbortController().signal,
  ): ReceivedAnswer {
    const request = this.createRequest(asking);
    const items = this.getInstance(instance).dispatcher.dispatchGeneration(
      request,
      signal,
    );
    return collectAnswer(items);
  }

  #startInstance(name: string): void {
    const { random } = this;
    const book = new LoadEstimator();
    const prefixes = new PrefixIndex();
    const directory = new EngineDirectory(this.enginePool, 'dc-1');
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
    let retries = this.options.maxRetries ?? 100;
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
      settings: this.options.streamSettings,
    });
    this.network.attachPeer(
      name,
      new Map([...dispatcher.getPeerMethods(), ...news.getPeerMethods()]),
    );
    void poller.run(this.#stopController.signal);
    void news.run(this.#stopController.signal);
    this.instances.push({
      dispatcher,
      router,
      loadEstimator: book,
      dispatchNotifier: news,
      quarantine,
      log,
    });
  }
}

/** Reads an answer to its end in the background. */
export const collectAnswer = (
  items: AsyncIterable<AnswerItem>,
): ReceivedAnswer => {
  const received: ReceivedAnswer = {
    id: undefined,
    chunkTexts: [],
    endReason: undefined,
    failure: undefined,
    endedAtMs: undefined,
  };
  const read = async () => {
    for await (const item of items) recordItem(received, item);
    received.endedAtMs = Date.now();
  };
  void read();
  return received;
};

const recordItem = (received: ReceivedAnswer, item: AnswerItem): void => {
  if (item.kind === 'started') received.id = item.id;
  if (item.kind === 'chunk') received.chunkTexts.push(item.chunk.text);
  if (item.kind === 'end') received.endReason = item.end.reason;
  if (item.kind === 'failure') received.failure = item.failure;
};
