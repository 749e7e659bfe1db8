/**
 * Chooses the engine, or the pair of engines, that runs a generation request.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type {
  TargetEntry,
  TargetDirectory,
} from '../membership/target-directory.js';
import { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';
import type {
  Engine,
  LoadReport,
  ModelId,
  EngineRole,
} from '../target/target.js';

import {
  estimateCostMs,
  engineSpeedSchema,
  countUncachedTokens,
} from './cost-model.js';
import type { EngineSpeed, Stage } from './cost-model.js';
import type { LoadEstimator } from './load-estimator.js';
import type { PrefixIndex } from './prefix-index.js';

export interface RouterOptions {
  readonly directory: TargetDirectory;
  readonly loadEstimator: LoadEstimator;
  readonly prefixIndex: PrefixIndex;
  readonly random: () => number;
  readonly engineSpeed?: EngineSpeed;
  /** Number of engines that are sampled at random and compared by cost. */
  readonly sampleSize?: number;
  /**
   * Time in milliseconds by which a remote data centre must be cheaper to be
   * chosen.
   */
  readonly crossDataCenterMarginMs?: number;
  /**
   * Returns true for engines that must not be chosen now, for example because
   * their circuit is open.
   */
  readonly isBlocked?: (engine: string) => boolean;
}

/** Request for which the router chooses an engine. */
export interface RouteRequest {
  readonly model: ModelId;
  /** Digests of the prefix blocks of the prompt. */
  readonly prefixBlocks: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly deadline: Deadline;
  /** Engines that already failed this request. */
  readonly excludedEngines?: ReadonlySet<string>;
  /** Name of the only engine that may be chosen. */
  readonly requiredEngine?: string;
  /** True to choose the engine with the fewest requests. */
  readonly isIsolated?: boolean;
}

/** Engine chosen for one stage of a request, and the estimated cost. */
export interface Route {
  readonly engine: Engine;
  readonly isLocal: boolean;
  readonly costMs: number;
  /** Prompt tokens that the engine has to prefill. */
  readonly prefillTokens: number;
}

/**
 * One engine for the whole request, or a prefill engine whose result a decode
 * engine, chosen later, continues.
 */
export type Placement =
  | { readonly kind: 'whole'; readonly route: Route }
  | { readonly kind: 'split'; readonly prefill: Route };

interface RouteCandidate {
  readonly entry: TargetEntry<Engine>;
  readonly report: LoadReport;
}

const rolesByStage: Readonly<Record<Stage, readonly EngineRole[]>> = {
  whole: ['mixed', 'decode'],
  prefill: ['prefill'],
  decode: ['decode', 'mixed'],
};

/**
 * Milliseconds after which the caller may retry when no engine can be chosen.
 */
const noTargetRetryAfterMs = 1_000;

/**
 * Chooses engines by estimated cost among a random sample of the candidates.
 */
