/** The directory of targets, joined from every source that speaks of them. */
import { Just, Maybe, Nothing } from 'purify-ts';

import type { FleetMember } from '../fleet/fleet-list.js';
import type { Log } from '../shared/log.js';
import { Engine, Service } from '../target/target.js';
import type { Target } from '../target/target.js';

import { TargetDirectory } from './target-directory.js';
import type {
  DirectoryEntry,
  LeavingSource,
  TargetFactory,
} from './target-directory.js';

interface KnownTarget {
  readonly member: FleetMember;
  readonly target: Target;
  readonly leaving: Set<LeavingSource>;
}

/** Tells others that a target opens or closes; may be lost. */
export type LeavingNotice = (name: string, leaving: boolean) => void;

export interface FleetDirectoryOptions {
  readonly dataCenter: string;
  readonly factory: TargetFactory;
  readonly log: Log;
  /** Called for signals that the peers may not have. */
  readonly onLeaving: LeavingNotice;
}

export class FleetDirectory extends TargetDirectory {
  readonly #options: FleetDirectoryOptions;
  readonly #known = new Map<string, KnownTarget>();

  constructor(options: FleetDirectoryOptions) {
    super();
    this.#options = options;
  }

  /** Joins a fresh fleet list; a target that it lacks gets no new work. */
  update(members: readonly FleetMember[]): void {
    const listed = new Set<string>();
    for (const member of members) {
      if (member.kind === 'entry') continue;
      listed.add(member.name);
      this.#join(member);
    }
    for (const name of this.#known.keys()) {
      if (!listed.has(name)) this.#mark(name, 'fleet');
    }
  }

  override engines(): readonly DirectoryEntry<Engine>[] {
    return [...this.#known.values()].flatMap(known =>
      known.target instanceof Engine ? [this.#entry(known, known.target)] : [],
    );
  }

  /** The targets of every plain service. */
  allServices(): readonly DirectoryEntry<Service>[] {
    return [...this.#known.values()].flatMap(known =>
      known.target instanceof Service ? [this.#entry(known, known.target)] : [],
    );
  }

  override services(service: string): readonly DirectoryEntry<Service>[] {
    return this.allServices().filter(
      ({ target }) => target.service === service,
    );
  }

  override find(name: string): Maybe<DirectoryEntry<Target>> {
    const known = this.#known.get(name);
    return known === undefined
      ? Nothing
      : Just(this.#entry(known, known.target));
  }

  /** The fleet's word on a target. */
  member(name: string): Maybe<FleetMember> {
    return Maybe.fromNullable(this.#known.get(name)?.member);
  }

  override markLeaving(name: string, source: LeavingSource): void {
    if (!this.#mark(name, source)) return;
    if (source !== 'peer') this.#options.onLeaving(name, true);
  }

  override clearLeaving(name: string, source: LeavingSource): void {
    const known = this.#known.get(name);
    if (known?.leaving.delete(source) !== true) return;
    if (source !== 'peer') this.#options.onLeaving(name, false);
  }

  #join(member: FleetMember): void {
    const known = this.#known.get(member.name);
    if (member.state === 'gone') {
      if (known?.member.incarnation === member.incarnation) {
        known.target.reset();
        this.#known.delete(member.name);
      }
      return;
    }
    if (known === undefined || !sameProcess(known.member, member)) {
      known?.target.reset();
      this.#known.set(member.name, {
        member,
        target: this.#connect(member),
        leaving: new Set(known?.leaving.has('plan') === true ? ['plan'] : []),
      });
    }
    if (member.state === 'leaving') this.#mark(member.name, 'fleet');
    else this.#known.get(member.name)?.leaving.delete('fleet');
  }

  #connect(member: FleetMember): Target {
    const { factory } = this.#options;
    return member.kind === 'engine'
      ? factory.engine(member)
      : factory.service(member);
  }

  #mark(name: string, source: LeavingSource): boolean {
    const known = this.#known.get(name);
    if (known === undefined || known.leaving.has(source)) return false;
    if (known.leaving.size === 0) {
      this.#options.log.event('target_leaving', { target: name, source });
    }
    known.leaving.add(source);
    return true;
  }

  #entry<T extends Target>(known: KnownTarget, target: T): DirectoryEntry<T> {
    return {
      target,
      leaving: known.leaving.size > 0,
      local: known.member.dataCenter === this.#options.dataCenter,
    };
  }
}

const sameProcess = (a: FleetMember, b: FleetMember): boolean =>
  a.incarnation === b.incarnation && a.address === b.address;
