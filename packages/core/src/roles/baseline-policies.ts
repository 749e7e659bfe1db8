/** Simple policies against which the horizon policy is measured. */
import type { Role } from '../target/target.js';

import { workOf } from './role-capacity.js';
import type { EngineSpeed } from './role-capacity.js';
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

/** Follows the demand of the last window at once. */
export class GreedyPolicy extends RolePolicy {
  override readonly name = 'greedy';
  readonly #speed: EngineSpeed;

  constructor(speed: EngineSpeed) {
    super();
    this.#speed = speed;
  }

  override decide(view: FleetView): RoleDecision {
    const changes: RoleChange[] = [];
    for (const [dataCenter, group] of enginesByDataCenter(view.engines)) {
      const demand = view.demand.find(each => each.dataCenter === dataCenter);
      if (demand === undefined || group.length < 2) continue;
      changes.push(...this.#follow(group, demand));
    }
    return { changes, explanation: 'greedy: follows the last window' };
  }

  #follow(group: readonly EngineView[], demand: DemandView): RoleChange[] {
    const work = workOf(demand, this.#speed);
    const total = work.prefill + work.decode;
    if (total <= 0) return [];
    const wanted = Math.round((group.length * work.prefill) / total);
    const prefill = Math.min(group.length - 1, Math.max(1, wanted));
    const excess = group.filter(e => e.role === 'prefill').length - prefill;
    const from = excess > 0 ? 'prefill' : 'decode';
    const to = excess > 0 ? 'decode' : 'prefill';
    return group
      .filter(engine => engine.available && engine.role === from)
      .slice(0, Math.abs(excess))
      .map(engine => changeTo(engine, to, 'the last window'));
  }
}

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
