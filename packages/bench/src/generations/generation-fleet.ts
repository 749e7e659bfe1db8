/** Fleet of instances and engines in one process, for tests, drills and measurements. */
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

/** The model that every request of the fleet uses. */
export const modelId = {
  name: 'style-base',
  version: '1',
  adapter: undefined,
};

/** Quarantine that admits every run and records the reported crashes. */
export class RecordingQuarantine extends Quarantine {
  readonly recordedCrashes: TargetCrash[] = [];
  readonly #disabledQuarantine = new DisabledQuarantine();

  override admitRun(): Promise<Either<Failure, RunPermit>> {
    return this.#disabledQuarantine.admitRun();
  }

  override recordCrash(crash: TargetCrash): Promise<void> {
    this.recordedCrashes.push(crash);
    return Promise.resolve();
  }

  override isReserved(): boolean {
    return false;
  }
}

/** The components of one instance of the fleet. */
export interface GenerationInstance {
  readonly dispatcher: StreamDispatcher;
  readonly router: Router;
  readonly loadEstimator: LoadEstimator;
  readonly dispatchNotifier: DispatchNotifier;
  readonly quarantine: RecordingQuarantine;
  readonly log: MemoryLog;
}

/** The part of an answer that a caller has received so far. */
export interface ReceivedAnswer {
  id: string | undefined;
  readonly chunkTexts: string[];
  endReason: string | undefined;
  failure: Failure | undefined;
  /** Time at which the answer ended, in milliseconds since the Unix epoch; `undefined` while it runs. */
  endedAtMs: number | undefined;
}

/** Size, seed and settings of a fleet. */
export interface GenerationFleetOptions {
  readonly seed: number;
  /** One entry for each engine; three default engines if absent. */
  readonly engineOptions?: readonly EngineOptions[];
  /** Number of instances; 2 by default. */
  readonly instanceCount?: number;
  readonly streamSettings?: Partial<StreamSettings>;
  /** Maximum number of retries of each instance, over all its requests; 100 by default. */
  readonly maxRetries?: number;
}

/** The parameters of one request. */
export interface GenerationCall {
  readonly prompt: string;
  readonly maxTokens?: number;
  /** Time from the request to its deadline, in milliseconds; 60 000 by default. */
  readonly deadlineMs?: number;
  readonly customer?: string;
  readonly isBackground?: boolean;
}

/** Creates the engines, starts the instances and sends requests through them. */
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
      const enginesByAddress = this.#enginesByAddress;
      this.enginePool.engines.push(
        new FakeEngine({ ...engine, enginesByAddress }),
      );
    }
    const count = options.instanceCount ?? 2;
    for (let i = 1; i <= count; i += 1) this.#startInstance(`e${i}`);
  }

  getEngine(name: string): FakeEngine {
    const found = this.enginePool.engines.find(engine => engine.name === name);
    if (found === undefined)
      throw new Error(`the fleet has no engine "${name}"`);
    return found;
  }

  /** Returns the first engine that runs a generation, if any. */
  findBusyEngine(): FakeEngine | undefined {
    return this.enginePool.engines.find(
      engine => engine.simulator.activeGenerationIds.length > 0,
    );
  }

  /** Replaces an engine with its next incarnation. */
  restartEngine(engine: FakeEngine): void {
    const next = engine.restart();
    this.enginePool.engines = this.enginePool.engines.map(other =>
      other === engine ? next : other,
    );
  }

  /** Stops the load polling and the dispatch notifications of all instances. */
  stopBackgroundTasks(): void {
    this.#stopController.abort();
  }

  /** Returns an instance by its index, modulo the number of instances. */
  getInstance(index: number): GenerationInstance {
    const instance = this.instances[index % this.instances.length];
    if (instance === undefined) throw new Error('the fleet has no instances');
    return instance;
  }

  /** Creates an authorized request with the next request id. */
  createRequest(call: GenerationCall): GenerationRequest {
    this.#requestCount += 1;
    const { prompt, maxTokens = 20 } = call;
    return {
      id: `r${this.#requestCount}`,
      entitlement: {
        customer: call.customer ?? 'desk',
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
      deadline: Deadline.after(call.deadlineMs ?? 60_000),
      fingerprint: prompt,
      isBackground: call.isBackground,
    };
  }

  /** Sends a request through an instance and collects its answer in the background. */
  sendRequest(
    instanceIndex: number,
    call: GenerationCall,
    signal: AbortSignal = new AbortController().signal,
  ): ReceivedAnswer {
    const request = this.createRequest(call);
    const items = this.getInstance(instanceIndex).dispatcher.dispatchGeneration(
      request,
      signal,
    );
    return collectAnswer(items);
  }

  #startInstance(name: string): void {
    const { random } = this;
    const loadEstimator = new LoadEstimator();
    const prefixIndex = new PrefixIndex();
    const directory = new EngineDirectory(this.enginePool, 'dc-1');
    const peers = new MemoryPeerGroup(this.network, name, 'dc-1');
    const router = new Router({
      directory,
      loadEstimator,
      prefixIndex,
      random,
    });
    const dispatchNotifier = new DispatchNotifier({
      loadEstimator,
      peers,
      random,
    });
    const poller = new LoadPoller({
      directory,
      loadEstimator,
      prefixIndex,
      random,
    });
    const quarantine = new RecordingQuarantine();
    const log = new MemoryLog();
    let remainingRetries = this.options.maxRetries ?? 100;
    const dispatcher = new StreamDispatcher({
      directory,
      router,
      loadEstimator,
      prefixIndex,
      outputLengthEstimator: new OutputLengthEstimator(),
      quarantine,
      peers,
      retryLimiter: {
        countRequest: () => undefined,
        takeRetry: () => remainingRetries-- > 0,
      },
      log,
      secret: 'secret',
      dispatchNotifier,
      settings: this.options.streamSettings,
    });
    this.network.attachPeer(
      name,
      new Map([
        ...dispatcher.getPeerMethods(),
        ...dispatchNotifier.getPeerMethods(),
      ]),
    );
    void poller.run(this.#stopController.signal);
    void dispatchNotifier.run(this.#stopController.signal);
    this.instances.push({
      dispatcher,
      router,
      loadEstimator,
      dispatchNotifier,
      quarantine,
      log,
    });
  }
}

/** Reads an answer to its end in the background; the returned object is updated with each item. */
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
  const readItems = async () => {
    for await (const item of items) recordItem(received, item);
    received.endedAtMs = Date.now();
  };
  void readItems();
  return received;
};

const recordItem = (received: ReceivedAnswer, item: AnswerItem): void => {
  if (item.kind === 'started') received.id = item.id;
  if (item.kind === 'chunk') received.chunkTexts.push(item.chunk.text);
  if (item.kind === 'end') received.endReason = item.end.reason;
  if (item.kind === 'failure') received.failure = item.failure;
};
