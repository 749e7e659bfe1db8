/** Targets that maintenance plans have closed, as this instance knows them. */
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

/** Interval between two reads of the open plans. */
const pollIntervalMs = 2_000;
const peerTimeoutMs = 1_500;

/** Peer method that closes a target and counts the requests running on it. */
export const closeTargetMethod = 'plan.close';
/** Peer method that lists the targets an instance has closed. */
export const listClosedTargetsMethod = 'plan.closed';

const closeTargetParamsSchema = z.object({ target: z.string().min(1) });
/** Reply to `closeTargetMethod`. */
export const closeTargetReplySchema = z.object({
  /** Requests of the replying instance that still run on the target. */
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

/** Marks targets as leaving while a plan keeps them closed. */
export class ClosedTargets {
  readonly #options: ClosedTargetsOptions;
  /** Wall-clock time of the latest close request, by target. */
  readonly #closedAtMs = new Map<string, number>();
  readonly #stopController = new AbortController();

  constructor(options: ClosedTargetsOptions) {
    this.#options = options;
  }

  /**
   * Closes the target on this instance and returns the number of requests that
   * this instance still runs on it.
   */
  closeTarget(target: string): number {
    this.#closedAtMs.set(target, Date.now());
    this.#options.directory.markLeaving(target, 'plan');
    return this.#options.countRunning(target);
  }

  /**
   * Reads the open plans from the table and closes or opens targets to match.
   * When the table cannot be read, adopts the closed targets of the peers.
   */
  async refreshFromPlans(): Promise<void> {
    const queriedAtMs = Date.now();
    const plansResult = await this.#options.store.listOpenPlans();
    await plansResult.caseOf({
      Left: () => this.#refreshFromPeers(),
      Right: openPlans => {
        this.#replaceClosedTargets(
          openPlans
            .filter(({ plan }) => plan.state !== 'cancelling')
            .map(({ plan }) => plan.request.target),
          queriedAtMs,
        );
        return Promise.resolve();
      },
    });
  }

  /** Refreshes the closed targets periodically until `stop` is called. */
  async refreshUntilStopped(): Promise<void> {
    const { signal } = this.#stopController;
    while (
      await sleep(addJitter(pollIntervalMs, this.#options.random), signal)
    ) {
      await this.refreshFromPlans();
    }
  }

  stop(): void {
    this.#stopController.abort();
  }

  /** Handlers of the methods that peers call, by method name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
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
    const parsedParams = closeTargetParamsSchema.safeParse(params);
    if (!parsedParams.success) {
      return Left(new Failure('invalid_request', parsedParams.error.message));
    }
    return Right({ running: this.closeTarget(parsedParams.data.target) });
  }

  /** Closes targets that a peer has closed; never opens one. */
  async #refreshFromPeers(): Promise<void> {
    const responses = await Promise.all(
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
    for (const response of responses) {
      const reply = listClosedTargetsReplySchema.safeParse(
        response.orDefault(undefined),
      );
      for (const target of reply.data ?? []) this.closeTarget(target);
    }
  }

  /**
   * Closes exactly the given targets. A target closed after the table was
   * queried stays closed, because the result may not include its plan.
   */
  #replaceClosedTargets(targets: readonly string[], queriedAtMs: number): void {
    const plannedTargets = new Set(targets);
    for (const [target, closedAtMs] of [...this.#closedAtMs]) {
      if (plannedTargets.has(target) || closedAtMs >= queriedAtMs) continue;
      this.#closedAtMs.delete(target);
      this.#options.directory.clearLeaving(target, 'plan');
    }
    for (const target of plannedTargets) this.closeTarget(target);
  }
}
