/**
 * Order in which the instances take turns at an engine whose memory is short. Every
 * instance works it out from the names of all instances, without communication.
 */
import { createHash } from 'node:crypto';

import type { LimitGroup } from '../limits/limit-share.js';

/** Interval at which changes of the instances are taken up. */
const refreshIntervalMs = 500;

const computeWeight = (engine: string, instance: string): string =>
  createHash('sha1').update(`${engine} ${instance}`).digest('hex');

/** Place of this instance in the order of each engine. */
export class EngineTurns {
  readonly #getGroup: () => LimitGroup;
  readonly #placeByEngine = new Map<string, number>();
  #group: LimitGroup | undefined;
  #refreshedAtMs = -Infinity;

  constructor(getGroup: () => LimitGroup) {
    this.#getGroup = getGroup;
  }

  /** Number of the other instances. */
  get otherInstances(): number {
    return this.#getCurrentGroup().names.length - 1;
  }

  /** Number of instances whose turn at the engine comes before this one's. */
  countAhead(engine: string): number {
    const group = this.#getCurrentGroup();
    const known = this.#placeByEngine.get(engine);
    if (known !== undefined) return known;
    const ownWeight = computeWeight(engine, group.self);
    const place = group.names.filter(
      name => name !== group.self && computeWeight(engine, name) > ownWeight,
    ).length;
    this.#placeByEngine.set(engine, place);
    return place;
  }

  #getCurrentGroup(): LimitGroup {
    const nowMs = performance.now();
    const current = this.#group;
    if (
      current !== undefined &&
      nowMs - this.#refreshedAtMs < refreshIntervalMs
    )
      return current;
    this.#refreshedAtMs = nowMs;
    const group = this.#getGroup();
    if (current?.names.join('\n') !== group.names.join('\n'))
      this.#placeByEngine.clear();
    this.#group = group;
    return group;
  }
}
