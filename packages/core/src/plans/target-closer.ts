/** Closes a target on every instance. */
import type { Maybe } from 'purify-ts';

import type { InstanceRegistry } from '../membership/instance-registry.js';
import type { Peer } from '../peers/peer.js';

import { closeTargetMethod, closeTargetReplySchema } from './closed-targets.js';
import type { ClosedTargets } from './closed-targets.js';

const closeTimeoutMs = 1_500;

/** Instances that have not acknowledged, and requests that still run. */
export interface CloseResult {
  readonly unacknowledgedInstances: readonly string[];
  readonly runningRequestCount: number;
}

export interface TargetCloserOptions {
  readonly registry: InstanceRegistry;
  readonly closedTargets: ClosedTargets;
  readonly getPeer: (name: string) => Maybe<Peer>;
}

/** Sends close requests to the peers. */
export class TargetCloser {
  readonly #options: TargetCloserOptions;

  constructor(options: TargetCloserOptions) {
    this.#options = options;
  }

  /**
   * Asks every instance in the registry and waits for all replies, each up to
   * `closeTimeoutMs`. The registry omits only instances confirmed to have ended.
   */
  async closeEverywhere(target: string): Promise<CloseResult> {
    const { registry, closedTargets } = this.#options;
    const otherInstances = registry
      .listInstances()
      .filter(({ name }) => name !== registry.self.name);
    const replies = await Promise.all(
      otherInstances.map(async ({ name }) => ({
        name,
        running: await this.#requestClose(name, target),
      })),
    );
    const localRunningCount = closedTargets.closeTarget(target);
    return {
      unacknowledgedInstances: replies
        .filter(({ running }) => running === undefined)
        .map(({ name }) => name),
      runningRequestCount: replies.reduce(
        (sum, { running }) => sum + (running ?? 0),
        localRunningCount,
      ),
    };
  }

  /**
   * Asks a peer to close the target. Returns the number of the peer's requests
   * that still run on it, or `undefined` if the peer does not reply.
   */
  async #requestClose(
    name: string,
    target: string,
  ): Promise<number | undefined> {
    const peer = this.#options.getPeer(name).extract();
    if (peer === undefined) return undefined;
    const response = await peer.callMethod(
      closeTargetMethod,
      { target },
      { timeoutMs: closeTimeoutMs },
    );
    const reply = closeTargetReplySchema.safeParse(
      response.orDefault(undefined),
    );
    return reply.data?.running;
  }
}
