/** A directory over engines in this process. */
import { TargetDirectory } from '@medlarlever/core';
import type { TargetEntry, Engine, Target } from '@medlarlever/core';
import type { FakeEngine } from '@medlarlever/stand-ins';
import { Maybe } from 'purify-ts';

/** The engines that all instances see. */
export interface EnginePool {
  engines: FakeEngine[];
  readonly leavingEngines: Set<string>;
}

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
    const engine = this.pool.engines.find(other => other.name === name);
    return Maybe.fromNullable(engine).map(found => this.#createEntry(found));
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
