/** One request on its way to a whole answer, over as many engines as needed. */
import type { RunPermit } from '../quarantine/quarantine.js';
import type { Route } from '../routing/router.js';
import { Failure } from '../shared/failure.js';
import type { ExecutionStatus } from '../shared/failure.js';
import { sleep } from '../shared/time.js';
import type {
  Engine,
  GenerationTask,
  StreamEnd,
  StreamItem,
} from '../target/target.js';

import { EngineSelector } from './engine-selector.js';
import { ChunkBuffer } from './chunk-buffer.js';
import { runAttempt } from './engine-attempt.js';
import type { StreamOutcome } from './engine-stream.js';
import type { AnswerItem, GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';
import { createStreamKey } from './stream-id.js';

export interface GenerationRunOptions {
  readonly context: StreamContext;
  readonly request: GenerationRequest;
  readonly signal: AbortSignal;
  /** Passes an item to the caller; false when the caller is detached. */
  readonly emitItem: (item: AnswerItem) => Promise<boolean>;
}

type CacheSource = NonNullable<GenerationTask['cacheFrom']>;

/** A generation as sent to an engine. */
interface SentGeneration {
  readonly engine: Engine;
  readonly id: string;
}

/** Pause between two looks for an engine. */
const placementRetryMs = 250;

/** When to come back if no more attempts are made. */
const retryAfterMs = 1_000;

export class GenerationRun {
  readonly #options: GenerationRunOptions;
  readonly #answer = new ChunkBuffer();
  readonly #engineSelector: EngineSelector;
  #attemptCount = 0;
  #executed: ExecutionStatus = 'no';
  #cacheFrom: CacheSource | undefined;
  /** Under which the caller knows the stream. */
  #streamKey: string | undefined;
  #currentGeneration: SentGeneration | undefined;
  #placementDeadlineMs: number | undefined;
  #isDetached = false;

  constructor(options: GenerationRunOptions) {
    this.#options = options;
    this.#engineSelector = new EngineSelector(options.context, options.request);
  }

  /** Whether any byte may have reached an engine that ran it. */
  get executed(): ExecutionStatus {
    return this.#executed;
  }

  /** Runs to the final item; `undefined` when the caller is detached. */
  async run(): Promise<StreamItem | undefined> {
    this.#options.context.options.retryLimiter.countRequest();
    for (;;) {
      const last = await this.#runAttempt();
      if (last !== undefined || this.#isDetached) return last;
    }
  }

  /** Stops the generation at its engine. */
  cancelGeneration(): void {
    const sent = this.#currentGeneration;
    if (sent !== undefined) void sent.engine.cancelGeneration(sent.id);
  }

  /** One placement; returns the last item unless another attempt follows. */
  async #runAttempt(): Promise<StreamItem | undefined> {
    const { context, request, signal } = this.#options;
    const { quarantine } = context.options;
    const { nextIndex: next } = this.#answer;
    const placed = this.#engineSelector.selectPlacement(next);
    if (placed.isLeft()) return this.#waitForEngine(placed.extract());
    const placement = placed.unsafeCoerce();
    const split = placement.kind === 'split';
    const preferred = split ? placement.prefill : placement.route;
    const { name } = preferred.engine;
    const admitted = await quarantine.admitRun(
      request.fingerprint,
      signal,
      name,
    );
    if (admitted.isLeft()) return this.#createFailureItem(admitted.extract());
    const passage = admitted.unsafeCoerce();
    const allowed = this.#engineSelector.selectPermittedRoute(
      passage,
      preferred,
      next,
    );
    if (allowed.isLeft()) {
      passage.release();
      return this.#createFailureItem(allowed.extract());
    }
    const route = allowed.unsafeCoerce();
    return split && route === preferred
      ? this.#runPrefill(route, passage)
      : this.#runWhole(route, passage);
  }

  /** A request that has begun waits for an engine; a new one is refused. */
  async #waitForEngine(failure: Failure): Promise<StreamItem | undefined> {
    const { context, signal } = this.#options;
    if (this.#attemptCount === 0) return this.#createFailureItem(failure);
    this.#placementDeadlineMs ??= Date.now() + context.settings.placement_ms;
    if (Date.now() >= this.#placementDeadlineMs)
      return this.#createFailureItem(failure);
    this.#isDetached = !(await sleep(placementRetryMs, signal));
    return undefined;
  }

  /** Fills the cache on one engine, for the next attempt to go on from. */
  async #runPrefill(
    route: Route,
    passage: RunPermit,
  ): Promise<StreamItem | undefined> {
    const generation = { ...this.#createGeneration(), isPrefillOnly: true };
    const outcome = await this.#runOnRoute(route, passage, generation);
    if (outcome.kind !== 'ended') return this.#handleOutcome(route, outcome);
    this.#continueFrom(route, generation.id);
    return undefined;
  }

  async #runWhole(
    route: Route,
    passage: RunPermit,
  ): Promise<StreamItem | undefined> {
    const generation = {
      ...this.#createGeneration(),
      cacheFrom: this.#cacheFrom,
    };
    this.#recordLocation(route.engine, generation.id);
    const outcome = await this.#runOnRoute(route, passage, generation);
    if (outcome.kind !== 'ended') return this.#handleOutcome(route, outcome);
    if (outcome.end.reason === 'moved') {
      this.#continueFrom(route, generation.id);
      return undefined;
    }
    if (outcome.end.reason === 'cancelled')
      return this.#handleCancellation(route);
    return this.#finishAnswer(outcome.end);
  }

  async #runOnRoute(
    route: Route,
    passage: RunPermit,
    generation: GenerationTask,
  ): Promise<StreamOutcome> {
    const { context, request, signal } = this.#options;
    const executedBefore = this.#executed;
    this.#executed = 'unknown';
    this.#currentGeneration = { engine: route.engine, id: generation.id };
    const outcome = await runAttempt({
      context,
      request,
      generation,
      route,
      prefixBlocks: this.#engineSelector.prefixBlocks,
      permit: passage,
      chunkBuffer:
        generation.isPrefillOnly === true ? new ChunkBuffer() : this.#answer,
      signal,
      onChunk: chunk => this.#emitItem({ kind: 'chunk', chunk }),
    });
    const unrun =
      outcome.kind === 'failed' && outcome.failure.executed === 'no';
    if (unrun) this.#executed = executedBefore;
    return outcome;
  }

  #createGeneration(): GenerationTask {
    const { request } = this.#options;
    const { texts, nextIndex: next } = this.#answer;
    this.#attemptCount += 1;
    return {
      id: `${request.id}-${this.#attemptCount}`,
      model: request.model,
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      priority: request.entitlement.ranking.priority,
      deadline: request.deadline,
      continuation:
        next > 0 ? { text: texts.join(''), tokens: next } : undefined,
    };
  }

  /** The next engine imports the cache that this one keeps. */
  #continueFrom({ engine }: Route, id: string): void {
    this.#cacheFrom = { address: engine.address, id };
    this.#engineSelector.excludeEngine(engine);
  }

  /** The engine ended a stream that nobody cancelled: go on elsewhere. */
  #handleCancellation({ engine }: Route): StreamItem | undefined {
    this.#engineSelector.excludeEngine(engine);
    return this.#hasAttemptsLeft()
      ? undefined
      : this.#createFailureItem(createNoEngineFailure());
  }

  async #finishAnswer(end: StreamEnd): Promise<StreamItem> {
    const { context, request } = this.#options;
    const { customer } = request.entitlement;
    const { name } = request.model;
    context.options.outputLengthEstimator.recordLength(
      customer,
      name,
      end.outputTokens,
    );
    await this.#emitStarted();
    return { kind: 'end', end };
  }

  /** What follows an outcome other than an end. */
  #handleOutcome(route: Route, outcome: StreamOutcome): StreamItem | undefined {
    if (outcome.kind === 'aborted') {
      this.#isDetached = true;
      return undefined;
    }
    this.#cacheFrom = undefined;
    this.#engineSelector.excludeEngine(route.engine);
    const failure =
      outcome.kind === 'failed' ? outcome.failure : createNoEngineFailure();
    if (!this.#hasAttemptsLeft()) return this.#createFailureItem(failure);
    // The quarantine bounds crashes; everything else takes from the budget.
    if (outcome.kind === 'crashed') return undefined;
    const { metrics, retryLimiter: retries } = this.#options.context.options;
    if (retries.takeRetry()) {
      metrics?.countRetry('models');
      return undefined;
    }
    metrics?.countBudgetExhausted('models');
    return this.#createFailureItem(createBudgetExhaustedFailure(failure));
  }

  #hasAttemptsLeft(): boolean {
    return this.#attemptCount < this.#options.context.settings.max_attempts;
  }

  #createFailureItem(failure: Failure): StreamItem {
    const unknown = this.#executed === 'unknown';
    return {
      kind: 'failure',
      failure: unknown ? failure.withExecuted('unknown') : failure,
    };
  }

  #recordLocation(engine: Engine, id: string): void {
    if (this.#streamKey === undefined) return;
    const { nextIndex: next, texts } = this.#answer;
    const place = { engine: engine.name, id, from: next };
    this.#options.context.streamLocations.recordLocation(
      this.#streamKey,
      place,
      texts,
    );
  }

  /** Passes an item on, after the id of the stream if it is the first. */
  async #emitItem(item: StreamItem): Promise<boolean> {
    await this.#emitStarted();
    return this.#options.emitItem(item);
  }

  /** Tells the caller the id of the stream. */
  async #emitStarted(): Promise<void> {
    if (this.#streamKey !== undefined || this.#currentGeneration === undefined)
      return;
    const { context, emitItem: emit, request } = this.#options;
    const { engine, id } = this.#currentGeneration;
    const { customer } = request.entitlement;
    const address = { engine: engine.name, id, customer };
    this.#streamKey = createStreamKey(address);
    await emit({ kind: 'started', id: context.streamIds.encodeId(address) });
  }
}

const createNoEngineFailure = (): Failure =>
  new Failure('target_failed', 'no engine finished the answer', {
    retryAfterMs,
  });

const createBudgetExhaustedFailure = (failure: Failure): Failure =>
  new Failure('retry_budget_exhausted', failure.message, {
    retryAfterMs,
    cause: failure,
  });
