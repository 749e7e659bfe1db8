/** Target directory of in-process services, for tests and drills of operations. */
import { TargetDirectory } from '@medlarlever/core';
import type { TargetEntry, Engine, Service, Target } from '@medlarlever/core';
import type { FakeService } from '@medlarlever/stand-ins';
import { Maybe } from 'purify-ts';

/** The service targets of a fleet, shared by the directories of all instances. */
export interface ServicePool {
  services: FakeService[];
  /** Names of the targets that get no new requests because they leave the fleet. */
  readonly leavingServices: Set<string>;
}

/** Lists the service targets of a pool as one data centre sees them. */
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
    const target = this.pool.services.find(
      candidate => candidate.name === name,
    );
    return Maybe.fromNullable(target).map(entry => this.#createEntry(entry));
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
