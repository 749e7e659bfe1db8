/** Advances the plans of one data centre while holding its plan lease. */
import type { Maybe } from 'purify-ts';

import type { TargetDirectory } from '../membership/target-directory.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';
import type { Write } from '../table/table.js';
import { Engine } from '../target/target.js';
import type { EngineCommandAction, Target } from '../target/target.js';

import type { TargetCloser } from './target-closer.js';
import type { CommandProgress } from './plan-command-runner.js';
import { requiresCommand } from './maintenance-plan.js';
import type {
  MaintenancePlan,
  MaintenancePlanRequest,
} from './maintenance-plan.js';
import type { PlanStore, StoredPlan } from './plan-store.js';

/** Poll interval while plans are open. */
const activePollIntervalMs = 500;
/** Poll interval while no plan is open. */
const idlePollIntervalMs = 2_000;

/** The lease on the plans of a data centre. */
export interface PlanLeaseHandle {
  /**
   * False once the lease is known to be lost. Only the fencing check prevents
   * a write after an unnoticed loss.
   */
  readonly isHeld: boolean;
  /** Makes a transaction fail once another instance has taken the lease. */
  createFencingCheck(): Write;
}

/** Starts the engine command of a plan, or returns its progress. */
export type AdvanceCommand = (
  plan: MaintenancePlan,
  action: EngineCommandAction,
) => CommandProgress;

/** Acquires the lease; `Nothing` while another instance holds it. */
export type AcquirePlanLease = () => Promise<Maybe<PlanLeaseHandle>>;

export interface PlanRunnerOptions {
  readonly dataCenter: string;
  readonly store: PlanStore;
  readonly closer: TargetCloser;
  readonly directory: TargetDirectory;
  readonly acquireLease: AcquirePlanLease;
  readonly advanceCommand: AdvanceCommand;
  readonly log: Log;
  readonly random: () => number;
}

type PlanChange = Parameters<PlanStore['updatePlan']>[1];

/** Polls the open plans and advances each by one state at a time. */
export class PlanRunner {
  readonly #options: PlanRunnerOptions;
  readonly #stopController = new AbortController();

  constructor(options: PlanRunnerOptions) {
    this.#options = options;
  }

  /** Advances the plans periodically until `stop` is called. */
  async advanceUntilStopped(): Promise<void> {
    const { signal } = this.#stopController;
    while (!signal.aborted) {
      const openPlanCount = await this.advanceOpenPlans().catch(
        (error: unknown) => {
          const reason = String(error);
          this.#options.log.writeEvent('step_failed', {
            step: 'plans',
            reason,
          });
          return 0;
        },
      );
      const periodMs =
        openPlanCount > 0 ? activePollIntervalMs : idlePollIntervalMs;
      await sleep(addJitter(periodMs, this.#options.random), signal);
    }
  }

  stop(): void {
    this.#stopController.abort();
  }

