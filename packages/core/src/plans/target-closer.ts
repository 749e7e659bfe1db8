/** Asks every instance to close a target and waits for all of them. */
import type { Maybe } from 'purify-ts';

import type { InstanceRegistry } from '../membership/instance-registry.js';
import type { Peer } from '../peers/peer.js';

import { closeTargetMethod, closeTargetReplySchema } from './closed-targets.js';
import type { ClosedTargets } from './closed-targets.js';

const closeTimeoutMs = 1_500;

/** Answer of one round: who has not acknowledged and what still runs. */
export interface CloseResult {
  readonly unacknowledgedInstances: readonly string[];
  readonly runningRequestCount: number;
}

export interface TargetCloserOptions {
  readonly registry: InstanceRegistry;
  readonly closedTargets: ClosedTargets;
  readonly getPeer: (name: string) => Maybe<Peer>;
}

export class TargetCloser {
  readonly #options: TargetCloserOptions;

  constructor(options: TargetCloserOptions) {
    this.#options = options;
  }

  /** Asks every instance that is not confirmed gone. */
  async closeEverywhere(target: string): Promise<CloseResult> {
    const { registry, closedTargets: closed } = this.#options;
    const others = registry
      .listInstances()
      .filter(({ name }) => name !== registry.self.name);
    const answers = await Promise.all(
      others.map(async ({ name }) => ({
        name,
        running: await this.#requestClose(name, target),
      })),
    );
    const own = closed.closeTarget(target);
    return {
      unacknowledgedInstances: answers
        .filter(({ running }) => running === undefined)
        .map(({ name }) => name),
      runningRequestCount: answers.reduce(
        (sum, { running }) => sum + (running ?? 0),
        own,
      ),
    };
  }

  async #requestClose(
    name: string,
    target: string,
  ): Promise<number | undefined> {
    const peer = this.#options.getPeer(name).extract();
    if (peer === undefined) return undefined;
    const answer = await peer.callMethod(
      closeTargetMethod,
      { target },
      { timeoutMs: closeTimeoutMs },
    );
    const reply = closeTargetReplySchema.safeParse(answer.orDefault(undefined));
    return reply.data?.running;
  }
}
