/** Runs one request to its complete answer, on several engines if needed. */
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
  /** Delivers an item to the caller; false when its stream has ended. */
  readonly emitItem: (item: AnswerItem) => Promise<boolean>;
}

type CacheSource = NonNullable<GenerationTask['cacheFrom']>;

/** A generation that was sent to an engine. */
interface SentGeneration {
  readonly engine: Engine;
  readonly id: string;
}

/** Delay between two attempts to place a request that has already run. */
const placementRetryMs = 250;

/** Retry delay returned to the caller when no more attempts are made. */
const retryAfterMs = 1_000;

/** Runs the attempts of one request and merges their chunks. */
export class GenerationRun {
  readonly #options: GenerationRunOptions;
  readonly #answer = new ChunkBuffer();
  readonly #engineSelector: EngineSelector;
  #attemptCount = 0;
  #executed: ExecutionStatus = 'no';
  #cacheFrom: CacheSource | undefined;
  /**
   * Key of the stream that the caller follows; `undefined` until the stream's
   * id is about to be sent to the caller.
   */
  #streamKey: string | undefined;
  #currentGeneration: SentGeneration | undefined;
  #placementDeadlineMs: number | undefined;
  #isDetached = false;

  constructor(options: GenerationRunOptions) {
    this.#options = options;
    this.#engineSelector = new EngineSelector(options.context, options.request);
  }

  /** Whether an engine may have run the request. */
  get executed(): ExecutionStatus {
    return this.#executed;
  }