export class Router {
  readonly #options: RouterOptions;
  readonly #engineSpeed: EngineSpeed;
  readonly #sampleSize: number;
  readonly #crossDataCenterMarginMs: number;

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#engineSpeed = options.engineSpeed ?? engineSpeedSchema.parse({});
    this.#sampleSize = options.sampleSize ?? 2;
    this.#crossDataCenterMarginMs = options.crossDataCenterMarginMs ?? 50;
  }

  /**
   * Chooses one engine for the request, or splits it if separate prefill and
   * decode engines are cheaper. Fails with `no_target`.
   */
  placeRequest(request: RouteRequest): Either<Failure, Placement> {
    const wholeRoute = this.#findRoute(request, 'whole');
    const prefill = this.#findRoute(request, 'prefill');
    const decodeRoute = prefill && this.#findRoute(request, 'decode');
    const splitMs =
      prefill && decodeRoute ? prefill.costMs + decodeRoute.costMs : Infinity;
    if (prefill && splitMs < (wholeRoute?.costMs ?? Infinity)) {
      return Right({ kind: 'split', prefill });
    }
    if (wholeRoute !== undefined)
      return Right({ kind: 'whole', route: wholeRoute });
    return Left(createNoTargetFailure(request));
  }

  /** Chooses an engine for one stage. Fails with `no_target`. */
  routeStage(request: RouteRequest, stage: Stage): Either<Failure, Route> {
    const route = this.#findRoute(request, stage);
    return route === undefined
      ? Left(createNoTargetFailure(request))
      : Right(route);
  }

  #findRoute(request: RouteRequest, stage: Stage): Route | undefined {
    const candidates = this.#listCandidates(request, stage);
    const estimateRoute = (candidate: RouteCandidate) =>
      this.#estimateRoute(candidate, request, stage);
    if (request.isIsolated === true) {
      const leastBusy = this.#findLeastBusy(candidates);
      return leastBusy && estimateRoute(leastBusy);
    }
    const localCandidates = candidates.filter(({ entry }) => entry.isLocal);
    const remoteCandidates = candidates.filter(({ entry }) => !entry.isLocal);
    const best = this.#preferLocal(
      findCheapest(
        this.#sampleForRequest(localCandidates, request).map(estimateRoute),
      ),
      findCheapest(
        this.#sampleForRequest(remoteCandidates, request).map(estimateRoute),
      ),
    );
    const isLate =
      best !== undefined && best.costMs > request.deadline.remainingMs;
    return isLate ? findCheapest(candidates.map(estimateRoute)) : best;
  }

  /** Lists the engines that have the model, accept work and are not leaving. */
  #listCandidates(request: RouteRequest, stage: Stage): RouteCandidate[] {
    const { loadEstimator, directory, isBlocked } = this.#options;
    const candidates: RouteCandidate[] = [];
    for (const entry of directory.listEngines()) {
      const { name } = entry.target;
      if (
        request.requiredEngine !== undefined &&
        request.requiredEngine !== name
      )
        continue;
      if (entry.isLeaving || request.excludedEngines?.has(name)) continue;
      if (isBlocked?.(name) === true) continue;
      const report = loadEstimator.findRecentReport(name);
      if (report === undefined || !canServe(report, request.model, stage)) {
        continue;
      }
      candidates.push({ entry, report });
    }
    return candidates;
  }

  /**
   * Returns a random sample of the engines and a random sample of those with
   * the longest cached prefix.
   */
  #sampleForRequest(
    candidates: readonly RouteCandidate[],
    request: RouteRequest,
  ): readonly RouteCandidate[] {
    if (candidates.length <= this.#sampleSize) return candidates;
    const sample = this.#sampleCandidates(candidates);
    if (request.prefixBlocks.length === 0) return sample;
    return [
      ...sample,
      ...this.#sampleCandidates(
        this.#findLongestPrefixHolders(candidates, request),
      ),
    ];
  }

  #findLongestPrefixHolders(
    candidates: readonly RouteCandidate[],
    request: RouteRequest,
  ): readonly RouteCandidate[] {
    const { prefixIndex } = this.#options;
    let longestPrefixBlocks = 1;
    let holders: RouteCandidate[] = [];
    for (const candidate of candidates) {
      const { name } = candidate.entry.target;
      const { blocks } = prefixIndex.findCachedPrefix(
        name,
        request.prefixBlocks,
      );
      if (blocks < longestPrefixBlocks) continue;
      if (blocks > longestPrefixBlocks) holders = [];
      longestPrefixBlocks = blocks;
      holders.push(candidate);
    }
    return holders;
  }

  #sampleCandidates(
    candidates: readonly RouteCandidate[],
  ): readonly RouteCandidate[] {
    if (candidates.length <= this.#sampleSize) return candidates;
    const remaining = [...candidates];
    const sample: RouteCandidate[] = [];
    while (sample.length < this.#sampleSize) {
      const index = Math.floor(this.#options.random() * remaining.length);
      sample.push(...remaining.splice(index, 1));
    }
    return sample;
  }

  #estimateRoute(
    candidate: RouteCandidate,
    request: RouteRequest,
    stage: Stage,
  ): Route {
    const { loadEstimator, prefixIndex } = this.#options;
    const { target: engine, isLocal } = candidate.entry;
    const load = loadEstimator.estimateLoad(engine.name, request.priority);
    const cached = prefixIndex.findCachedPrefix(
      engine.name,
      request.prefixBlocks,
    );
    const work = { ...request, stage };
    const costMs =
      load === undefined
        ? Infinity
        : estimateCostMs(work, load, cached, this.#engineSpeed) +
          (isLocal ? 0 : this.#engineSpeed.cross_center_ms);
    return {
      engine,
      isLocal,
      costMs,
      prefillTokens: countUncachedTokens(work, cached),
    };
  }

  /** Chooses the remote route only if it is cheaper by more than the margin. */
  #preferLocal(local?: Route, remote?: Route): Route | undefined {
    if (local === undefined || remote === undefined) return local ?? remote;
    return remote.costMs + this.#crossDataCenterMarginMs < local.costMs
      ? remote
      : local;
  }

  #findLeastBusy(
    candidates: readonly RouteCandidate[],
  ): RouteCandidate | undefined {
    const { loadEstimator, random } = this.#options;
    const countRequests = (candidate: RouteCandidate) =>
      loadEstimator.estimateLoad(candidate.entry.target.name)?.requests ??
      Infinity;
    const fewestRequests = Math.min(...candidates.map(countRequests));
    const leastBusyCandidates = candidates.filter(
      candidate => countRequests(candidate) === fewestRequests,
    );
    return leastBusyCandidates[
      Math.floor(random() * leastBusyCandidates.length)
    ];
  }
}

const canServe = (report: LoadReport, model: ModelId, stage: Stage): boolean =>
  report.accepting &&
  !report.leaving &&
  rolesByStage[stage].includes(report.role) &&
  report.models.some(
    loadedModel =>
      loadedModel.name === model.name &&
      loadedModel.version === model.version &&
      loadedModel.adapter === model.adapter,
  );

const findCheapest = (routes: readonly Route[]): Route | undefined => {
  let best = routes[0];
  for (const route of routes) {
    if (best === undefined || route.costMs < best.costMs) best = route;
  }
  return best;
};

const createNoTargetFailure = (request: RouteRequest): Failure =>
  new Failure(
    'no_target',
    `no engine that accepts work has model "${request.model.name}"; retry later`,
    {
      retryAfterMs: noTargetRetryAfterMs,
    },
  );
