/** Chooses the engine for a generation. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type {
  DirectoryEntry,
  TargetDirectory,
} from '../membership/target-directory.js';
import { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';
import type { Engine, LoadReport, ModelId, Role } from '../target/target.js';

import { costMs, routingSpeedSchema, uncachedTokens } from './cost-model.js';
import type { RoutingSpeed, Stage } from './cost-model.js';
import type { LoadBook } from './load-estimator.js';
import type { PrefixIndex } from './prefix-index.js';

export interface RouterOptions {
  readonly directory: TargetDirectory;
  readonly book: LoadBook;
  readonly prefixes: PrefixIndex;
  readonly random: () => number;
  readonly speed?: RoutingSpeed;
  /** Engines drawn at random and compared. */
  readonly choices?: number;
  /** What another data centre must save to be chosen. */
  readonly spillMarginMs?: number;
  /** Engines that may not be chosen now, such as those with open circuits. */
  readonly blocked?: (engine: string) => boolean;
}

/** What is to be placed. */
export interface RouteRequest {
  readonly model: ModelId;
  /** Digests of the prompt's prefix pieces. */
  readonly pieces: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly deadline: Deadline;
  /** Engines that failed this request already. */
  readonly exclude?: ReadonlySet<string>;
  /** The one engine that may be chosen. */
  readonly only?: string;
  /** Choose the engine that runs the least. */
  readonly isolated?: boolean;
}

/** An engine chosen for a stage of a request. */
export interface Route {
  readonly engine: Engine;
  readonly local: boolean;
  readonly costMs: number;
  /** Prompt tokens that the engine will have to prefill. */
  readonly prefillTokens: number;
}

/** One engine for everything, or one for the prefill before another. */
export type Placement =
  | { readonly kind: 'whole'; readonly route: Route }
  | { readonly kind: 'split'; readonly prefill: Route };

interface Candidate {
  readonly entry: DirectoryEntry<Engine>;
  readonly report: LoadReport;
}

const rolesOfStage: Readonly<Record<Stage, readonly Role[]>> = {
  whole: ['mixed', 'decode'],
  prefill: ['prefill'],
  decode: ['decode', 'mixed'],
};

/** When to come back if no engine can be chosen. */
const noTargetRetryMs = 1_000;

export class Router {
  readonly #options: RouterOptions;
  readonly #speed: RoutingSpeed;
  readonly #choices: number;
  readonly #spillMarginMs: number;

  constructor(options: RouterOptions) {
    this.#options = options;
    this.#speed = options.speed ?? routingSpeedSchema.parse({});
    this.#choices = options.choices ?? 2;
    this.#spillMarginMs = options.spillMarginMs ?? 50;
  }

  /** Places a request whole, or split where roles make that cheaper. */
  place(request: RouteRequest): Either<Failure, Placement> {
    const whole = this.#route(request, 'whole');
    const prefill = this.#route(request, 'prefill');
    const decode = prefill && this.#route(request, 'decode');
    const splitMs =
      prefill && decode ? prefill.costMs + decode.costMs : Infinity;
    if (prefill && splitMs < (whole?.costMs ?? Infinity)) {
      return Right({ kind: 'split', prefill });
    }
    if (whole !== undefined) return Right({ kind: 'whole', route: whole });
    return Left(noTarget(request));
  }

  /** Chooses an engine for one stage. */
  route(request: RouteRequest, stage: Stage): Either<Failure, Route> {
    const route = this.#route(request, stage);
    return route === undefined ? Left(noTarget(request)) : Right(route);
  }

  #route(request: RouteRequest, stage: Stage): Route | undefined {
    const candidates = this.#candidates(request, stage);
    const price = (candidate: Candidate) =>
      this.#price(candidate, request, stage);
    if (request.isolated === true) {
      const idle = this.#leastBusy(candidates);
      return idle && price(idle);
    }
    const local = candidates.filter(({ entry }) => entry.local);
    const remote = candidates.filter(({ entry }) => !entry.local);
    const best = this.#nearer(
      cheapest(this.#draw(local, request).map(price)),
      cheapest(this.#draw(remote, request).map(price)),
    );
    const late = best !== undefined && best.costMs > request.deadline.leftMs;
    return late ? cheapest(candidates.map(price)) : best;
  }

