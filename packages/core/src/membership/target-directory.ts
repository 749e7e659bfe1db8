/** Which targets there are and whether they may get new work. */
import type { Maybe } from 'purify-ts';

import type { FleetMember } from '../fleet/fleet-list.js';
import type { Engine, Service, Target } from '../target/target.js';

/** A target with what membership knows of it. */
export interface TargetEntry<T extends Target> {
  readonly target: T;
  /** Leaving targets finish their work and get none. */
  readonly isLeaving: boolean;
  /** True when this entry instance and the target share a data centre. */
  readonly isLocal: boolean;
}

/** Why a target gets no new work. */
export type LeavingSource = 'fleet' | 'target' | 'plan' | 'peer';

/** Makes clients for the members of the fleet list. */
export abstract class TargetFactory {
  abstract createEngine(member: FleetMember): Engine;
  abstract createService(member: FleetMember): Service;
}

export abstract class TargetDirectory {
  abstract listEngines(): readonly TargetEntry<Engine>[];
  abstract listServices(service: string): readonly TargetEntry<Service>[];
  /** The target by name in its newest incarnation. */
  abstract findTarget(name: string): Maybe<TargetEntry<Target>>;
  /** Closes the target to new work here and tells the peers. */
  abstract markLeaving(name: string, source: LeavingSource): void;
  /** Reopens a target that a cancelled plan had closed. */
  abstract clearLeaving(name: string, source: LeavingSource): void;
}
