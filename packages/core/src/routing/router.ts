/** Chooses the engine for a generation. */
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
  /** Engines drawn at random and compared. */
  readonly sampleSize?: number;
  /** What another data centre must save to be chosen. */
  readonly crossDataCenterMarginMs?: number;
  /** Engines that may not be chosen now, such as those with open circuits. */
  readonly isBlocked?: (engine: string) => boolean;
}

/** What is to be placed. */
export interface RouteRequest {
  readonly model: ModelId;
  /** Digests of the prompt's prefix pieces. */
  readonly prefixBlocks: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly deadline: Deadline;
  /** Engines that failed this request already. */
  readonly excludedEngines?: ReadonlySet<string>;
  /** The one engine that may be chosen. */
  readonly requiredEngine?: string;
  /** Choose the engine that runs the least. */
  readonly isIsolated?: boolean;
}

/** An engine chosen for a stage of a request. */
export interface Route {
  readonly engine: Engine;
  readonly isLocal: boolean;
  readonly costMs: number;
  /** Prompt tokens that the engine will have to prefill. */
  readonly prefillTokens: number;
}

/** One engine for everything, or one for the prefill before another. */
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

/** When to come back if no engine can be chosen. */
const noTargetRetryAfterMs = 1_000;

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

  /** Places a request whole, or split where roles make that cheaper. */
  placeRequest(request: RouteRequest): Either<Failure, Placement> {
    const whole = this.#findRoute(request, 'whole');
    const prefill = this.#findRoute(request, 'prefill');
    const decode = prefill && this.#findRoute(request, 'decode');
    const splitMs =
      prefill && decode ? prefill.costMs + decode.costMs : Infinity;
    if (prefill && splitMs < (whole?.costMs ?? Infinity)) {
      return Right({ kind: 'split', prefill });
    }
    if (whole !== undefined) return Right({ kind: 'whole', route: whole });
    return Left(createNoTargetFailure(request));
  }

  /** Chooses an engine for one stage. */
  routeStage(request: RouteRequest, stage: Stage): Either<Failure, Route> {
    const route = this.#findRoute(request, stage);
    return route === undefined
      ? Left(createNoTargetFailure(request))
      : Right(route);
  }

  #findRoute(request: RouteRequest, stage: Stage): Route | undefined {
    const candidates = this.#listCandidates(request, stage);
    const price = (candidate: RouteCandidate) =>
      this.#estimateRoute(candidate, request, stage);
    if (request.isIsolated === true) {
      const idle = this.#findLeastBusy(candidates);
      return idle && price(idle);
    }
    const local = candidates.filter(({ entry }) => entry.isLocal);
    const remote = candidates.filter(({ entry }) => !entry.isLocal);
    const best = this.#preferLocal(
      findCheapest(this.#sampleForRequest(local, request).map(price)),
      findCheapest(this.#sampleForRequest(remote, request).map(price)),
    );
    const late =
      best !== undefined && best.costMs > request.deadline.remainingMs;
    return late ? findCheapest(candidates.map(price)) : best;
  }

  /** Engines that have the model, accept work and are not leaving. */
  #listCandidates(request: RouteRequest, stage: Stage): RouteCandidate[] {
    const {
      loadEstimator: book,
      directory,
      isBlocked: blocked,
    } = this.#options;
    const candidates: RouteCandidate[] = [];
    for (const entry of directory.listEngines()) {
      const { name } = entry.target;
      if (
        request.requiredEngine !== undefined &&
        request.requiredEngine !== name
      )
        continue;
      if (entry.isLeaving || request.excludedEngines?.has(name)) continue;
      if (blocked?.(name) === true) continue;
      const report = book.findRecentReport(name);
      if (report === undefined || !canServe(report, request.model, stage)) {
        continue;
      }
      candidates.push({ entry, report });
    }
    return candidates;
  }

  /** Some engines at random, and some of those with the longest prefix. */
  #sampleForRequest(
    candidates: readonly RouteCandidate[],
    request: RouteRequest,
  ): readonly RouteCandidate[] {
    if (candidates.length <= this.#sampleSize) return candidates;
    const drawn = this.#sampleCandidates(candidates);
    if (request.prefixBlocks.length === 0) return drawn;
    return [
      ...drawn,
      ...this.#sampleCandidates(
        this.#findLongestPrefixHolders(candidates, request),
      ),
    ];
  }

  #findLongestPrefixHolders(
    candidates: readonly RouteCandidate[],
    request: RouteRequest,
  ): readonly RouteCandidate[] {
    const { prefixIndex: prefixes } = this.#options;
    let longest = 1;
    let holders: RouteCandidate[] = [];
    for (const candidate of candidates) {
      const { name } = candidate.entry.target;
      const { blocks: pieces } = prefixes.findCachedPrefix(
        name,
        request.prefixBlocks,
      );
      if (pieces < longest) continue;
      if (pieces > longest) holders = [];
      longest = pieces;
      holders.push(candidate);
    }
    return holders;
  }

  #sampleCandidates(
    candidates: readonly RouteCandidate[],
  ): readonly RouteCandidate[] {
    if (candidates.length <= this.#sampleSize) return candidates;
    const rest = [...candidates];
    const drawn: RouteCandidate[] = [];
    while (drawn.length < this.#sampleSize) {
      const index = Math.floor(this.#options.random() * rest.length);
      drawn.push(...rest.splice(index, 1));
    }
    return drawn;
  }

  #estimateRoute(
    candidate: RouteCandidate,
    request: RouteRequest,
    stage: Stage,
  ): Route {
    const { loadEstimator: book, prefixIndex: prefixes } = this.#options;
    const { target: engine, isLocal: local } = candidate.entry;
    const load = book.estimateLoad(engine.name, request.priority);
    const cached = prefixes.findCachedPrefix(engine.name, request.prefixBlocks);
    const work = { ...request, stage };
    const cost =
      load === undefined
        ? Infinity
        : estimateCostMs(work, load, cached, this.#engineSpeed) +
          (local ? 0 : this.#engineSpeed.cross_center_ms);
    return {
      engine,
      isLocal: local,
      costMs: cost,
      prefillTokens: countUncachedTokens(work, cached),
    };
  }

  /** Another data centre is chosen only when it saves the margin. */
  #preferLocal(local?: Route, remote?: Route): Route | undefined {
    if (local === undefined || remote === undefined) return local ?? remote;
    return remote.costMs + this.#crossDataCenterMarginMs < local.costMs
      ? remote
      : local;
  }

  #findLeastBusy(
    candidates: readonly RouteCandidate[],
  ): RouteCandidate | undefined {
    const { loadEstimator: book, random } = this.#options;
    const busy = (candidate: RouteCandidate) =>
      book.estimateLoad(candidate.entry.target.name)?.requests ?? Infinity;
    const least = Math.min(...candidates.map(busy));
    const idlest = candidates.filter(candidate => busy(candidate) === least);
    return idlest[Math.floor(random() * idlest.length)];
  }
}

const canServe = (report: LoadReport, model: ModelId, stage: Stage): boolean =>
  report.accepting &&
  !report.leaving &&
  rolesByStage[stage].includes(report.role) &&
  report.models.some(
    loaded =>
      loaded.name === model.name &&
      loaded.version === model.version &&
      loaded.adapter === model.adapter,
  );

const findCheapest = (routes: readonly Route[]): Route | undefined => {
  let best = routes[0];
  for (const route of routes) {
    if (best === undefined || route.costMs < best.costMs) best = route;
  }
  return best;
};

const createNoTargetFailure = (request: RouteRequest): Failure =>
  new Failure('no_target', `no engine can run "${request.model.name}" now`, {
    retryAfterMs: noTargetRetryAfterMs,
  });