  /** Engines that have the model, accept work and are not leaving. */
  #candidates(request: RouteRequest, stage: Stage): Candidate[] {
    const { book, directory, blocked } = this.#options;
    const candidates: Candidate[] = [];
    for (const entry of directory.engines()) {
      const { name } = entry.target;
      if (request.only !== undefined && request.only !== name) continue;
      if (entry.leaving || request.exclude?.has(name)) continue;
      if (blocked?.(name) === true) continue;
      const report = book.report(name);
      if (report === undefined || !serves(report, request.model, stage)) {
        continue;
      }
      candidates.push({ entry, report });
    }
    return candidates;
  }

  /** Some engines at random, and some of those with the longest prefix. */
  #draw(
    candidates: readonly Candidate[],
    request: RouteRequest,
  ): readonly Candidate[] {
    if (candidates.length <= this.#choices) return candidates;
    const drawn = this.#sample(candidates);
    if (request.pieces.length === 0) return drawn;
    return [...drawn, ...this.#sample(this.#holders(candidates, request))];
  }

  #holders(
    candidates: readonly Candidate[],
    request: RouteRequest,
  ): readonly Candidate[] {
    const { prefixes } = this.#options;
    let longest = 1;
    let holders: Candidate[] = [];
    for (const candidate of candidates) {
      const { name } = candidate.entry.target;
      const { pieces } = prefixes.cached(name, request.pieces);
      if (pieces < longest) continue;
      if (pieces > longest) holders = [];
      longest = pieces;
      holders.push(candidate);
    }
    return holders;
  }

  #sample(candidates: readonly Candidate[]): readonly Candidate[] {
    if (candidates.length <= this.#choices) return candidates;
    const rest = [...candidates];
    const drawn: Candidate[] = [];
    while (drawn.length < this.#choices) {
      const index = Math.floor(this.#options.random() * rest.length);
      drawn.push(...rest.splice(index, 1));
    }
    return drawn;
  }

  #price(candidate: Candidate, request: RouteRequest, stage: Stage): Route {
    const { book, prefixes } = this.#options;
    const { target: engine, local } = candidate.entry;
    const load = book.estimate(engine.name, request.priority);
    const cached = prefixes.cached(engine.name, request.pieces);
    const work = { ...request, stage };
    const cost =
      load === undefined
        ? Infinity
        : costMs(work, load, cached, this.#speed) +
          (local ? 0 : this.#speed.cross_center_ms);
    return {
      engine,
      local,
      costMs: cost,
      prefillTokens: uncachedTokens(work, cached),
    };
  }

  /** Another data centre is chosen only when it saves the margin. */
  #nearer(local?: Route, remote?: Route): Route | undefined {
    if (local === undefined || remote === undefined) return local ?? remote;
    return remote.costMs + this.#spillMarginMs < local.costMs ? remote : local;
  }

  #leastBusy(candidates: readonly Candidate[]): Candidate | undefined {
    const { book, random } = this.#options;
    const busy = (candidate: Candidate) =>
      book.estimate(candidate.entry.target.name)?.requests ?? Infinity;
    const least = Math.min(...candidates.map(busy));
    const idlest = candidates.filter(candidate => busy(candidate) === least);
    return idlest[Math.floor(random() * idlest.length)];
  }
}

const serves = (report: LoadReport, model: ModelId, stage: Stage): boolean =>
  report.accepting &&
  !report.leaving &&
  rolesOfStage[stage].includes(report.role) &&
  report.models.some(
    loaded =>
      loaded.name === model.name &&
      loaded.version === model.version &&
      loaded.adapter === model.adapter,
  );

const cheapest = (routes: readonly Route[]): Route | undefined => {
  let best = routes[0];
  for (const route of routes) {
    if (best === undefined || route.costMs < best.costMs) best = route;
  }
  return best;
};

const noTarget = (request: RouteRequest): Failure =>
  new Failure('no_target', `no engine can run "${request.model.name}" now`, {
    retryAfterMs: noTargetRetryMs,
  });