  /**
   * Makes attempts until the request ends and returns the final item, or
   * `undefined` if the caller's stream was closed first.
   */
  async run(): Promise<StreamItem | undefined> {
    this.#options.context.options.retryLimiter.countRequest();
    for (;;) {
      const finalItem = await this.#runAttempt();
      if (finalItem !== undefined || this.#isDetached) return finalItem;
    }
  }

  /** Cancels the current generation at its engine. */
  cancelGeneration(): void {
    const currentGeneration = this.#currentGeneration;
    if (currentGeneration !== undefined)
      void currentGeneration.engine.cancelGeneration(currentGeneration.id);
  }

  /** Makes one attempt; returns the final item unless another attempt follows. */
  async #runAttempt(): Promise<StreamItem | undefined> {
    const { context, request, signal } = this.#options;
    const { quarantine } = context.options;
    const { nextIndex } = this.#answer;
    const placementResult = this.#engineSelector.selectPlacement(nextIndex);
    if (placementResult.isLeft())
      return this.#waitForEngine(placementResult.extract());
    const placement = placementResult.unsafeCoerce();
    const isSplit = placement.kind === 'split';
    const preferredRoute = isSplit ? placement.prefill : placement.route;
    const { name } = preferredRoute.engine;
    const permitResult = await quarantine.admitRun(
      request.fingerprint,
      signal,
      name,
    );
    if (permitResult.isLeft())
      return this.#createFailureItem(permitResult.extract());
    const permit = permitResult.unsafeCoerce();
    const routeResult = this.#engineSelector.selectPermittedRoute(
      permit,
      preferredRoute,
      nextIndex,
    );
    if (routeResult.isLeft()) {
      permit.release();
      return this.#createFailureItem(routeResult.extract());
    }
    const route = routeResult.unsafeCoerce();
    return isSplit && route === preferredRoute
      ? this.#runPrefill(route, permit)
      : this.#runWithoutSplit(route, permit);
  }

  /**
   * Waits before the next attempt to place a request that has already run on an
   * engine. Returns a failure for a new request or after `placement_ms`.
   */
  async #waitForEngine(failure: Failure): Promise<StreamItem | undefined> {
    const { context, signal } = this.#options;
    if (this.#attemptCount === 0) return this.#createFailureItem(failure);
    this.#placementDeadlineMs ??= Date.now() + context.settings.placement_ms;
    if (Date.now() >= this.#placementDeadlineMs)
      return this.#createFailureItem(failure);
    this.#isDetached = !(await sleep(placementRetryMs, signal));
    return undefined;
  }

  /** Prefills the KV cache on one engine; the next attempt imports it. */
  async #runPrefill(
    route: Route,
    permit: RunPermit,
  ): Promise<StreamItem | undefined> {
    const generation = { ...this.#createGeneration(), isPrefillOnly: true };
    const outcome = await this.#runOnRoute(route, permit, generation);
    if (outcome.kind !== 'ended') return this.#handleOutcome(route, outcome);
    this.#continueFrom(route, generation.id);
    return undefined;
  }

  /** Prefills and decodes on one engine. */
  async #runWithoutSplit(
    route: Route,
    permit: RunPermit,
  ): Promise<StreamItem | undefined> {
    const generation = {
      ...this.#createGeneration(),
      cacheFrom: this.#cacheFrom,
    };
    this.#recordLocation(route.engine, generation.id);
    const outcome = await this.#runOnRoute(route, permit, generation);
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
    permit: RunPermit,
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
      permit,
      chunkBuffer:
        generation.isPrefillOnly === true ? new ChunkBuffer() : this.#answer,
      signal,
      onChunk: chunk => this.#emitItem({ kind: 'chunk', chunk }),
    });
    const wasNotRun =
      outcome.kind === 'failed' && outcome.failure.executed === 'no';
    if (wasNotRun) this.#executed = executedBefore;
    return outcome;
  }

  #createGeneration(): GenerationTask {
    const { request } = this.#options;
    const { texts, nextIndex } = this.#answer;
    this.#attemptCount += 1;
    return {
      id: `${request.id}-${this.#attemptCount}`,
      model: request.model,
      prompt: request.prompt,
      maxTokens: request.maxTokens,
      priority: request.entitlement.ranking.priority,
      deadline: request.deadline,
      continuation:
        nextIndex > 0 ? { text: texts.join(''), tokens: nextIndex } : undefined,
    };
  }

  /** Makes the next engine import the KV cache that this engine keeps. */
  #continueFrom({ engine }: Route, id: string): void {
    this.#cacheFrom = { address: engine.address, id };
    this.#engineSelector.excludeEngine(engine);
  }

  /** Handles an engine that cancelled a stream without a request to do so. */
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

  /**
   * Returns the final item, or `undefined` if another attempt follows or the
   * run was aborted.
   */
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
    // The quarantine limits retries after crashes; other retries use the budget.
    if (outcome.kind === 'crashed') return undefined;
    const { metrics, retryLimiter } = this.#options.context.options;
    if (retryLimiter.takeRetry()) {
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
    const isExecutionUnknown = this.#executed === 'unknown';
    return {
      kind: 'failure',
      failure: isExecutionUnknown ? failure.withExecuted('unknown') : failure,
    };
  }

  #recordLocation(engine: Engine, id: string): void {
    if (this.#streamKey === undefined) return;
    const { nextIndex, texts } = this.#answer;
    const location = { engine: engine.name, id, from: nextIndex };
    this.#options.context.streamLocations.recordLocation(
      this.#streamKey,
      location,
      texts,
    );
  }

  /** Delivers an item, preceded by the `started` item if it is the first. */
  async #emitItem(item: StreamItem): Promise<boolean> {
    await this.#emitStarted();
    return this.#options.emitItem(item);
  }

  /** Delivers the stream id to the caller, once. */
  async #emitStarted(): Promise<void> {
    if (this.#streamKey !== undefined || this.#currentGeneration === undefined)
      return;
    const { context, emitItem, request } = this.#options;
    const { engine, id } = this.#currentGeneration;
    const { customer } = request.entitlement;
    const origin = { engine: engine.name, id, customer };
    this.#streamKey = createStreamKey(origin);
    await emitItem({ kind: 'started', id: context.streamIds.encodeId(origin) });
  }
}

const createNoEngineFailure = (): Failure =>
  new Failure('target_failed', 'no engine completed the answer', {
    retryAfterMs,
  });

const createBudgetExhaustedFailure = (failure: Failure): Failure =>
  new Failure('retry_budget_exhausted', failure.message, {
    retryAfterMs,
    cause: failure,
  });
