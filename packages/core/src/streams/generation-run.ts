/** One request on its way to a whole answer, over as many engines as needed. */
import type { Passage } from '../quarantine/quarantine.js';
import type { Route } from '../routing/router.js';
import { Failure } from '../shared/failure.js';
import type { Executed } from '../shared/failure.js';
import { sleep } from '../shared/time.js';
import type {
  Engine,
  Generation,
  StreamEnd,
  StreamItem,
} from '../target/target.js';

import { AnswerPlacement } from './engine-selector.js';
import { AnswerText } from './chunk-buffer.js';
import { runOnEngine } from './engine-attempt.js';
import type { StreamOutcome } from './engine-stream.js';
import type { AnswerItem, GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';
import { streamKey } from './stream-id.js';

export interface AnswerRunOptions {
  readonly context: StreamContext;
  readonly request: GenerationRequest;
  readonly signal: AbortSignal;
  /** Passes an item to the caller; false when the caller is detached. */
  readonly emit: (item: AnswerItem) => Promise<boolean>;
}

type Cache = NonNullable<Generation['cacheFrom']>;

/** A generation as sent to an engine. */
interface Sent {
  readonly engine: Engine;
  readonly id: string;
}

/** Pause between two looks for an engine. */
const placementPauseMs = 250;

/** When to come back if no more attempts are made. */
const retryAfterMs = 1_000;

export class AnswerRun {
  readonly #options: AnswerRunOptions;
  readonly #answer = new AnswerText();
  readonly #placement: AnswerPlacement;
  #attempts = 0;
  #executed: Executed = 'no';
  #cacheFrom: Cache | undefined;
  /** Under which the caller knows the stream. */
  #started: string | undefined;
  #current: Sent | undefined;
  #waitsUntilMs: number | undefined;
  #detached = false;

  constructor(options: AnswerRunOptions) {
    this.#options = options;
    this.#placement = new AnswerPlacement(options.context, options.request);
  }

  /** Whether any byte may have reached an engine that ran it. */
  get executed(): Executed {
    return this.#executed;
  }

  /** Runs to the final item; `undefined` when the caller is detached. */
  async run(): Promise<StreamItem | undefined> {
    this.#options.context.options.retries.earn();
    for (;;) {
      const last = await this.#attempt();
      if (last !== undefined || this.#detached) return last;
    }
  }

  /** Stops the generation at its engine. */
  cancel(): void {
    const sent = this.#current;
    if (sent !== undefined) void sent.engine.cancel(sent.id);
  }

  /** One placement; returns the last item unless another attempt follows. */
  async #attempt(): Promise<StreamItem | undefined> {
    const { context, request, signal } = this.#options;
    const { quarantine } = context.options;
    const { next } = this.#answer;
    const placed = this.#placement.place(next);
    if (placed.isLeft()) return this.#waitForEngine(placed.extract());
    const placement = placed.unsafeCoerce();
    const split = placement.kind === 'split';
    const preferred = split ? placement.prefill : placement.route;
    const { name } = preferred.engine;
    const admitted = await quarantine.admit(request.fingerprint, signal, name);
    if (admitted.isLeft()) return this.#fail(admitted.extract());
    const passage = admitted.unsafeCoerce();
    const allowed = this.#placement.allowed(passage, preferred, next);
    if (allowed.isLeft()) {
      passage.release();
      return this.#fail(allowed.extract());
    }
    const route = allowed.unsafeCoerce();
    return split && route === preferred
      ? this.#runPrefill(route, passage)
      : this.#runWhole(route, passage);
  }

  /** A request that has begun waits for an engine; a new one is refused. */
  async #waitForEngine(failure: Failure): Promise<StreamItem | undefined> {
    const { context, signal } = this.#options;
    if (this.#attempts === 0) return this.#fail(failure);
    this.#waitsUntilMs ??= Date.now() + context.settings.placement_ms;
    if (Date.now() >= this.#waitsUntilMs) return this.#fail(failure);
    this.#detached = !(await sleep(placementPauseMs, signal));
    return undefined;
  }

  /** Fills the cache on one engine, for the next attempt to go on from. */
  async #runPrefill(
    route: Route,
    passage: Passage,
  ): Promise<StreamItem | undefined> {
    const generation = { ...this.#generation(), prefillOnly: true };
    const outcome = await this.#runOn(route, passage, generation);
    if (outcome.kind !== 'ended') return this.#after(route, outcome);
    this.#goOnFrom(route, generation.id);
    return undefined;
  }

  async #runWhole(
    route: Route,
    passage: Passage,
  ): Promise<StreamItem | undefined> {
    const generation = { ...this.#generation(), cacheFrom: this.#cacheFrom };
    this.#tellMoved(route.engine, generation.id);
    const outcome = await this.#runOn(route, passage, generation);
    if (outcome.kind !== 'ended') return this.#after(route, outcome);
    if (outcome.end.reason === 'moved') {
      this.#goOnFrom(route, generation.id);
      return undefined;
    }
    if (outcome.end.reason === 'cancelled') return this.#cut(route);
    return this.#end(outcome.end);
  }

  async #runOn(
    route: Route,
    passage: Passage,
    generation: Generation,
  ): Promise<StreamOutcome> {
    const { context, request, signal } = this.#options;
    const executedBefore = this.#executed;
    this.#executed = 'unknown';
    this.#current = { engine: route.engine, id: generation.id };
    const outcome = await runOnEngine({
      context,
      request,
      generation,
      route,
      pieces: this.#placement.pieces,
      passage,
      answer: generation.prefillOnly === true ? new AnswerText() : this.#answer,
      signal,
      onChunk: chunk => this.#emit({ kind: 'chunk', chunk }),
    });
    const unrun =
      outcome.kind === 'failed' && outcome.failure.executed === 'no';
    if (unrun) this.#executed = executedBefore;
    return outcome;
  }

  #generation(): Generation {
    const { request } = this.#options;
    const { texts, next } = this.#answer;
    this.#attempts += 1;
    return {
      id: `${request.id}-${this.#attempts}`,
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
  #goOnFrom({ engine }: Route, id: string): void {
    this.#cacheFrom = { address: engine.address, id };
    this.#placement.avoid(engine);
  }

  /** The engine ended a stream that nobody cancelled: go on elsewhere. */
  #cut({ engine }: Route): StreamItem | undefined {
    this.#placement.avoid(engine);
    return this.#attemptsLeft() ? undefined : this.#fail(gaveUp());
  }

  async #end(end: StreamEnd): Promise<StreamItem> {
    const { context, request } = this.#options;
    const { customer } = request.entitlement;
    const { name } = request.model;
    context.options.estimator.learn(customer, name, end.outputTokens);
    await this.#start();
    return { kind: 'end', end };
  }

  /** What follows an outcome other than an end. */
  #after(route: Route, outcome: StreamOutcome): StreamItem | undefined {
    if (outcome.kind === 'aborted') {
      this.#detached = true;
      return undefined;
    }
    this.#cacheFrom = undefined;
    this.#placement.avoid(route.engine);
    const failure = outcome.kind === 'failed' ? outcome.failure : gaveUp();
    if (!this.#attemptsLeft()) return this.#fail(failure);
    // The quarantine bounds crashes; everything else takes from the budget.
    if (outcome.kind === 'crashed') return undefined;
    const { metrics, retries } = this.#options.context.options;
    if (retries.take()) {
      metrics?.countRetry('models');
      return undefined;
    }
    metrics?.countBudgetExhausted('models');
    return this.#fail(budgetExhausted(failure));
  }

  #attemptsLeft(): boolean {
    return this.#attempts < this.#options.context.settings.max_attempts;
  }

  #fail(failure: Failure): StreamItem {
    const unknown = this.#executed === 'unknown';
    return {
      kind: 'failure',
      failure: unknown ? failure.withExecuted('unknown') : failure,
    };
  }

  #tellMoved(engine: Engine, id: string): void {
    if (this.#started === undefined) return;
    const { next, texts } = this.#answer;
    const place = { engine: engine.name, id, from: next };
    this.#options.context.moved.moved(this.#started, place, texts);
  }

  /** Passes an item on, after the id of the stream if it is the first. */
  async #emit(item: StreamItem): Promise<boolean> {
    await this.#start();
    return this.#options.emit(item);
  }

  /** Tells the caller the id of the stream. */
  async #start(): Promise<void> {
    if (this.#started !== undefined || this.#current === undefined) return;
    const { context, emit, request } = this.#options;
    const { engine, id } = this.#current;
    const { customer } = request.entitlement;
    const address = { engine: engine.name, id, customer };
    this.#started = streamKey(address);
    await emit({ kind: 'started', id: context.ids.encode(address) });
  }
}

const gaveUp = (): Failure =>
  new Failure('target_failed', 'no engine finished the answer', {
    retryAfterMs,
  });

const budgetExhausted = (failure: Failure): Failure =>
  new Failure('retry_budget_exhausted', failure.message, {
    retryAfterMs,
    cause: failure,
  });
