/** Carries a plan's order to its end in the background, and says how far. */
import type { Either } from 'purify-ts';

import type { LeaseManager } from '../authority/lease-manager.js';
import type { Lease } from '../authority/lease.js';
import type { CommandCoordinator } from '../authority/command-coordinator.js';
import type { CommandRecord } from '../authority/command-record.js';
import { getCommandLeaseName } from '../authority/command-request.js';
import type { Failure } from '../shared/failure.js';
import { runCatching } from '../shared/run-catching.js';
import type { EngineCommandAction } from '../target/target.js';

import type { MaintenancePlan } from './maintenance-plan.js';

/** How far an order is. */
export type CommandProgress =
  | { readonly kind: 'running'; readonly waitingOn: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'failed'; readonly reason: string };

export interface PlanCommandRunnerOptions {
  readonly leases: LeaseManager;
  readonly commands: CommandCoordinator;
}

export class PlanCommandRunner {
  readonly #options: PlanCommandRunnerOptions;
  /** By plan: what the last attempt said; `running` while it goes on. */
  readonly #progress = new Map<string, CommandProgress>();

  constructor(options: PlanCommandRunnerOptions) {
    this.#options = options;
  }

  /**
   * Starts the plan's order unless it runs, and says how far it is. The plan's
   * id is the order's id, so that every instance finishes the same order.
   */
  advanceCommand(
    plan: MaintenancePlan,
    action: EngineCommandAction,
  ): CommandProgress {
    const known = this.#progress.get(plan.id);
    if (known?.kind === 'done' || known?.kind === 'failed') {
      this.#progress.delete(plan.id);
      return known;
    }
    if (known === undefined) {
      this.#progress.set(plan.id, { kind: 'running', waitingOn: 'the engine' });
      void this.#runCommand(plan, action);
    }
    return known ?? { kind: 'running', waitingOn: 'the engine' };
  }

  async #runCommand(
    plan: MaintenancePlan,
    action: EngineCommandAction,
  ): Promise<void> {
    const outcome = await this.#issueCommand(plan, action);
    outcome
      .ifRight(record => {
        this.#progress.set(plan.id, toCommandProgress(record));
      })
      .ifLeft(failure => {
        this.#retryLater(plan.id, failure);
      });
  }

  #issueCommand(
    plan: MaintenancePlan,
    action: EngineCommandAction,
  ): Promise<Either<Failure, CommandRecord>> {
    const { leases, commands: orders } = this.#options;
    const { target } = plan.request;
    return runCatching(async unwrap => {
      const lease = await unwrap(
        leases.acquireLease(getCommandLeaseName(target)),
      );
      try {
        const request = { target, action, lease, commandId: plan.id };
        return await unwrap(orders.issueCommand(request));
      } finally {
        await tryReleaseLease(leases, lease);
      }
    });
  }

  /** Says why it waits; the next round but one tries again. */
  #retryLater(plan: string, failure: Failure): void {
    const waitingOn = failure.message;
    this.#progress.set(plan, { kind: 'running', waitingOn });
    setTimeout(
      () => this.#progress.delete(plan),
      failure.retryAfterMs ?? 1_000,
    );
  }
}

const tryReleaseLease = async (
  leases: LeaseManager,
  lease: Lease,
): Promise<void> => {
  await leases.releaseLease(lease);
};

const toCommandProgress = ({
  state,
  reason,
}: CommandRecord): CommandProgress => {
  if (state === 'done') return { kind: 'done' };
  return { kind: 'failed', reason: reason ?? `the order was ${state}` };
};
