/** The engines of a replay and how instances find them. */
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

import type { EngineModel } from './engine-cost-model.js';
import { ReplayEngine } from './replay-engine.js';
import { engineName } from './trace.js';
import type { Fleet } from './trace.js';

/** Roles of the engines of a data centre, in order of name. */
export type RolePlan = (
  engines: number,
  dataCenter: string,
) => readonly EngineRole[];

export const createEngines = (
  fleet: Fleet,
  plan: RolePlan,
  model: EngineModel,
  random: () => number,
): readonly ReplayEngine[] =>
  fleet.dataCenters.flatMap(({ name: dataCenter, engines }) =>
    plan(engines, dataCenter).map(
      (role, index) =>
        new ReplayEngine({
          name: engineName(dataCenter, index + 1),
          dataCenter,
          role,
          model,
          random,
        }),
    ),
  );

/** What all instances of the replay know of the fleet. */
export class ReplayFleet {
  readonly leaving = new Set<string>();
  readonly #engines = new Map<string, ReplayEngine>();

  constructor(engines: readonly ReplayEngine[]) {
    for (const engine of engines) this.#engines.set(engine.name, engine);
  }

  get engines(): readonly ReplayEngine[] {
    return [...this.#engines.values()];
  }

  find(name: string): ReplayEngine | undefined {
    return this.#engines.get(name);
  }

  remove(name: string): void {
    this.#engines.delete(name);
  }
}

/** The fleet as the instances of one data centre see it. */
export class ReplayDirectory extends TargetDirectory {
  readonly #fleet: ReplayFleet;
  readonly #dataCenter: string;

  constructor(fleet: ReplayFleet, dataCenter: string) {
    super();
    this.#fleet = fleet;
    this.#dataCenter = dataCenter;
  }

  override listEngines(): readonly TargetEntry<Engine>[] {
    return this.#fleet.engines.map(engine => this.#entry(engine));
  }

  override listServices(): readonly TargetEntry<Service>[] {
    return [];
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    return Maybe.fromNullable(this.#fleet.find(name)).map(engine =>
      this.#entry(engine),
    );
  }

  override markLeaving(name: string, source: LeavingSource): void {
    if (source === 'plan') this.#fleet.leaving.add(name);
  }

  override clearLeaving(name: string): void {
    this.#fleet.leaving.delete(name);
  }

  #entry(target: ReplayEngine): TargetEntry<Engine> {
    return {
      target,
      isLeaving: this.#fleet.leaving.has(target.name),
      isLocal: target.dataCenter === this.#dataCenter,
    };
  }
}
