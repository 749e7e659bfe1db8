/**
 * An in-memory fleet list of the platform, which shows changes after a delay.
 */
import { Failure, FleetList, sleep } from '@medlarlever/core';
import type { FleetMember } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Faults of the fleet list; all off by default. */
export interface FleetListFaults {
  /** Every call fails. */
  down: boolean;
  /** Latency of every call in milliseconds. */
  slowMs: number;
  /** Milliseconds after which a change becomes visible. */
  lagMs: number;
}

/** The members from a time on, in milliseconds since the Unix epoch. */
interface FleetSnapshot {
  readonly atMs: number;
  readonly members: readonly FleetMember[];
}

/**
 * In-memory fleet list. Keeps the snapshot that callers see at present and all
 * newer ones, which become visible after `lagMs`.
 */
export class MemoryFleetList extends FleetList {
  readonly faults: FleetListFaults = { down: false, slowMs: 0, lagMs: 0 };
  #snapshots: FleetSnapshot[];

  constructor(members: readonly FleetMember[] = []) {
    super();
    this.#snapshots = [{ atMs: Date.now(), members }];
  }

  /**
   * The current members, which callers of `listMembers` see only after the
   * delay.
   */
  get members(): readonly FleetMember[] {
    return this.#snapshots.at(-1)?.members ?? [];
  }

  /** Replaces all members. */
  replaceMembers(members: readonly FleetMember[]): void {
    this.#snapshots.push({ atMs: Date.now(), members });
  }

  /**
   * Adds a member, or replaces the member with the same name and incarnation.
   */
  putMember(member: FleetMember): void {
    const isSameMember = (other: FleetMember) =>
      other.name === member.name && other.incarnation === member.incarnation;
    this.replaceMembers([
      ...this.members.filter(other => !isSameMember(other)),
      member,
    ]);
  }

  /** Sets the state of every incarnation with this name. */
  setMemberState(name: string, state: FleetMember['state']): void {
    const changeState = (member: FleetMember) =>
      member.name === name ? { ...member, state } : member;
    this.replaceMembers(this.members.map(changeState));
  }

  /** Removes every incarnation with this name. */
  removeMember(name: string): void {
    this.replaceMembers(this.members.filter(member => member.name !== name));
  }

  override async listMembers(): Promise<
    Either<Failure, readonly FleetMember[]>
  > {
    if (this.faults.slowMs > 0) await sleep(this.faults.slowMs);
    else await Promise.resolve();
    if (this.faults.down) {
      return Left(
        new Failure('platform_unavailable', 'the fleet list is unavailable'),
      );
    }
    return Right(this.#getVisibleMembers());
  }

  #getVisibleMembers(): readonly FleetMember[] {
    const visibleAtMs = Date.now() - this.faults.lagMs;
    while (this.#snapshots.length > 1) {
      const nextSnapshot = this.#snapshots[1];
      if (nextSnapshot === undefined || nextSnapshot.atMs > visibleAtMs) break;
      this.#snapshots = this.#snapshots.slice(1);
    }
    return this.#snapshots[0]?.members ?? [];
  }
}
