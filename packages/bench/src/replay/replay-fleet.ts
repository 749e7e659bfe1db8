/** The engines of a replay and the directory in which instances find them. */
import { TargetDirectory } from '@medlarlever/core';
import type {
  TargetEntry,
  Engine,
  LeavingSource,
  EngineRole,
  Service,
  Target,
} from '@medlarlever/core';
import { Maybe } from 'purify-ts';

import type { EngineCostModel } from './engine-cost-model.js';
import { ReplayEngine } from './replay-engine.js';
import { formatEngineName } from './trace.js';
import type { TraceFleet } from './trace.js';

/** Returns the roles of the engines of a data centre, in order of engine name. */
export type RoleAssignment = (
  engineCount: number,
  dataCenter: string,
) => readonly EngineRole[];

/** Creates the engines of every data centre with their initial roles. */
export const createEngines = (
  fleet: TraceFleet,
  roleAssignment: RoleAssignment,
  costModel: EngineCostModel,
  random: () => number,
): readonly ReplayEngine[] =>
  fleet.dataCenters.flatMap(({ name: dataCenter, engines: engineCount }) =>
    roleAssignment(engineCount, dataCenter).map(
      (role, index) =>
        new ReplayEngine({
          name: formatEngineName(dataCenter, index + 1),
          dataCenter,
          role,
          costModel,
          random,
        }),
    ),
  );

/** Fleet state that all instances of the replay share. */
export class ReplayFleet {
  /** Names of the engines that accept no requests during a role change. */
  readonly leavingEngines = new Set<string>();
  readonly #engines = new Map<string, ReplayEngine>();

  constructor(engines: readonly ReplayEngine[]) {
    for (const engine of engines) this.#engines.set(engine.name, engine);
  }

  get engines(): readonly ReplayEngine[] {
    return [...this.#engines.values()];
  }

  findEngine(name: string): ReplayEngine | undefined {
    return this.#engines.get(name);
  }

  removeEngine(name: string): void {
    this.#engines.delete(name);
  }
}

/** Target directory for the instances of one data centre. */
export class ReplayDirectory extends TargetDirectory {
  readonly #fleet: ReplayFleet;
  readonly #dataCenter: string;

  constructor(fleet: ReplayFleet, dataCenter: string) {
    super();
    this.#fleet = fleet;
    this.#dataCenter = dataCenter;
  }

  override listEngines(): readonly TargetEntry<Engine>[] {
    return this.#fleet.engines.map(engine => this.#createEntry(engine));
  }

  override listServices(): readonly TargetEntry<Service>[] {
    return [];
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    return Maybe.fromNullable(this.#fleet.findEngine(name)).map(engine =>
      this.#createEntry(engine),
    );
  }

  override markLeaving(name: string, source: LeavingSource): void {
    if (source === 'plan') this.#fleet.leavingEngines.add(name);
  }

  override clearLeaving(name: string): void {
    this.#fleet.leavingEngines.delete(name);
  }

  #createEntry(target: ReplayEngine): TargetEntry<Engine> {
    return {
      target,
      isLeaving: this.#fleet.leavingEngines.has(target.name),
      isLocal: target.dataCenter === this.#dataCenter,
    };
  }
}
