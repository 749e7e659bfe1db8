/** Target directory built from the fleet list, targets, plans and peers. */
import { Just, Maybe, Nothing } from 'purify-ts';

import type { FleetMember } from '../fleet/fleet-list.js';
import type { Log } from '../shared/log.js';
import { Engine, Service } from '../target/target.js';
import type { Target } from '../target/target.js';

import { TargetDirectory } from './target-directory.js';
import type {
  TargetEntry,
  LeavingSource,
  TargetFactory,
} from './target-directory.js';

interface KnownTarget {
  readonly member: FleetMember;
  readonly target: Target;
  readonly leavingSources: Set<LeavingSource>;
}

/**
 * Notifies peers that a target is leaving or no longer leaving; may be lost.
 */
export type LeavingListener = (name: string, leaving: boolean) => void;

export interface FleetTargetDirectoryOptions {
  readonly dataCenter: string;
  readonly factory: TargetFactory;
  readonly log: Log;
  /**
   * Called when a target starts or stops leaving by any source except `peer`,
   * because peers may not know of them.
   */
  readonly onLeavingChange: LeavingListener;
}

/**
 * Keeps a client for each target of the fleet list, and the sources that mark
 * the target as leaving.
 */
export class FleetTargetDirectory extends TargetDirectory {
  readonly #options: FleetTargetDirectoryOptions;
  readonly #knownTargets = new Map<string, KnownTarget>();

  constructor(options: FleetTargetDirectoryOptions) {
    super();
    this.#options = options;
  }

  /** Applies a new fleet list; targets missing from it get no new work. */
  updateMembers(members: readonly FleetMember[]): void {
    const listedNames = new Set<string>();
    for (const member of members) {
      if (member.kind === 'entry') continue;
      listedNames.add(member.name);
      this.#applyMember(member);
    }
    for (const name of this.#knownTargets.keys()) {
      if (!listedNames.has(name)) this.#addLeavingSource(name, 'fleet');
    }
  }

  override listEngines(): readonly TargetEntry<Engine>[] {
    return [...this.#knownTargets.values()].flatMap(knownTarget =>
      knownTarget.target instanceof Engine
        ? [this.#createEntry(knownTarget, knownTarget.target)]
        : [],
    );
  }

  /** Lists the targets of all plain services, those that aren't engines. */
  listAllServices(): readonly TargetEntry<Service>[] {
    return [...this.#knownTargets.values()].flatMap(knownTarget =>
      knownTarget.target instanceof Service
        ? [this.#createEntry(knownTarget, knownTarget.target)]
        : [],
    );
  }

  override listServices(service: string): readonly TargetEntry<Service>[] {
    return this.listAllServices().filter(
      ({ target }) => target.service === service,
    );
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    const knownTarget = this.#knownTargets.get(name);
    return knownTarget === undefined
      ? Nothing
      : Just(this.#createEntry(knownTarget, knownTarget.target));
  }

  /** Finds the entry of a target in the fleet list. */
  findMember(name: string): Maybe<FleetMember> {
    return Maybe.fromNullable(this.#knownTargets.get(name)?.member);
  }

  override markLeaving(name: string, source: LeavingSource): void {
    if (!this.#addLeavingSource(name, source)) return;
    if (source !== 'peer') this.#options.onLeavingChange(name, true);
  }

  override clearLeaving(name: string, source: LeavingSource): void {
    const knownTarget = this.#knownTargets.get(name);
    if (knownTarget?.leavingSources.delete(source) !== true) return;
    if (source !== 'peer') this.#options.onLeavingChange(name, false);
  }

  #applyMember(member: FleetMember): void {
    const knownTarget = this.#knownTargets.get(member.name);
    if (member.state === 'gone') {
      if (knownTarget?.member.incarnation === member.incarnation) {
        knownTarget.target.resetConnections();
        this.#knownTargets.delete(member.name);
      }
      return;
    }
    if (
      knownTarget === undefined ||
      !isSameProcess(knownTarget.member, member)
    ) {
      knownTarget?.target.resetConnections();
      this.#knownTargets.set(member.name, {
        member,
        target: this.#createTarget(member),
        leavingSources: new Set(
          knownTarget?.leavingSources.has('plan') === true ? ['plan'] : [],
        ),
      });
    }
    if (member.state === 'leaving')
      this.#addLeavingSource(member.name, 'fleet');
    else this.#knownTargets.get(member.name)?.leavingSources.delete('fleet');
  }

  #createTarget(member: FleetMember): Target {
    const { factory } = this.#options;
    return member.kind === 'engine'
      ? factory.createEngine(member)
      : factory.createService(member);
  }

  #addLeavingSource(name: string, source: LeavingSource): boolean {
    const knownTarget = this.#knownTargets.get(name);
    if (knownTarget === undefined || knownTarget.leavingSources.has(source))
      return false;
    if (knownTarget.leavingSources.size === 0) {
      this.#options.log.writeEvent('target_leaving', { target: name, source });
    }
    knownTarget.leavingSources.add(source);
    return true;
  }

  #createEntry<T extends Target>(
    knownTarget: KnownTarget,
    target: T,
  ): TargetEntry<T> {
    return {
      target,
      isLeaving: knownTarget.leavingSources.size > 0,
      isLocal: knownTarget.member.dataCenter === this.#options.dataCenter,
    };
  }
}

/** True if both entries describe the same start of a target at one address. */
const isSameProcess = (a: FleetMember, b: FleetMember): boolean =>
  a.incarnation === b.incarnation && a.address === b.address;
