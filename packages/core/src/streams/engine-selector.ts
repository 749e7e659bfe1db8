/** Selects the engines that one request is sent to. */
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { RunPermit } from '../quarantine/quarantine.js';
import { digestPrefixBlocks } from '../routing/prefix-blocks.js';
import type { Placement, Route, RouteRequest } from '../routing/router.js';
import type { Failure } from '../shared/failure.js';
import type { Engine } from '../target/target.js';

import type { GenerationRequest } from './generation-dispatcher.js';
import type { StreamContext } from './stream-context.js';

/** Routes the attempts of one request and avoids engines that failed it. */
export class EngineSelector {
  /** Digests of the prompt's prefix blocks. */
  readonly prefixBlocks: readonly string[];
  readonly #context: StreamContext;
  readonly #request: GenerationRequest;
  /** Incarnation to avoid, by engine name. */
  readonly #excludedIncarnations = new Map<string, string>();

  constructor(context: StreamContext, request: GenerationRequest) {
    this.#context = context;
    this.#request = request;
    this.prefixBlocks = digestPrefixBlocks(request.model, request.prompt);
  }

  /** Excludes this incarnation of the engine from later attempts. */
  excludeEngine({ name, incarnation }: Engine): void {
    this.#excludedIncarnations.set(name, incarnation);
  }

  /** Places the request, given the number of tokens generated so far. */
  selectPlacement(generatedTokens: number): Either<Failure, Placement> {
    return this.#context.options.router.placeRequest(
      this.#createRouteRequest(generatedTokens),
    );
  }

  /**
   * Returns the preferred route if the permit allows its engine, or else routes
   * the whole request to an engine that the permit allows. Engines that the
   * permit or earlier attempts exclude are used when no other engine fits.
   */
  selectPermittedRoute(
    permit: RunPermit,
    preferredRoute: Route,
    generatedTokens: number,
  ): Either<Failure, Route> {
    const { router } = this.#context.options;
    const { avoidedTargets, isIsolated, target: requiredTarget } = permit;
    const request = this.#createRouteRequest(generatedTokens);
    if (
      requiredTarget !== undefined &&
      requiredTarget !== preferredRoute.engine.name
    ) {
      return router.routeStage(
        { ...request, requiredEngine: requiredTarget },
        'whole',
      );
    }
    if (!isIsolated && !avoidedTargets.includes(preferredRoute.engine.name)) {
      return Right(preferredRoute);
    }
    const excludedEngines = new Set([
      ...this.#listExcludedEngines(),
      ...avoidedTargets,
    ]);
    return router
      .routeStage({ ...request, excludedEngines, isIsolated }, 'whole')
      .alt(router.routeStage({ ...request, isIsolated }, 'whole'));
  }

  /** Lists the excluded engines that have not restarted since. */
  #listExcludedEngines(): Set<string> {
    const excludedEntries = [...this.#excludedIncarnations].filter(
      ([name, incarnation]) =>
        this.#context.findEngine(name)?.incarnation === incarnation,
    );
    return new Set(excludedEntries.map(([name]) => name));
  }

  #createRouteRequest(generatedTokens: number): RouteRequest {
    const { deadline, entitlement, maxTokens, model, promptTokens } =
      this.#request;
    const { customer, ranking } = entitlement;
    const { outputLengthEstimator } = this.#context.options;
    const expectedTokens = outputLengthEstimator.estimateOutputTokens(
      customer,
      model.name,
      maxTokens,
    );
    return {
      model,
      prefixBlocks: this.prefixBlocks,
      promptTokens,
      outputTokens: Math.max(1, expectedTokens - generatedTokens),
      priority: ranking.priority,
      deadline,
      excludedEngines: this.#listExcludedEngines(),
    };
  }
}
