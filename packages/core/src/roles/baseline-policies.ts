/** Simple policies against which the horizon policy is measured. */
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

/** Engines of each data centre in order of name. */
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

/** Every engine does both kinds of work; priorities alone decide. */
export class MixedPolicy extends RolePolicy {
  override readonly name = 'mixed';

  override decideChanges(view: FleetView): RoleDecision {
    const changes = view.engines
      .filter(engine => engine.available && engine.role !== 'mixed')
      .map(engine =>
        createRoleChange(engine, 'mixed', 'every engine is mixed'),
      );
    return { changes, explanation: 'mixed: no engine has a role' };
  }
}

/** Numbers of prefill and decode engines; the rest are mixed. */
export interface RoleSplit {
  readonly prefill: number;
  readonly decode: number;
}

/** One half prefills, the other decodes. */
export const createHalfSplit = (engines: number): RoleSplit => ({
  prefill: Math.floor(engines / 2),
  decode: engines > 1 ? Math.ceil(engines / 2) : 0,
});

/** Pools below this size start without roles. */
const minSplitEngines = 4;

/** The split to start from: half and half, but small pools are all mixed. */
export const createInitialSplit = (engines: number): RoleSplit =>
  engines < minSplitEngines
    ? { prefill: 0, decode: 0 }
    : createHalfSplit(engines);

/** Roles of `engines` engines in order of name. */
export const assignRoles = (engines: number, split: RoleSplit): EngineRole[] =>
  Array.from({ length: engines }, (_, index) => {
    if (index < split.prefill) return 'prefill';
    return index < split.prefill + split.decode ? 'decode' : 'mixed';
  });

/** The same split in every data centre, whatever the demand. */
export class FixedPolicy extends RolePolicy {
  override readonly name = 'fixed';
  readonly #createSplit: (engines: number) => RoleSplit;

  constructor(split: (engines: number) => RoleSplit = createHalfSplit) {
    super();
    this.#createSplit = split;
  }

  override decideChanges(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const group of groupByDataCenter(view.engines).values()) {
      const roles = assignRoles(group.length, this.#createSplit(group.length));
      changes.push(...createRoleChanges(group, roles, 'the fixed split'));
    }
    return { changes, explanation: 'fixed: the split does not move' };
  }
}

/** Every split that leaves neither prefill nor decode unserved. */
const listSplits = (engines: number): readonly RoleSplit[] => {
  const splits: RoleSplit[] = [];
  for (let prefill = 0; prefill <= engines; prefill += 1) {
    for (let decode = 0; prefill + decode <= engines; decode += 1) {
      const mixed = engines - prefill - decode;
      const served = canServeBothRoles({ mixed, prefill, decode });
      if (served) splits.push({ prefill, decode });
    }
  }
  return splits;
};

/** Takes the best split for the demand of the last window at once. */
export class GreedyPolicy extends RolePolicy {
  override readonly name = 'greedy';
  readonly #engineSpeed: EngineSpeed;

  constructor(speed: EngineSpeed) {
    super();
    this.#engineSpeed = speed;
  }

  override decideChanges(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const [dataCenter, group] of groupByDataCenter(view.engines)) {
      const demand = view.demand.find(each => each.dataCenter === dataCenter);
      if (demand !== undefined)
        changes.push(...this.#chooseChanges(group, demand));
    }
    return { changes, explanation: 'greedy: follows the last window' };
  }

  #chooseChanges(
    group: readonly EngineView[],
    demand: DemandView,
  ): RoleChange[] {
    const work = computeEngineDemand(demand, this.#engineSpeed);
    if (work.prefill + work.decode <= 0) return [];
    const value = ({ prefill, decode }: RoleSplit) => {
      const mixed = group.length - prefill - decode;
      return computeLoadFactor(
        { mixed, prefill, decode },
        work,
        this.#engineSpeed,
      );
    };
    const best = listSplits(group.length).reduce((a, b) =>
      value(b) > value(a) ? b : a,
    );
    return createRoleChanges(
      group,
      assignNearestRoles(group, best),
      'best for the last window',
    );
  }
}

/** Roles that give the split while as many engines as possible keep theirs. */
const assignNearestRoles = (
  group: readonly EngineView[],
  split: RoleSplit,
): readonly EngineRole[] => {
  const mixed = group.length - split.prefill - split.decode;
  const left = { mixed, ...split };
  const kept = group.map(({ role }) => {
    if (left[role] === 0) return undefined;
    left[role] -= 1;
    return role;
  });
  const open = (['prefill', 'decode', 'mixed'] as const).flatMap(role =>
    Array.from({ length: left[role] }, () => role),
  );
  return kept.map(role => role ?? open.shift() ?? 'mixed');
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
