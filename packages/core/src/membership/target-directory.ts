/**
 * Interface of the target directory: all targets and whether they are leaving.
 */
import type { Maybe } from 'purify-ts';

import type { FleetMember } from '../fleet/fleet-list.js';
import type { Engine, Service, Target } from '../target/target.js';

/** A target's client and its state in the directory. */
export interface TargetEntry<T extends Target> {
  readonly target: T;
  /** A leaving target finishes its running requests and gets no new ones. */
  readonly isLeaving: boolean;
  /** True when this entry instance and the target share a data centre. */
  readonly isLocal: boolean;
}

/** Source that marked a target as leaving; it then gets no new requests. */
export type LeavingSource = 'fleet' | 'target' | 'plan' | 'peer';

/** Creates clients for the targets in the fleet list. */
export abstract class TargetFactory {
  abstract createEngine(member: FleetMember): Engine;
  abstract createService(member: FleetMember): Service;
}

/** Lists the known targets and records which of them are leaving. */
export abstract class TargetDirectory {
  abstract listEngines(): readonly TargetEntry<Engine>[];
  abstract listServices(service: string): readonly TargetEntry<Service>[];
  /** Finds the newest incarnation of the named target. */
  abstract findTarget(name: string): Maybe<TargetEntry<Target>>;
  /** Stops new work to the target at this instance and notifies the peers. */
  abstract markLeaving(name: string, source: LeavingSource): void;
  /**
   * Removes the source's leaving mark; a target without such marks gets new
   * requests again.
   */
  abstract clearLeaving(name: string, source: LeavingSource): void;
}
