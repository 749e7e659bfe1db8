/** Chooses the engines of one request. */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { Passage } from '../quarantine/quarantine.js';
import { promptPieces } from '../routing/prefix-blocks.js';
import type { Placement, Route, RouteRequest } from '../routing/router.js';
import type { Failure } from '../shared/failure.js';
import type { Engine } from '../target/target.js';

import type { GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';

export class AnswerPlacement {
  /** Digests of the prompt's prefix pieces. */
  readonly pieces: readonly string[];
  readonly #context: StreamContext;
  readonly #request: GenerationRequest;
  /** Incarnations to avoid, by the engine's name. */
  readonly #avoided = new Map<string, string>();

  constructor(context: StreamContext, request: GenerationRequest) {
    this.#context = context;
    this.#request = request;
    this.pieces = promptPieces(request.model, request.prompt);
  }

  /** Sends the request to this incarnation no more. */
  avoid({ name, incarnation }: Engine): void {
    this.#avoided.set(name, incarnation);
  }

  /** The preferred engine, with `done` tokens generated so far. */
  place(done: number): Either<Failure, Placement> {
    return this.#context.options.router.place(this.#routeRequest(done));
  }

  /** The engine that the quarantine allows, if not the preferred one. */
  allowed(
    passage: Passage,
    preferred: Route,
    done: number,
  ): Either<Failure, Route> {
    const { router } = this.#context.options;
    const { avoid, isolated, target: only } = passage;
    const request = this.#routeRequest(done);
    if (only !== undefined && only !== preferred.engine.name) {
      return router.route({ ...request, only }, 'whole');
    }
    if (!isolated && !avoid.includes(preferred.engine.name)) {
      return Right(preferred);
    }
    const exclude = new Set([...this.#excluded(), ...avoid]);
    return router
      .route({ ...request, exclude, isolated }, 'whole')
      .alt(router.route({ ...request, isolated }, 'whole'));
  }

  /** A restarted engine may be tried again. */
  #excluded(): Set<string> {
    const excluded = [...this.#avoided].filter(
      ([name, incarnation]) =>
        this.#context.engine(name)?.incarnation === incarnation,
    );
    return new Set(excluded.map(([name]) => name));
  }

  #routeRequest(done: number): RouteRequest {
    const { deadline, entitlement, maxTokens, model, promptTokens } =
      this.#request;
    const { customer, ranking } = entitlement;
    const { estimator } = this.#context.options;
    const expected = estimator.estimate(customer, model.name, maxTokens);
    return {
      model,
      pieces: this.pieces,
      promptTokens,
      outputTokens: Math.max(1, expected - done),
      priority: ranking.priority,
      deadline,
      exclude: this.#excluded(),
    };
  }
}