  /**
   * Advances each open plan of the data centre by at most one state. Returns the
   * number of open plans, also when this instance does not hold the lease.
   */
  async advanceOpenPlans(): Promise<number> {
    const openPlans = (await this.#options.store.listOpenPlans()).orDefault([]);
    const localPlans = openPlans.filter(
      ({ plan }) => plan.dataCenter === this.#options.dataCenter,
    );
    if (localPlans.length === 0) return 0;
    const lease = (await this.#options.acquireLease()).extract();
    if (lease === undefined) return localPlans.length;
    for (const stored of localPlans) {
      if (!lease.isHeld) break;
      await this.#advancePlan(stored, lease);
    }
    return localPlans.length;
  }

  async #advancePlan(
    stored: StoredPlan,
    lease: PlanLeaseHandle,
  ): Promise<void> {
    const change = await this.#computeChange(stored.plan);
    if (change === undefined || isUnchanged(stored.plan, change)) return;
    const guards = [lease.createFencingCheck()];
    const updateResult = await this.#options.store.updatePlan(
      stored,
      change,
      guards,
    );
    updateResult.ifRight(({ plan }) => {
      this.#options.log.writeEvent('plan_changed', {
        plan: plan.id,
        target: plan.request.target,
        state: plan.state,
        waitingOn: plan.waitingOn,
      });
    });
  }

  async #computeChange(plan: MaintenancePlan): Promise<PlanChange | undefined> {
    switch (plan.state) {
      case 'closing':
      case 'waiting':
        return this.#closeTarget(plan);
      case 'acting':
        return this.#executeCommand(plan);
      case 'closed':
        return this.#watchClosedTarget(plan);
      case 'cancelling':
        return { state: 'cancelled', waitingOn: [] };
      default:
        return undefined;
    }
  }

  /**
   * Advances the plan only when every instance has acknowledged and neither the
   * instances nor the engine report a running request.
   */
  async #closeTarget(plan: MaintenancePlan): Promise<PlanChange> {
    const { target } = plan.request;
    const { unacknowledgedInstances, runningRequestCount } =
      await this.#options.closer.closeEverywhere(target);
    if (unacknowledgedInstances.length > 0) {
      return {
        state: 'closing',
        waitingOn: unacknowledgedInstances.map(name => `instance ${name}`),
      };
    }
    const engineRequestCount = await this.#countRunning(plan);
    const remainingCount = Math.max(runningRequestCount, engineRequestCount);
    if (remainingCount > 0) {
      return {
        state: 'waiting',
        waitingOn: [`${remainingCount} running requests`],
      };
    }
    const nextState = requiresCommand(plan.request) ? 'acting' : 'closed';
    return { state: nextState, waitingOn: [] };
  }

  /**
   * Counts the requests that the engine reports; 0 for a plain service, an
   * unlisted target or an engine that gives no report.
   */
  async #countRunning({ request }: MaintenancePlan): Promise<number> {
    const target = this.#findTarget(request.target);
    if (!(target instanceof Engine)) return 0;
    const load = await target.getLoadReport();
    return load.map(({ running, queued }) => running + queued).orDefault(0);
  }

  #executeCommand(plan: MaintenancePlan): PlanChange {
    const action = toCommandAction(plan.request);
    const target = this.#findTarget(plan.request.target);
    if (action === undefined || !(target instanceof Engine)) {
      return {
        state: 'failed',
        waitingOn: [],
        note: 'the target is not a listed engine',
      };
    }
    return toPlanChange(this.#options.advanceCommand(plan, action));
  }

  /**
   * Ends a replacement when a new incarnation of the target is live. Plans of
   * other kinds keep their target closed.
   */
  async #watchClosedTarget(
    plan: MaintenancePlan,
  ): Promise<PlanChange | undefined> {
    if (plan.request.kind !== 'replace') {
      await this.#options.closer.closeEverywhere(plan.request.target);
      return undefined;
    }
    const target = this.#findTarget(plan.request.target);
    const isReplaced =
      target !== undefined && target.incarnation !== plan.incarnation;
    if (isReplaced) return { state: 'done', waitingOn: [] };
    return { waitingOn: ['a new incarnation of the target'] };
  }

  #findTarget(name: string): Target | undefined {
    return this.#options.directory
      .findTarget(name)
      .map(entry => entry.target)
      .extract();
  }
}

const toPlanChange = (progress: CommandProgress): PlanChange => {
  switch (progress.kind) {
    case 'running':
      return { waitingOn: [progress.waitingOn] };
    case 'done':
      return { state: 'done', waitingOn: [] };
    case 'failed':
      return { state: 'failed', waitingOn: [], note: progress.reason };
  }
};

const toCommandAction = (
  request: MaintenancePlanRequest,
): EngineCommandAction | undefined => {
  switch (request.kind) {
    case 'role':
      return { kind: 'role', role: request.role };
    case 'load':
      return { kind: 'load', model: request.model };
    case 'unload':
      return { kind: 'unload', model: request.model };
    default:
      return undefined;
  }
};

const isUnchanged = (plan: MaintenancePlan, change: PlanChange): boolean =>
  (change.state ?? plan.state) === plan.state &&
  (change.note ?? plan.note) === plan.note &&
  (change.waitingOn ?? plan.waitingOn).join() === plan.waitingOn.join();
