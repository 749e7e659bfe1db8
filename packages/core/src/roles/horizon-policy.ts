/**
 * Role policy that changes a role only if the answers that it is predicted to
 * gain over a horizon exceed the answers lost while the engine is unavailable,
 * plus the configured cost of a change.
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
  /**
   * Minimum net gain of a role change over the policy's horizon, as a number of
   * answers.
   */
  readonly changeCost: number;
  /** Time in milliseconds over which the gain is predicted. */
  readonly horizonMs?: number;
  /**
   * Time in milliseconds for which a change makes the engine unavailable,
   * including draining.
   */
  readonly changeDurationMs?: number;
  /** Minimum time in milliseconds that an engine keeps its role. */
  readonly minRoleMs?: number;
  /**
   * Maximum age in milliseconds of a load report or demand on which a change is
   * based.
   */
  readonly maxViewAgeMs?: number;
  /** Length of each demand window in milliseconds. */
  readonly windowMs?: number;
  /**
   * Number of consecutive demand windows. A change must have a gain in each of
   * them, and in the windows that start halfway between them.
   */
  readonly windowCount?: number;
}

const defaultHorizonMs = 300_000;
const defaultChangeDurationMs = 12_000;
const defaultMinRoleMs = 90_000;
const defaultMaxViewAgeMs = 5_000;
const defaultWindowMs = 8_000;
const defaultWindowCount = 4;

/** Maximum time between two demand samples. */
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

const createHold = (explanation: string): PolicyOutcome => ({
  kind: 'hold',
  why: explanation,
});

const removeEngine = (counts: RoleCounts, role: EngineRole): RoleCounts => ({
  ...counts,
  [role]: counts[role] - 1,
});

const addEngine = (counts: RoleCounts, role: EngineRole): RoleCounts => ({
  ...counts,
  [role]: counts[role] + 1,
});

const toSeconds = (ms: number) => ms / 1_000;

/** Chooses at most one role change per data centre and decision. */
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
    const { windowMs, windowCount } = this.#options;
    this.#demandHistory = new DemandHistory(
      windowMs * windowCount + maxSampleGapMs,
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
      const explanation =
        outcome.kind === 'hold' ? outcome.why : outcome.change.reason;
      explanations.push(`${dataCenter}: ${explanation}`);
    }
    return { changes, explanation: explanations.join('; ') };
  }

  #decideDataCenter(
    view: FleetView,
    name: string,
    engines: readonly EngineView[],
  ): PolicyOutcome {
    const staleness = this.#explainStaleness(view, name, engines);
    if (staleness !== undefined) return createHold(staleness);
    const counts = countRoles(engines);
    if (!canServeBothRoles(counts)) return this.#restoreMixedEngine(engines);
    if (engines.some(engine => !engine.available)) {
      return createHold(
        'an engine is unavailable; only one engine changes its role at a time',
      );
    }
    const windowRates = this.#computeWindowRates(view, name);
    if (windowRates === undefined) {
      return createHold('the demand samples do not cover all windows yet');
    }
    const waitingTokens = engines.reduce(
      (sum, engine) => sum + engine.prefillTokens,
      0,
    );
    const backlogRate = waitingTokens / toSeconds(this.#options.horizonMs);
    return this.#chooseBestChange({
      name,
      engines,
      counts,
      windowRates,
      backlogRate,
    });
  }

  /**
   * Returns the mean rates of the last windows, or `undefined` until the
   * samples cover all of them.
   */
  #computeWindowRates(
    view: FleetView,
    name: string,
  ): readonly DemandRates[] | undefined {
    const { windowMs, windowCount } = this.#options;
    const demand = view.demand.find(entry => entry.dataCenter === name);
    const endMs = view.nowMs - (demand?.ageMs ?? 0);
    const oldestMs = endMs - (windowCount - 1) * windowMs;
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
    const { maxViewAgeMs } = this.#options;
    const staleEngine = engines.find(engine => engine.ageMs > maxViewAgeMs);
    if (staleEngine !== undefined) {
      return `the load report of engine ${staleEngine.name} is ${Math.round(staleEngine.ageMs)} ms old`;
    }
    const demand = view.demand.find(entry => entry.dataCenter === name);
    if (demand === undefined)
      return 'there is no demand sample for this data centre';
    if (demand.ageMs <= maxViewAgeMs) return undefined;
    return `the demand is ${Math.round(demand.ageMs)} ms old`;
  }

  /** Makes an engine mixed when no engine can decode. */
  #restoreMixedEngine(engines: readonly EngineView[]): PolicyOutcome {
    if (engines.some(engine => !engine.available)) {
      return createHold(
        'no available engine can decode, but an unavailable engine may return',
      );
    }
    const engine = engines.find(candidate => candidate.role !== 'mixed');
    if (engine === undefined)
      return createHold('there is no engine that can become mixed');
    return {
      kind: 'change',
      change: {
        engine: engine.name,
        from: engine.role,
        to: 'mixed',
        reason: `${engine.name} becomes mixed: no available engine can decode`,
      },
    };
  }

  #chooseBestChange(dataCenter: DataCenterView): PolicyOutcome {
    const candidates = dataCenter.engines
      .filter(engine => engine.inRoleMs >= this.#options.minRoleMs)
      .flatMap(engine => this.#listCandidates(dataCenter, engine));
    if (candidates.length === 0) {
      return createHold(
        'no engine may change its role now (minimum time in a role, or last engine that can decode)',
      );
    }
    const best = candidates.reduce((a, b) => (b.gain > a.gain ? b : a));
    if (best.gain > 0) return { kind: 'change', change: best.change };
    return createHold(
      `best change is ${best.change.reason}; its gain does not exceed the cost`,
    );
  }

  #listCandidates(
    dataCenter: DataCenterView,
    engine: EngineView,
  ): readonly CandidateChange[] {
    const countsDuringChange = removeEngine(dataCenter.counts, engine.role);
    if (!canServeBothRoles(countsDuringChange)) return [];
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

  /**
   * Computes the number of answers gained over the horizon, minus those lost
   * during the change.
   */
  #computeGain(
    { counts, backlogRate }: DataCenterView,
    rates: DemandRates,
    from: EngineRole,
    to: EngineRole,
  ): number {
    const { horizonMs, changeDurationMs, engineSpeed } = this.#options;
    const prefillRate = rates.prefillRate + backlogRate;
    const engineDemand = computeEngineDemand(
      { ...rates, prefillRate },
      engineSpeed,
    );
    const computeShare = (roles: RoleCounts) =>
      computeServedShare(computeLoadFactor(roles, engineDemand, engineSpeed));
    const countsDuringChange = removeEngine(counts, from);
    const shareBefore = computeShare(counts);
    const shareAfter = computeShare(addEngine(countsDuringChange, to));
    const lostSeconds =
      (shareBefore - computeShare(countsDuringChange)) *
      toSeconds(changeDurationMs);
    const gainedSeconds =
      (shareAfter - shareBefore) * toSeconds(horizonMs - changeDurationMs);
    return rates.requestRate * (gainedSeconds - lostSeconds);
  }
}
