/** Runs the engine command of a plan in the background. */
import type { Either } from 'purify-ts';

import type { Leases } from '../authority/leases.js';
import type { Lease } from '../authority/lease.js';
import type { CommandCoordinator } from '../authority/command-coordinator.js';
import type { CommandRecord } from '../authority/command-record.js';
import { getCommandLeaseName } from '../authority/command-request.js';
import type { Failure } from '../shared/failure.js';
import { runCatching } from '../shared/run-catching.js';
import type { EngineCommandAction } from '../target/target.js';

import type { MaintenancePlan } from './maintenance-plan.js';

/** Progress of a command. */
export type CommandProgress =
  | { readonly kind: 'running'; readonly waitingOn: string }
  | { readonly kind: 'done' }
  | { readonly kind: 'failed'; readonly reason: string };

export interface PlanCommandRunnerOptions {
  readonly leases: Leases;
  readonly commands: CommandCoordinator;
}

/** Runs at most one command per plan and reports its progress. */
export class PlanCommandRunner {
  readonly #options: PlanCommandRunnerOptions;
  /** Progress of the latest attempt, by plan id. */
  readonly #progress = new Map<string, CommandProgress>();

  constructor(options: PlanCommandRunnerOptions) {
    this.#options = options;
  }

  /**
   * Starts the plan's command unless it is running, and returns its progress.
   * The plan id is also the command id, so that every instance that continues
   * the plan continues the same command.
   */
  advanceCommand(
    plan: MaintenancePlan,
    action: EngineCommandAction,
  ): CommandProgress {
    const progress = this.#progress.get(plan.id);
    if (progress?.kind === 'done' || progress?.kind === 'failed') {
      this.#progress.delete(plan.id);
      return progress;
    }
    if (progress === undefined) {
      this.#progress.set(plan.id, { kind: 'running', waitingOn: 'the engine' });
      void this.#runCommand(plan, action);
    }
    return progress ?? { kind: 'running', waitingOn: 'the engine' };
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
    const { leases, commands } = this.#options;
    const { target } = plan.request;
    return runCatching(async unwrap => {
      const lease = await unwrap(
        leases.acquireLease(getCommandLeaseName(target)),
      );
      try {
        const request = { target, action, lease, commandId: plan.id };
        return await unwrap(commands.issueCommand(request));
      } finally {
        await tryReleaseLease(leases, lease);
      }
    });
  }

  /**
   * Reports the failure as the reason for waiting. After the retry delay of the
   * failure, or else one second, the next call starts a new attempt.
   */
  #retryLater(planId: string, failure: Failure): void {
    const waitingOn = failure.message;
    this.#progress.set(planId, { kind: 'running', waitingOn });
    setTimeout(
      () => this.#progress.delete(planId),
      failure.retryAfterMs ?? 1_000,
    );
  }
}

const tryReleaseLease = async (leases: Leases, lease: Lease): Promise<void> => {
  await leases.releaseLease(lease);
};

const toCommandProgress = ({
  state,
  reason,
}: CommandRecord): CommandProgress => {
  if (state === 'done') return { kind: 'done' };
  return {
    kind: 'failed',
    reason: reason ?? `the engine command ended as ${state}`,
  };
};
