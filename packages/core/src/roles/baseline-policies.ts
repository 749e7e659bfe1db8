/** Simple policies against which the horizon policy is measured. */
import type { RoutingSpeed } from '../routing/cost-model.js';
import type { Role } from '../target/target.js';

import { loadFactor, servesBothRoles, workOf } from './role-capacity.js';
import { RolePolicy } from './role-policy.js';
import type {
  DemandView,
  EngineView,
  FleetView,
  RoleChange,
  RoleDecision,
} from './role-policy.js';

/** Engines of each data centre in order of name. */
export const enginesByDataCenter = (
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

  override decide(view: FleetView): RoleDecision {
    const changes = view.engines
      .filter(engine => engine.available && engine.role !== 'mixed')
      .map(engine => changeTo(engine, 'mixed', 'every engine is mixed'));
    return { changes, explanation: 'mixed: no engine has a role' };
  }
}

/** Numbers of prefill and decode engines; the rest are mixed. */
export interface RoleSplit {
  readonly prefill: number;
  readonly decode: number;
}

/** One half prefills, the other decodes. */
export const halfSplit = (engines: number): RoleSplit => ({
  prefill: Math.floor(engines / 2),
  decode: engines > 1 ? Math.ceil(engines / 2) : 0,
});

/** Pools below this size start without roles. */
const minSplitPool = 4;

/** The split to start from: half and half, but small pools are all mixed. */
export const startSplit = (engines: number): RoleSplit =>
  engines < minSplitPool ? { prefill: 0, decode: 0 } : halfSplit(engines);

/** Roles of `engines` engines in order of name. */
export const rolesOfSplit = (engines: number, split: RoleSplit): Role[] =>
  Array.from({ length: engines }, (_, index) => {
    if (index < split.prefill) return 'prefill';
    return index < split.prefill + split.decode ? 'decode' : 'mixed';
  });

/** The same split in every data centre, whatever the demand. */
export class FixedPolicy extends RolePolicy {
  override readonly name = 'fixed';
  readonly #split: (engines: number) => RoleSplit;

  constructor(split: (engines: number) => RoleSplit = halfSplit) {
    super();
    this.#split = split;
  }

  override decide(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const group of enginesByDataCenter(view.engines).values()) {
      const roles = rolesOfSplit(group.length, this.#split(group.length));
      changes.push(...changesTowards(group, roles, 'the fixed split'));
    }
    return { changes, explanation: 'fixed: the split does not move' };
  }
}

/** Every split that leaves neither prefill nor decode unserved. */
const splitsOf = (engines: number): readonly RoleSplit[] => {
  const splits: RoleSplit[] = [];
  for (let prefill = 0; prefill <= engines; prefill += 1) {
    for (let decode = 0; prefill + decode <= engines; decode += 1) {
      const mixed = engines - prefill - decode;
      const served = servesBothRoles({ mixed, prefill, decode });
      if (served) splits.push({ prefill, decode });
    }
  }
  return splits;
};

/** Takes the best split for the demand of the last window at once. */
export class GreedyPolicy extends RolePolicy {
  override readonly name = 'greedy';
  readonly #speed: RoutingSpeed;

  constructor(speed: RoutingSpeed) {
    super();
    this.#speed = speed;
  }

  override decide(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const [dataCenter, group] of enginesByDataCenter(view.engines)) {
      const demand = view.demand.find(each => each.dataCenter === dataCenter);
      if (demand !== undefined) changes.push(...this.#follow(group, demand));
    }
    return { changes, explanation: 'greedy: follows the last window' };
  }

  #follow(group: readonly EngineView[], demand: DemandView): RoleChange[] {
    const work = workOf(demand, this.#speed);
    if (work.prefill + work.decode <= 0) return [];
    const value = ({ prefill, decode }: RoleSplit) => {
      const mixed = group.length - prefill - decode;
      return loadFactor({ mixed, prefill, decode }, work, this.#speed);
    };
    const best = splitsOf(group.length).reduce((a, b) =>
      value(b) > value(a) ? b : a,
    );
    return changesTowards(
      group,
      nearestRoles(group, best),
      'best for the last window',
    );
  }
}

/** Roles that give the split while as many engines as possible keep theirs. */
const nearestRoles = (
  group: readonly EngineView[],
  split: RoleSplit,
): readonly Role[] => {
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

const changeTo = (
  engine: EngineView,
  to: Role,
  reason: string,
): RoleChange => ({ engine: engine.name, from: engine.role, to, reason });

const changesTowards = (
  group: readonly EngineView[],
  roles: readonly Role[],
  reason: string,
): RoleChange[] =>
  group.flatMap((engine, index) => {
    const to = roles[index] ?? 'mixed';
    if (!engine.available || engine.role === to) return [];
    return [changeTo(engine, to, reason)];
  });
