/** Simple role policies that serve as baselines for the horizon policy. */
import type { EngineSpeed } from '../routing/cost-model.js';
import type { EngineRole } from '../target/target.js';

import {
  computeLoadFactor,
  canServeBothRoles,
  computeEngineDemand,
} from './role-capacity.js';
import { RolePolicy } from './role-policy.js';
import type {
  DemandView,
  EngineView,
  FleetView,
  RoleChange,
  RoleDecision,
} from './role-policy.js';

/** Groups the engines by data centre, sorted by name. */
export const groupByDataCenter = (
  engines: readonly EngineView[],
): ReadonlyMap<string, readonly EngineView[]> => {
  const groups = new Map<string, EngineView[]>();
  for (const engine of engines) {
    const group = groups.get(engine.dataCenter) ?? [];
    group.push(engine);
    groups.set(engine.dataCenter, group);
  }
  for (const group of groups.values()) {
    group.sort((a, b) => (a.name < b.name ? -1 : 1));
  }
  return groups;
};

/** Makes every engine mixed, so that each does prefill and decode. */
export class MixedPolicy extends RolePolicy {
  override readonly name = 'mixed';

  override decideChanges(view: FleetView): RoleDecision {
    const changes = view.engines
      .filter(engine => engine.available && engine.role !== 'mixed')
      .map(engine =>
        createRoleChange(
          engine,
          'mixed',
          'the mixed policy makes every engine mixed',
        ),
      );
    return {
      changes,
      explanation: 'mixed: every engine does prefill and decode',
    };
  }
}

/** Number of prefill and of decode engines; the other engines are mixed. */
export interface RoleSplit {
  readonly prefill: number;
  readonly decode: number;
}

/** Splits the engines into two halves, prefill and decode. */
export const createHalfSplit = (engines: number): RoleSplit => ({
  prefill: Math.floor(engines / 2),
  decode: engines > 1 ? Math.ceil(engines / 2) : 0,
});

/**
 * Minimum number of engines of a data centre for an initial split; with fewer
 * engines all start mixed.
 */
const minSplitEngines = 4;

/**
 * Returns the initial split: half prefill and half decode, or all mixed with
 * few engines.
 */
export const createInitialSplit = (engines: number): RoleSplit =>
  engines < minSplitEngines
    ? { prefill: 0, decode: 0 }
    : createHalfSplit(engines);

/** Returns the role of each engine, in order of engine name. */
export const assignRoles = (engines: number, split: RoleSplit): EngineRole[] =>
  Array.from({ length: engines }, (_, index) => {
    if (index < split.prefill) return 'prefill';
    return index < split.prefill + split.decode ? 'decode' : 'mixed';
  });

/** Applies the same split to every data centre, whatever the demand. */
export class FixedPolicy extends RolePolicy {
  override readonly name = 'fixed';
  readonly #createSplit: (engines: number) => RoleSplit;

  constructor(createSplit: (engines: number) => RoleSplit = createHalfSplit) {
    super();
    this.#createSplit = createSplit;
  }

  override decideChanges(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const group of groupByDataCenter(view.engines).values()) {
      const roles = assignRoles(group.length, this.#createSplit(group.length));
      changes.push(
        ...createRoleChanges(
          group,
          roles,
          'the fixed policy applies its split',
        ),
      );
    }
    return {
      changes,
      explanation: 'fixed: the split does not depend on the demand',
    };
  }
}

/** Lists all splits with at least one engine that can prefill and decode. */
const listSplits = (engines: number): readonly RoleSplit[] => {
  const splits: RoleSplit[] = [];
  for (let prefill = 0; prefill <= engines; prefill += 1) {
    for (let decode = 0; prefill + decode <= engines; decode += 1) {
      const mixed = engines - prefill - decode;
      const servesBoth = canServeBothRoles({ mixed, prefill, decode });
      if (servesBoth) splits.push({ prefill, decode });
    }
  }
  return splits;
};

/** Changes at once to the best split for the demand of the last window. */
export class GreedyPolicy extends RolePolicy {
  override readonly name = 'greedy';
  readonly #engineSpeed: EngineSpeed;

  constructor(engineSpeed: EngineSpeed) {
    super();
    this.#engineSpeed = engineSpeed;
  }

  override decideChanges(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const [dataCenter, group] of groupByDataCenter(view.engines)) {
      const demand = view.demand.find(entry => entry.dataCenter === dataCenter);
      if (demand !== undefined)
        changes.push(...this.#chooseChanges(group, demand));
    }
    return {
      changes,
      explanation: 'greedy: best split for the demand of the last window',
    };
  }

  #chooseChanges(
    group: readonly EngineView[],
    demand: DemandView,
  ): RoleChange[] {
    const engineDemand = computeEngineDemand(demand, this.#engineSpeed);
    if (engineDemand.prefill + engineDemand.decode <= 0) return [];
    const scoreSplit = ({ prefill, decode }: RoleSplit) => {
      const mixed = group.length - prefill - decode;
      return computeLoadFactor(
        { mixed, prefill, decode },
        engineDemand,
        this.#engineSpeed,
      );
    };
    const best = listSplits(group.length).reduce((a, b) =>
      scoreSplit(b) > scoreSplit(a) ? b : a,
    );
    return createRoleChanges(
      group,
      assignNearestRoles(group, best),
      'best split for the demand of the last window',
    );
  }
}

/**
 * Assigns the roles of the split while as many engines as possible keep their
 * role.
 */
const assignNearestRoles = (
  group: readonly EngineView[],
  split: RoleSplit,
): readonly EngineRole[] => {
  const mixed = group.length - split.prefill - split.decode;
  const remaining = { mixed, ...split };
  const keptRoles = group.map(({ role }) => {
    if (remaining[role] === 0) return undefined;
    remaining[role] -= 1;
    return role;
  });
  const openRoles = (['prefill', 'decode', 'mixed'] as const).flatMap(role =>
    Array.from({ length: remaining[role] }, () => role),
  );
  return keptRoles.map(role => role ?? openRoles.shift() ?? 'mixed');
};

const createRoleChange = (
  engine: EngineView,
  to: EngineRole,
  reason: string,
): RoleChange => ({ engine: engine.name, from: engine.role, to, reason });

const createRoleChanges = (
  group: readonly EngineView[],
  roles: readonly EngineRole[],
  reason: string,
): RoleChange[] =>
  group.flatMap((engine, index) => {
    const to = roles[index] ?? 'mixed';
    if (!engine.available || engine.role === to) return [];
    return [createRoleChange(engine, to, reason)];
  });
