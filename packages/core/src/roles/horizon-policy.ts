/**
 * Changes a role only when the answers that it is predicted to gain over a
 * horizon exceed those lost while the engine is away and the cost that the
 * deployment sets on a change.
 */
import type { RoutingSpeed } from '../routing/cost-model.js';
import type { Role } from '../target/target.js';

import { enginesByDataCenter } from './baseline-policies.js';
import { DemandHistory } from './demand-history.js';
import type { Rates } from './demand-history.js';
import {
  countRoles,
  loadFactor,
  servedShare,
  servesBothRoles,
  workOf,
} from './role-capacity.js';
import type { RoleCounts } from './role-capacity.js';
import { RolePolicy } from './role-policy.js';
import type {
  EngineView,
  FleetView,
  RoleChange,
  RoleDecision,
} from './role-policy.js';

export interface HorizonOptions {
  readonly speed: RoutingSpeed;
  /** Answers that a change must gain beyond those it loses. */
  readonly changeCost: number;
  /** Time over which the gain is counted. */
  readonly horizonMs?: number;
  /** Time that a change takes the engine away, draining included. */
  readonly changeMs?: number;
  /** An engine keeps its role at least this long. */
  readonly dwellMs?: number;
  /** Older pictures are not acted on. */
  readonly maxAgeMs?: number;
  /** Length of each window of demand. */
  readonly windowMs?: number;
  /** Windows of the past; these and those half-way must all agree. */
  readonly windows?: number;
}

const defaultHorizonMs = 300_000;
const defaultChangeMs = 12_000;
const defaultDwellMs = 90_000;
const defaultMaxAgeMs = 5_000;
const defaultWindowMs = 8_000;
const defaultWindows = 4;

/** Longest time between two samples of the demand. */
const maxSampleGapMs = 6_000;

interface Candidate {
  readonly change: RoleChange;
  readonly gain: number;
}

interface DataCenterView {
  readonly name: string;
  readonly engines: readonly EngineView[];
  readonly counts: RoleCounts;
  readonly windows: readonly Rates[];
  readonly backlogRate: number;
}

type Outcome =
  | { readonly kind: 'hold'; readonly why: string }
  | { readonly kind: 'change'; readonly change: RoleChange };

const hold = (why: string): Outcome => ({ kind: 'hold', why });

const withoutEngine = (counts: RoleCounts, role: Role): RoleCounts => ({
  ...counts,
  [role]: counts[role] - 1,
});

const withEngine = (counts: RoleCounts, role: Role): RoleCounts => ({
  ...counts,
  [role]: counts[role] + 1,
});

const seconds = (ms: number) => ms / 1_000;

export class HorizonPolicy extends RolePolicy {
  override readonly name = 'horizon';
  readonly #options: Required<HorizonOptions>;
  readonly #history: DemandHistory;

