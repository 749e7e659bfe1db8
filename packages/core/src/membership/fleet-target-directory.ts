/** The directory of targets, joined from every source that speaks of them. */
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

/** Tells others that a target opens or closes; may be lost. */
export type LeavingListener = (name: string, leaving: boolean) => void;

export interface FleetTargetDirectoryOptions {
  readonly dataCenter: string;
  readonly factory: TargetFactory;
  readonly log: Log;
  /** Called for signals that the peers may not have. */
  readonly onLeavingChange: LeavingListener;
}

export class FleetTargetDirectory extends TargetDirectory {
  readonly #options: FleetTargetDirectoryOptions;
  readonly #knownTargets = new Map<string, KnownTarget>();

  constructor(options: FleetTargetDirectoryOptions) {
    super();
    this.#options = options;
  }

  /** Joins a fresh fleet list; a target that it lacks gets no new work. */
  updateMembers(members: readonly FleetMember[]): void {
    const listed = new Set<string>();
    for (const member of members) {
      if (member.kind === 'entry') continue;
      listed.add(member.name);
      this.#applyMember(member);
    }
    for (const name of this.#knownTargets.keys()) {
      if (!listed.has(name)) this.#addLeavingSource(name, 'fleet');
    }
  }

  override listEngines(): readonly TargetEntry<Engine>[] {
    return [...this.#knownTargets.values()].flatMap(known =>
      known.target instanceof Engine
        ? [this.#createEntry(known, known.target)]
        : [],
    );
  }

  /** The targets of every plain service. */
  listAllServices(): readonly TargetEntry<Service>[] {
    return [...this.#knownTargets.values()].flatMap(known =>
      known.target instanceof Service
        ? [this.#createEntry(known, known.target)]
        : [],
    );
  }

  override listServices(service: string): readonly TargetEntry<Service>[] {
    return this.listAllServices().filter(
      ({ target }) => target.service === service,
    );
  }

  override findTarget(name: string): Maybe<TargetEntry<Target>> {
    const known = this.#knownTargets.get(name);
    return known === undefined
      ? Nothing
      : Just(this.#createEntry(known, known.target));
  }

  /** The fleet's word on a target. */
  findMember(name: string): Maybe<FleetMember> {
    return Maybe.fromNullable(this.#knownTargets.get(name)?.member);
  }

  override markLeaving(name: string, source: LeavingSource): void {
    if (!this.#addLeavingSource(name, source)) return;
    if (source !== 'peer') this.#options.onLeavingChange(name, true);
  }

  override clearLeaving(name: string, source: LeavingSource): void {
    const known = this.#knownTargets.get(name);
    if (known?.leavingSources.delete(source) !== true) return;
    if (source !== 'peer') this.#options.onLeavingChange(name, false);
  }

  #applyMember(member: FleetMember): void {
    const known = this.#knownTargets.get(member.name);
    if (member.state === 'gone') {
      if (known?.member.incarnation === member.incarnation) {
        known.target.resetConnections();
        this.#knownTargets.delete(member.name);
      }
      return;
    }
    if (known === undefined || !isSameProcess(known.member, member)) {
      known?.target.resetConnections();
      this.#knownTargets.set(member.name, {
        member,
        target: this.#createTarget(member),
        leavingSources: new Set(
          known?.leavingSources.has('plan') === true ? ['plan'] : [],
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
    const known = this.#knownTargets.get(name);
    if (known === undefined || known.leavingSources.has(source)) return false;
    if (known.leavingSources.size === 0) {
      this.#options.log.writeEvent('target_leaving', { target: name, source });
    }
    known.leavingSources.add(source);
    return true;
  }

  #createEntry<T extends Target>(
    known: KnownTarget,
    target: T,
  ): TargetEntry<T> {
    return {
      target,
      isLeaving: known.leavingSources.size > 0,
      isLocal: known.member.dataCenter === this.#options.dataCenter,
    };
  }
}

const isSameProcess = (a: FleetMember, b: FleetMember): boolean =>
  a.incarnation === b.incarnation && a.address === b.address;
