/**
 * Changes a role only when the answers that it is predicted to gain over a
 * horizon exceed those lost while the engine is away and the cost that the
 * deployment sets on a change.
 */
import type { EngineSpeed } from '../routing/cost-model.js';
import type { EngineRole } from '../target/target.js';

import { groupByDataCenter } from './baseline-policies.js';
import { DemandHistory } from './demand-history.js';
import type { DemandRates } from './demand-history.js';
import {
  countRoles,
  computeLoadFactor,
  computeServedShare,
  canServeBothRoles,
  computeEngineDemand,
} from './role-capacity.js';
import type { RoleCounts } from './role-capacity.js';
import { RolePolicy } from './role-policy.js';
import type {
  EngineView,
  FleetView,
  RoleChange,
  RoleDecision,
} from './role-policy.js';

export interface HorizonPolicyOptions {
  readonly engineSpeed: EngineSpeed;
  /** Answers that a change must gain beyond those it loses. */
  readonly changeCost: number;
  /** Time over which the gain is counted. */
  readonly horizonMs?: number;
  /** Time that a change takes the engine away, draining included. */
  readonly changeDurationMs?: number;
  /** An engine keeps its role at least this long. */
  readonly minRoleMs?: number;
  /** Older pictures are not acted on. */
  readonly maxViewAgeMs?: number;
  /** Length of each window of demand. */
  readonly windowMs?: number;
  /** Windows of the past; these and those half-way must all agree. */
  readonly windowCount?: number;
}

const defaultHorizonMs = 300_000;
const defaultChangeDurationMs = 12_000;
const defaultMinRoleMs = 90_000;
const defaultMaxViewAgeMs = 5_000;
const defaultWindowMs = 8_000;
const defaultWindowCount = 4;

/** Longest time between two samples of the demand. */
const maxSampleGapMs = 6_000;

interface CandidateChange {
  readonly change: RoleChange;
  readonly gain: number;
}

interface DataCenterView {
  readonly name: string;
  readonly engines: readonly EngineView[];
  readonly counts: RoleCounts;
  readonly windowRates: readonly DemandRates[];
  readonly backlogRate: number;
}

type PolicyOutcome =
  | { readonly kind: 'hold'; readonly why: string }
  | { readonly kind: 'change'; readonly change: RoleChange };

const createHold = (why: string): PolicyOutcome => ({ kind: 'hold', why });

const removeEngine = (counts: RoleCounts, role: EngineRole): RoleCounts => ({
  ...counts,
  [role]: counts[role] - 1,
});

const addEngine = (counts: RoleCounts, role: EngineRole): RoleCounts => ({
  ...counts,
  [role]: counts[role] + 1,
});

const toSeconds = (ms: number) => ms / 1_000;

export class HorizonPolicy extends RolePolicy {
  override readonly name = 'horizon';
  readonly #options: Required<HorizonPolicyOptions>;
  readonly #demandHistory: DemandHistory;

