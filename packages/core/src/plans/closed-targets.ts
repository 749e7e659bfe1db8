/** This instance's part in closing targets: it marks, counts and tells. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { TargetDirectory } from '../membership/target-directory.js';
import type { PeerGroup } from '../peers/peer-group.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import type { PlanStore } from './plan-store.js';

const pollIntervalMs = 2_000;
const peerTimeoutMs = 1_500;

/** Asks an instance to close a target and to count its work there. */
export const closeTargetMethod = 'plan.close';
/** Asks an instance which targets it holds closed. */
export const listClosedTargetsMethod = 'plan.closed';

const closeTargetParamsSchema = z.object({ target: z.string().min(1) });
export const closeTargetReplySchema = z.object({
  /** Requests of the instance that still run on the target. */
  running: z.number().int().nonnegative(),
});
const listClosedTargetsReplySchema = z.array(z.string());

/** Counts this instance's requests that run on a target. */
export type CountRunningRequests = (target: string) => number;

export interface ClosedTargetsOptions {
  readonly store: PlanStore;
  readonly directory: TargetDirectory;
  readonly peers: PeerGroup;
  readonly countRunning: CountRunningRequests;
  readonly log: Log;
  readonly random: () => number;
}

export class ClosedTargets {
  readonly #options: ClosedTargetsOptions;
  /** Closed targets with the time of the last word that closed them. */
  readonly #closedAtMs = new Map<string, number>();
  readonly #stopping = new AbortController();

  constructor(options: ClosedTargetsOptions) {
    this.#options = options;
  }

  /** Closes the target here and counts what still runs on it. */
  closeTarget(target: string): number {
    this.#closedAtMs.set(target, Date.now());
    this.#options.directory.markLeaving(target, 'plan');
    return this.#options.countRunning(target);
  }

  /** Learns the open plans, from the table or else from peers. */
  async refreshFromPlans(): Promise<void> {
    const askedAtMs = Date.now();
    const plans = await this.#options.store.listOpenPlans();
    await plans.caseOf({
      Left: () => this.#refreshFromPeers(),
      Right: found => {
        this.#replaceClosedTargets(
          found
            .filter(({ plan }) => plan.state !== 'cancelling')
            .map(({ plan }) => plan.request.target),
          askedAtMs,
        );
        return Promise.resolve();
      },
    });
  }

  /** Follows the plans until stopped. */
  async refreshUntilStopped(): Promise<void> {
    const { signal } = this.#stopping;
    while (
      await sleep(addJitter(pollIntervalMs, this.#options.random), signal)
    ) {
      await this.refreshFromPlans();
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Methods that peers call, by name. */
  peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return new Map<string, PeerMethodHandler>([
      [
        closeTargetMethod,
        params => Promise.resolve(this.#handleCloseRequest(params)),
      ],
      [
        listClosedTargetsMethod,
        () => Promise.resolve(Right([...this.#closedAtMs.keys()])),
      ],
    ]);
  }

  #handleCloseRequest(params: unknown): Either<Failure, unknown> {
    const asked = closeTargetParamsSchema.safeParse(params);
    if (!asked.success) {
      return Left(new Failure('invalid_request', asked.error.message));
    }
    return Right({ running: this.closeTarget(asked.data.target) });
  }

  /** Without the table targets are only ever closed, never opened. */
  async #refreshFromPeers(): Promise<void> {
    const answers = await Promise.all(
      this.#options.peers
        .listPeers()
        .map(peer =>
          peer.callMethod(
            listClosedTargetsMethod,
            {},
            { timeoutMs: peerTimeoutMs },
          ),
        ),
    );
    for (const answer of answers) {
      const closed = listClosedTargetsReplySchema.safeParse(
        answer.orDefault(undefined),
      );
      for (const target of closed.data ?? []) this.closeTarget(target);
    }
  }

  /** A target closed since the table was asked stays closed. */
  #replaceClosedTargets(targets: readonly string[], askedAtMs: number): void {
    const wanted = new Set(targets);
    for (const [target, closedAtMs] of [...this.#closedAtMs]) {
      if (wanted.has(target) || closedAtMs >= askedAtMs) continue;
      this.#closedAtMs.delete(target);
      this.#options.directory.clearLeaving(target, 'plan');
    }
    for (const target of wanted) this.closeTarget(target);
  }
}
