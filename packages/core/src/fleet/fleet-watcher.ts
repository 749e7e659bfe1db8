/** Follows the fleet list and keeps the last one while the platform is away. */
import { LRUCache } from 'lru-cache';

import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';

import type { FleetList, FleetMember } from './fleet-list.js';

const pollPeriodMs = 1_000;
const rememberedGone = 10_000;

type FleetListener = (members: readonly FleetMember[]) => void;

export interface FleetWatcherOptions {
  readonly list: FleetList;
  readonly log: Log;
  readonly random: () => number;
}

export class FleetWatcher {
  readonly #options: FleetWatcherOptions;
  readonly #listeners = new Set<FleetListener>();
  readonly #gone = new LRUCache<string, true>({ max: rememberedGone });
  readonly #stopping = new AbortController();
  #members: readonly FleetMember[] = [];

  constructor(options: FleetWatcherOptions) {
    this.#options = options;
  }

  /** The last list that came; empty before the first. */
  get members(): readonly FleetMember[] {
    return this.#members;
  }

  /**
   * True once the platform said that the incarnation never runs again. A
   * process incarnation `platform.process` is gone with its `platform` part.
   */
  isGone(incarnation: string): boolean {
    return (
      this.#gone.has(incarnation) ||
      this.#gone.has(platformIncarnation(incarnation))
    );
  }

  onChange(listener: FleetListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Fetches the list once. */
  async poll(): Promise<void> {
    const outcome = await this.#options.list.list();
    outcome.ifRight(members => {
      this.#take(members);
    });
  }

  /** Polls until stopped. */
  async run(): Promise<void> {
    const { random } = this.#options;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.poll();
      await sleep(jittered(pollPeriodMs, random), signal);
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  #take(members: readonly FleetMember[]): void {
    this.#members = members;
    for (const member of members) {
      if (member.state === 'gone') this.#confirmGone(member);
    }
    for (const listener of this.#listeners) listener(members);
  }

  #confirmGone({ name, incarnation }: FleetMember): void {
    if (this.#gone.has(incarnation)) return;
    this.#gone.set(incarnation, true);
    this.#options.log.event('instance_gone', { instance: name, incarnation });
  }
}

/** The part of a process incarnation that the platform gave. */
export const platformIncarnation = (incarnation: string): string => {
  const dot = incarnation.lastIndexOf('.');
  return dot === -1 ? incarnation : incarnation.slice(0, dot);
};