  constructor(options: HorizonOptions) {
    super();
    this.#options = {
      horizonMs: defaultHorizonMs,
      changeMs: defaultChangeMs,
      dwellMs: defaultDwellMs,
      maxAgeMs: defaultMaxAgeMs,
      windowMs: defaultWindowMs,
      windows: defaultWindows,
      ...options,
    };
    const { windowMs, windows } = this.#options;
    this.#history = new DemandHistory(windowMs * windows + maxSampleGapMs);
  }

  override decide(view: FleetView): RoleDecision {
    for (const demand of view.demand) this.#history.add(view.nowMs, demand);
    const changes: RoleChange[] = [];
    const explanations: string[] = [];
    for (const [dataCenter, engines] of enginesByDataCenter(view.engines)) {
      const outcome = this.#decideFor(view, dataCenter, engines);
      if (outcome.kind === 'change') changes.push(outcome.change);
      const words =
        outcome.kind === 'hold' ? outcome.why : outcome.change.reason;
      explanations.push(`${dataCenter}: ${words}`);
    }
    return { changes, explanation: explanations.join('; ') };
  }

  #decideFor(
    view: FleetView,
    name: string,
    engines: readonly EngineView[],
  ): Outcome {
    const stale = this.#staleness(view, name, engines);
    if (stale !== undefined) return hold(stale);
    const counts = countRoles(engines);
    if (!servesBothRoles(counts)) return this.#restore(engines);
    if (engines.some(engine => !engine.available)) {
      return hold('an engine is away; one change at a time');
    }
    const windows = this.#windows(view, name);
    if (windows === undefined) {
      return hold('the demand has not been seen for long enough');
    }
    const waiting = engines.reduce((sum, e) => sum + e.prefillTokens, 0);
    const backlogRate = waiting / seconds(this.#options.horizonMs);
    return this.#best({ name, engines, counts, windows, backlogRate });
  }

  /** Rates of the last windows; `undefined` until all are covered. */
  #windows(view: FleetView, name: string): readonly Rates[] | undefined {
    const { windowMs, windows } = this.#options;
    const demand = view.demand.find(each => each.dataCenter === name);
    const endMs = view.nowMs - (demand?.ageMs ?? 0);
    const oldestMs = endMs - (windows - 1) * windowMs;
    const rates: Rates[] = [];
    for (let atMs = endMs; atMs >= oldestMs; atMs -= windowMs / 2) {
      const mean = this.#history.mean(name, atMs, windowMs);
      if (mean === undefined) return undefined;
      rates.push(mean);
    }
    return rates;
  }

  #staleness(
    view: FleetView,
    name: string,
    engines: readonly EngineView[],
  ): string | undefined {
    const { maxAgeMs } = this.#options;
    const old = engines.find(engine => engine.ageMs > maxAgeMs);
    if (old !== undefined) {
      return `the report of ${old.name} is ${Math.round(old.ageMs)} ms old`;
    }
    const demand = view.demand.find(each => each.dataCenter === name);
    if (demand === undefined) return 'the demand is not known';
    if (demand.ageMs <= maxAgeMs) return undefined;
    return `the demand is ${Math.round(demand.ageMs)} ms old`;
  }

  /** Makes an engine mixed when a role has no engine at all. */
  #restore(engines: readonly EngineView[]): Outcome {
    if (engines.some(engine => !engine.available)) {
      return hold('a role has no engine, but an engine is on its way');
    }
    const engine = engines.find(each => each.role !== 'mixed');
    if (engine === undefined) return hold('no engine is available');
    return {
      kind: 'change',
      change: {
        engine: engine.name,
        from: engine.role,
        to: 'mixed',
        reason: `${engine.name} becomes mixed: a role has no engine`,
      },
    };
  }

  #best(dataCenter: DataCenterView): Outcome {
    const candidates = dataCenter.engines
      .filter(engine => engine.inRoleMs >= this.#options.dwellMs)
      .flatMap(engine => this.#candidates(dataCenter, engine));
    if (candidates.length === 0) {
      return hold('no engine may leave its role now (dwell or last of a role)');
    }
    const best = candidates.reduce((a, b) => (b.gain > a.gain ? b : a));
    if (best.gain > 0) return { kind: 'change', change: best.change };
    return hold(`best is ${best.change.reason}; not worth it`);
  }

  #candidates(
    dataCenter: DataCenterView,
    engine: EngineView,
  ): readonly Candidate[] {
    const during = withoutEngine(dataCenter.counts, engine.role);
    if (!servesBothRoles(during)) return [];
    const roles: readonly Role[] = ['mixed', 'prefill', 'decode'];
    return roles
      .filter(to => to !== engine.role)
      .map(to => this.#weigh(dataCenter, engine, to));
  }

  #weigh(dataCenter: DataCenterView, engine: EngineView, to: Role): Candidate {
    const gains = dataCenter.windows.map(rates =>
      this.#gain(dataCenter, rates, engine.role, to),
    );
    const { changeCost, horizonMs } = this.#options;
    const gain = Math.min(...gains) - changeCost;
    const reason =
      `${engine.name} ${engine.role} to ${to}: ` +
      `${Math.min(...gains).toFixed(1)} answers gained in ` +
      `${seconds(horizonMs)} s against a cost of ${changeCost}`;
    const change = { engine: engine.name, from: engine.role, to, reason };
    return { change, gain };
  }

  /** Answers gained over the horizon, less those lost during the change. */
  #gain(
    { counts, backlogRate }: DataCenterView,
    rates: Rates,
    from: Role,
    to: Role,
  ): number {
    const { horizonMs, changeMs, speed } = this.#options;
    const prefillRate = rates.prefillRate + backlogRate;
    const work = workOf({ ...rates, prefillRate }, speed);
    const served = (roles: RoleCounts) =>
      servedShare(loadFactor(roles, work, speed));
    const during = withoutEngine(counts, from);
    const before = served(counts);
    const after = served(withEngine(during, to));
    const lost = (before - served(during)) * seconds(changeMs);
    const won = (after - before) * seconds(horizonMs - changeMs);
    return rates.requestRate * (won - lost);
  }
}
