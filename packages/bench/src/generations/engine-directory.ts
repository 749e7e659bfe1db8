/** Target directory of in-process engines, for tests and drills of generations. */
import { TargetDirectory } from '@medlarlever/core';
import type { TargetEntry, Engine, Target } from '@medlarlever/core';
import type { FakeEngine } from '@medlarlever/stand-ins';
import { Maybe } from 'purify-ts';

/** The engines of a fleet, shared by the directories of all instances. */
export interface EnginePool {
  engines: FakeEngine[];
  /** Names of the engines that get no new requests because they leave the fleet. */
  readonly leavingEngines: Set<string>;
}

/** Lists the engines of a pool as one data centre sees them. */
export class EngineDirectory extends TargetDirectory {
  constructor(
    readonly pool: EnginePool,
    readonly dataCenter: string,
  ) {
    super();
  }

  override listEngines(): readonly TargetEntry<Engine>[] {
    return this.pool.engines.map(engine => this.#createEntry(engine));
  }

  override listServices(): readonly [] {
    return [];
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    const engine = this.pool.engines.find(candidate => candidate.name === name);
    return Maybe.fromNullable(engine).map(target => this.#createEntry(target));
  }

  override markLeaving(name: string): void {
    this.pool.leavingEngines.add(name);
  }

  override clearLeaving(name: string): void {
    this.pool.leavingEngines.delete(name);
  }

  #createEntry(engine: FakeEngine): TargetEntry<Engine> {
    return {
      target: engine,
      isLeaving: this.pool.leavingEngines.has(engine.name),
      isLocal: engine.dataCenter === this.dataCenter,
    };
  }
}
