/** Chooses the engines of one request. */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { RunPermit } from '../quarantine/quarantine.js';
import { digestPrefixBlocks } from '../routing/prefix-blocks.js';
import type { Placement, Route, RouteRequest } from '../routing/router.js';
import type { Failure } from '../shared/failure.js';
import type { Engine } from '../target/target.js';

import type { GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';

export class EngineSelector {
  /** Digests of the prompt's prefix pieces. */
  readonly prefixBlocks: readonly string[];
  readonly #context: StreamContext;
  readonly #request: GenerationRequest;
  /** Incarnations to avoid, by the engine's name. */
  readonly #excludedIncarnations = new Map<string, string>();

  constructor(context: StreamContext, request: GenerationRequest) {
    this.#context = context;
    this.#request = request;
    this.prefixBlocks = digestPrefixBlocks(request.model, request.prompt);
  }

  /** Sends the request to this incarnation no more. */
  excludeEngine({ name, incarnation }: Engine): void {
    this.#excludedIncarnations.set(name, incarnation);
  }

  /** The preferred engine, with `done` tokens generated so far. */
  selectPlacement(done: number): Either<Failure, Placement> {
    return this.#context.options.router.placeRequest(
      this.#createRouteRequest(done),
    );
  }

  /** The engine that the quarantine allows, if not the preferred one. */
  selectPermittedRoute(
    passage: RunPermit,
    preferred: Route,
    done: number,
  ): Either<Failure, Route> {
    const { router } = this.#context.options;
    const {
      avoidedTargets: avoid,
      isIsolated: isolated,
      target: only,
    } = passage;
    const request = this.#createRouteRequest(done);
    if (only !== undefined && only !== preferred.engine.name) {
      return router.routeStage({ ...request, requiredEngine: only }, 'whole');
    }
    if (!isolated && !avoid.includes(preferred.engine.name)) {
      return Right(preferred);
    }
    const exclude = new Set([...this.#listExcludedEngines(), ...avoid]);
    return router
      .routeStage(
        { ...request, excludedEngines: exclude, isIsolated: isolated },
        'whole',
      )
      .alt(router.routeStage({ ...request, isIsolated: isolated }, 'whole'));
  }

  /** A restarted engine may be tried again. */
  #listExcludedEngines(): Set<string> {
    const excluded = [...this.#excludedIncarnations].filter(
      ([name, incarnation]) =>
        this.#context.findEngine(name)?.incarnation === incarnation,
    );
    return new Set(excluded.map(([name]) => name));
  }

  #createRouteRequest(done: number): RouteRequest {
    const { deadline, entitlement, maxTokens, model, promptTokens } =
      this.#request;
    const { customer, ranking } = entitlement;
    const { outputLengthEstimator: estimator } = this.#context.options;
    const expected = estimator.estimateOutputTokens(
      customer,
      model.name,
      maxTokens,
    );
    return {
      model,
      prefixBlocks: this.prefixBlocks,
      promptTokens,
      outputTokens: Math.max(1, expected - done),
      priority: ranking.priority,
      deadline,
      excludedEngines: this.#listExcludedEngines(),
    };
  }
}
