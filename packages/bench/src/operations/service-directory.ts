/** A directory over services in this process. */
import { TargetDirectory } from '@medlarlever/core';
import type { TargetEntry, Engine, Service, Target } from '@medlarlever/core';
import type { FakeService } from '@medlarlever/stand-ins';
import { Maybe } from 'purify-ts';

/** The services that all instances of a test see. */
export interface ServicePool {
  services: FakeService[];
  readonly leavingServices: Set<string>;
}

export class ServiceDirectory extends TargetDirectory {
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
      .map(target => this.#createEntry(target));
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    const target = this.pool.services.find(other => other.name === name);
    return Maybe.fromNullable(target).map(found => this.#createEntry(found));
  }

  override markLeaving(name: string): void {
    this.pool.leavingServices.add(name);
  }

  override clearLeaving(name: string): void {
    this.pool.leavingServices.delete(name);
  }

  #createEntry(target: FakeService): TargetEntry<FakeService> {
    return {
      target,
      isLeaving: this.pool.leavingServices.has(target.name),
      isLocal: target.dataCenter === this.dataCenter,
    };
  }
}
