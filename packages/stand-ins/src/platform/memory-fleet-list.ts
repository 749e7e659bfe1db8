/** The platform's fleet list in memory, seconds behind what it is told. */
import { Failure, FleetList, sleep } from '@medlarlever/core';
import type { FleetMember } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

export interface FleetListFaults {
  down: boolean;
  slowMs: number;
  /** How late a change shows. */
  lagMs: number;
}

interface FleetSnapshot {
  readonly atMs: number;
  readonly members: readonly FleetMember[];
}

export class MemoryFleetList extends FleetList {
  readonly faults: FleetListFaults = { down: false, slowMs: 0, lagMs: 0 };
  #snapshots: FleetSnapshot[];

  constructor(members: readonly FleetMember[] = []) {
    super();
    this.#snapshots = [{ atMs: Date.now(), members }];
  }

  /** The fleet as it is now, ahead of what callers see. */
  get members(): readonly FleetMember[] {
    return this.#snapshots.at(-1)?.members ?? [];
  }

  /** Replaces the fleet. */
  replaceMembers(members: readonly FleetMember[]): void {
    this.#snapshots.push({ atMs: Date.now(), members });
  }

  /** Adds a member, or replaces its incarnation of the same name. */
  putMember(member: FleetMember): void {
    const same = (other: FleetMember) =>
      other.name === member.name && other.incarnation === member.incarnation;
    this.replaceMembers([
      ...this.members.filter(other => !same(other)),
      member,
    ]);
  }

  /** Changes the state of every incarnation of a name. */
  setMemberState(name: string, state: FleetMember['state']): void {
    const change = (member: FleetMember) =>
      member.name === name ? { ...member, state } : member;
    this.replaceMembers(this.members.map(change));
  }

  removeMember(name: string): void {
    this.replaceMembers(this.members.filter(member => member.name !== name));
  }

  override async listMembers(): Promise<
    Either<Failure, readonly FleetMember[]>
  > {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    if (this.faults.down) {
      return Left(new Failure('platform_unavailable', 'the list is down'));
    }
    return Right(this.#getVisibleMembers());
  }

  #getVisibleMembers(): readonly FleetMember[] {
    const untilMs = Date.now() - this.faults.lagMs;
    while (this.#snapshots.length > 1) {
      const next = this.#snapshots[1];
      if (next === undefined || next.atMs > untilMs) break;
      this.#snapshots = this.#snapshots.slice(1);
    }
    return this.#snapshots[0]?.members ?? [];
  }
}
