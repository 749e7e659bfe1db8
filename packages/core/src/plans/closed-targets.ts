/** This instance's part in closing targets: it marks, counts and tells. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { PeerHandler } from '../kernel/kernel.js';
import type { TargetDirectory } from '../membership/target-directory.js';
import type { PeerGroup } from '../peers/peer-group.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';

import type { PlanStore } from './plan-store.js';

const pollPeriodMs = 2_000;
const peerTimeoutMs = 1_500;

/** Asks an instance to close a target and to count its work there. */
export const closeMethod = 'plan.close';
/** Asks an instance which targets it holds closed. */
export const closedMethod = 'plan.closed';

const closeSchema = z.object({ target: z.string().min(1) });
export const closeReplySchema = z.object({
  /** Requests of the instance that still run on the target. */
  running: z.number().int().nonnegative(),
});
const closedReplySchema = z.array(z.string());

/** Counts this instance's requests that run on a target. */
export type RunningCount = (target: string) => number;

export interface ClosedTargetsOptions {
  readonly store: PlanStore;
  readonly directory: TargetDirectory;
  readonly peers: PeerGroup;
  readonly running: RunningCount;
  readonly log: Log;
  readonly random: () => number;
}

export class ClosedTargets {
  readonly #options: ClosedTargetsOptions;
  /** Closed targets with the time of the last word that closed them. */
  readonly #closed = new Map<string, number>();
  readonly #stopping = new AbortController();

  constructor(options: ClosedTargetsOptions) {
    this.#options = options;
  }

  /** Closes the target here and counts what still runs on it. */
  close(target: string): number {
    this.#closed.set(target, Date.now());
    this.#options.directory.markLeaving(target, 'plan');
    return this.#options.running(target);
  }

  /** Learns the open plans, from the table or else from peers. */
  async refresh(): Promise<void> {
    const askedAtMs = Date.now();
    const plans = await this.#options.store.open();
    await plans.caseOf({
      Left: () => this.#askPeers(),
      Right: found => {
        this.#replace(
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
  async run(): Promise<void> {
    const { signal } = this.#stopping;
    while (await sleep(jittered(pollPeriodMs, this.#options.random), signal)) {
      await this.refresh();
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  /** Methods that peers call, by name. */
  peerMethods(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      [closeMethod, params => Promise.resolve(this.#answerClose(params))],
      [closedMethod, () => Promise.resolve(Right([...this.#closed.keys()]))],
    ]);
  }

  #answerClose(params: unknown): Either<Failure, unknown> {
    const asked = closeSchema.safeParse(params);
    if (!asked.success) {
      return Left(new Failure('invalid_request', asked.error.message));
    }
    return Right({ running: this.close(asked.data.target) });
  }

  /** Without the table targets are only ever closed, never opened. */
  async #askPeers(): Promise<void> {
    const answers = await Promise.all(
      this.#options.peers
        .peers()
        .map(peer => peer.call(closedMethod, {}, { timeoutMs: peerTimeoutMs })),
    );
    for (const answer of answers) {
      const closed = closedReplySchema.safeParse(answer.orDefault(undefined));
      for (const target of closed.data ?? []) this.close(target);
    }
  }

  /** A target closed since the table was asked stays closed. */
  #replace(targets: readonly string[], askedAtMs: number): void {
    const wanted = new Set(targets);
    for (const [target, closedAtMs] of [...this.#closed]) {
      if (wanted.has(target) || closedAtMs >= askedAtMs) continue;
      this.#closed.delete(target);
      this.#options.directory.clearLeaving(target, 'plan');
    }
    for (const target of wanted) this.close(target);
  }
}
