/** Asks every instance to close a target and waits for all of them. */
import type { Maybe } from 'purify-ts';

import type { InstanceRegistry } from '../membership/instance-registry.js';
import type { Peer } from '../peers/peer.js';

import { closeMethod, closeReplySchema } from './closed-targets.js';
import type { ClosedTargets } from './closed-targets.js';

const closeTimeoutMs = 1_500;

/** Answer of one round: who has not acknowledged and what still runs. */
export interface ClosingRound {
  readonly unacknowledged: readonly string[];
  readonly running: number;
}

export interface ClosingOptions {
  readonly registry: InstanceRegistry;
  readonly closed: ClosedTargets;
  readonly peerTo: (name: string) => Maybe<Peer>;
}

export class Closing {
  readonly #options: ClosingOptions;

  constructor(options: ClosingOptions) {
    this.#options = options;
  }

  /** Asks every instance that is not confirmed gone. */
  async round(target: string): Promise<ClosingRound> {
    const { registry, closed } = this.#options;
    const others = registry
      .all()
      .filter(({ name }) => name !== registry.self.name);
    const answers = await Promise.all(
      others.map(async ({ name }) => ({
        name,
        running: await this.#ask(name, target),
      })),
    );
    const own = closed.close(target);
    return {
      unacknowledged: answers
        .filter(({ running }) => running === undefined)
        .map(({ name }) => name),
      running: answers.reduce((sum, { running }) => sum + (running ?? 0), own),
    };
  }

  async #ask(name: string, target: string): Promise<number | undefined> {
    const peer = this.#options.peerTo(name).extract();
    if (peer === undefined) return undefined;
    const answer = await peer.call(
      closeMethod,
      { target },
      { timeoutMs: closeTimeoutMs },
    );
    const reply = closeReplySchema.safeParse(answer.orDefault(undefined));
    return reply.data?.running;
  }
}