  constructor(options: HorizonPolicyOptions) {
    super();
    this.#options = {
      horizonMs: defaultHorizonMs,
      changeDurationMs: defaultChangeDurationMs,
      minRoleMs: defaultMinRoleMs,
      maxViewAgeMs: defaultMaxViewAgeMs,
      windowMs: defaultWindowMs,
      windowCount: defaultWindowCount,
      ...options,
    };
    const { windowMs, windowCount: windows } = this.#options;
    this.#demandHistory = new DemandHistory(
      windowMs * windows + maxSampleGapMs,
    );
  }

  override decideChanges(view: FleetView): RoleDecision {
    for (const demand of view.demand)
      this.#demandHistory.addSample(view.nowMs, demand);
    const changes: RoleChange[] = [];
    const explanations: string[] = [];
    for (const [dataCenter, engines] of groupByDataCenter(view.engines)) {
      const outcome = this.#decideDataCenter(view, dataCenter, engines);
      if (outcome.kind === 'change') changes.push(outcome.change);
      const words =
        outcome.kind === 'hold' ? outcome.why : outcome.change.reason;
      explanations.push(`${dataCenter}: ${words}`);
    }
    return { changes, explanation: explanations.join('; ') };
  }

  #decideDataCenter(
    view: FleetView,
    name: string,
    engines: readonly EngineView[],
  ): PolicyOutcome {
    const stale = this.#explainStaleness(view, name, engines);
    if (stale !== undefined) return createHold(stale);
    const counts = countRoles(engines);
    if (!canServeBothRoles(counts)) return this.#restoreMixedEngine(engines);
    if (engines.some(engine => !engine.available)) {
      return createHold('an engine is away; one change at a time');
    }
    const windows = this.#computeWindowRates(view, name);
    if (windows === undefined) {
      return createHold('the demand has not been seen for long enough');
    }
    const waiting = engines.reduce((sum, e) => sum + e.prefillTokens, 0);
    const backlogRate = waiting / toSeconds(this.#options.horizonMs);
    return this.#chooseBestChange({
      name,
      engines,
      counts,
      windowRates: windows,
      backlogRate,
    });
  }

  /** Rates of the last windows; `undefined` until all are covered. */
  #computeWindowRates(
    view: FleetView,
    name: string,
  ): readonly DemandRates[] | undefined {
    const { windowMs, windowCount: windows } = this.#options;
    const demand = view.demand.find(each => each.dataCenter === name);
    const endMs = view.nowMs - (demand?.ageMs ?? 0);
    const oldestMs = endMs - (windows - 1) * windowMs;
    const rates: DemandRates[] = [];
    for (let atMs = endMs; atMs >= oldestMs; atMs -= windowMs / 2) {
      const mean = this.#demandHistory.computeMeanRates(name, atMs, windowMs);
      if (mean === undefined) return undefined;
      rates.push(mean);
    }
    return rates;
  }

  #explainStaleness(
    view: FleetView,
    name: string,
    engines: readonly EngineView[],
  ): string | undefined {
    const { maxViewAgeMs: maxAgeMs } = this.#options;
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
  #restoreMixedEngine(engines: readonly EngineView[]): PolicyOutcome {
    if (engines.some(engine => !engine.available)) {
      return createHold('a role has no engine, but an engine is on its way');
    }
    const engine = engines.find(each => each.role !== 'mixed');
    if (engine === undefined) return createHold('no engine is available');
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

  #chooseBestChange(dataCenter: DataCenterView): PolicyOutcome {
    const candidates = dataCenter.engines
      .filter(engine => engine.inRoleMs >= this.#options.minRoleMs)
      .flatMap(engine => this.#listCandidates(dataCenter, engine));
    if (candidates.length === 0) {
      return createHold(
        'no engine may leave its role now (dwell or last of a role)',
      );
    }
    const best = candidates.reduce((a, b) => (b.gain > a.gain ? b : a));
    if (best.gain > 0) return { kind: 'change', change: best.change };
    return createHold(`best is ${best.change.reason}; not worth it`);
  }

  #listCandidates(
    dataCenter: DataCenterView,
    engine: EngineView,
  ): readonly CandidateChange[] {
    const during = removeEngine(dataCenter.counts, engine.role);
    if (!canServeBothRoles(during)) return [];
    const roles: readonly EngineRole[] = ['mixed', 'prefill', 'decode'];
    return roles
      .filter(to => to !== engine.role)
      .map(to => this.#evaluateChange(dataCenter, engine, to));
  }

  #evaluateChange(
    dataCenter: DataCenterView,
    engine: EngineView,
    to: EngineRole,
  ): CandidateChange {
    const gains = dataCenter.windowRates.map(rates =>
      this.#computeGain(dataCenter, rates, engine.role, to),
    );
    const { changeCost, horizonMs } = this.#options;
    const gain = Math.min(...gains) - changeCost;
    const reason =
      `${engine.name} ${engine.role} to ${to}: ` +
      `${Math.min(...gains).toFixed(1)} answers gained in ` +
      `${toSeconds(horizonMs)} s against a cost of ${changeCost}`;
    const change = { engine: engine.name, from: engine.role, to, reason };
    return { change, gain };
  }

  /** Answers gained over the horizon, less those lost during the change. */
  #computeGain(
    { counts, backlogRate }: DataCenterView,
    rates: DemandRates,
    from: EngineRole,
    to: EngineRole,
  ): number {
    const {
      horizonMs,
      changeDurationMs: changeMs,
      engineSpeed: speed,
    } = this.#options;
    const prefillRate = rates.prefillRate + backlogRate;
    const work = computeEngineDemand({ ...rates, prefillRate }, speed);
    const served = (roles: RoleCounts) =>
      computeServedShare(computeLoadFactor(roles, work, speed));
    const during = removeEngine(counts, from);
    const before = served(counts);
    const after = served(addEngine(during, to));
    const lost = (before - served(during)) * toSeconds(changeMs);
    const won = (after - before) * toSeconds(horizonMs - changeMs);
    return rates.requestRate * (won - lost);
  }
}
