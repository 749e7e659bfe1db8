/** A directory over services in this process. */
import { TargetDirectory } from '@medlarlever/core';
import type { TargetEntry, Engine, Service, Target } from '@medlarlever/core';
import type { FakeService } from '@medlarlever/stand-ins';
import { Maybe } from 'purify-ts';

/** The services that all instances of a test see. */
export interface ServicePool {
  services: FakeService[];
  readonly leaving: Set<string>;
}

export class MemoryDirectory extends TargetDirectory {
  constructor(
    readonly pool: ServicePool,
    readonly dataCenter: string,
  ) {
    super();
  }

  override listEngines(): readonly TargetEntry<Engine>[] {
    return [];
  }

  override listServices(service: string): readonly TargetEntry<Service>[] {
    return this.pool.services
      .filter(target => target.service === service)
      .map(target => this.#entryOf(target));
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    const target = this.pool.services.find(other => other.name === name);
    return Maybe.fromNullable(target).map(found => this.#entryOf(found));
  }

  override markLeaving(name: string): void {
    this.pool.leaving.add(name);
  }

  override clearLeaving(name: string): void {
    this.pool.leaving.delete(name);
  }

  #entryOf(target: FakeService): TargetEntry<FakeService> {
    return {
      target,
      isLeaving: this.pool.leaving.has(target.name),
      isLocal: target.dataCenter === this.dataCenter,
    };
  }
}
