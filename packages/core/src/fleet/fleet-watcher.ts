/** Polls the fleet list and keeps the last one while the platform is down. */
import { LRUCache } from 'lru-cache';

import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import type { FleetList, FleetMember } from './fleet-list.js';

const pollIntervalMs = 1_000;
const maxGoneIncarnations = 10_000;

type FleetListener = (members: readonly FleetMember[]) => void;

export interface FleetWatcherOptions {
  readonly fleetList: FleetList;
  readonly log: Log;
  readonly random: () => number;
}

/** Keeps the last fleet list and the incarnations reported as gone. */
export class FleetWatcher {
  readonly #options: FleetWatcherOptions;
  readonly #listeners = new Set<FleetListener>();
  readonly #goneIncarnations = new LRUCache<string, true>({
    max: maxGoneIncarnations,
  });
  readonly #stopping = new AbortController();
  #members: readonly FleetMember[] = [];

  constructor(options: FleetWatcherOptions) {
    this.#options = options;
  }

  /** Members of the last list received; empty before the first one. */
  get members(): readonly FleetMember[] {
    return this.#members;
  }

  /**
   * True once the platform reported that the incarnation never runs again. A
   * process incarnation `platform.process` is also gone once its `platform`
   * part is.
   */
  isGone(incarnation: string): boolean {
    return (
      this.#goneIncarnations.has(incarnation) ||
      this.#goneIncarnations.has(getPlatformIncarnation(incarnation))
    );
  }

  /**
   * Adds a listener, called with each list received; the returned function
   * removes it.
   */
  onChange(listener: FleetListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Fetches the list once; a failed call leaves the last list in place. */
  async pollOnce(): Promise<void> {
    const result = await this.#options.fleetList.listMembers();
    result.ifRight(members => {
      this.#updateMembers(members);
    });
  }

  /** Fetches the list repeatedly until `stop` is called. */
  async pollUntilStopped(): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.pollOnce();
      await sleep(addJitter(pollIntervalMs, random), signal);
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  #updateMembers(members: readonly FleetMember[]): void {
    this.#members = members;
    for (const member of members) {
      if (member.state === 'gone') this.#recordGone(member);
    }
    for (const listener of this.#listeners) listener(members);
  }

  #recordGone({ name, incarnation }: FleetMember): void {
    if (this.#goneIncarnations.has(incarnation)) return;
    this.#goneIncarnations.set(incarnation, true);
    this.#options.log.writeEvent('instance_gone', {
      instance: name,
      incarnation,
    });
  }
}

/** The platform's part of an incarnation: all text before its last dot. */
export const getPlatformIncarnation = (incarnation: string): string => {
  const dot = incarnation.lastIndexOf('.');
  return dot === -1 ? incarnation : incarnation.slice(0, dot);
};
