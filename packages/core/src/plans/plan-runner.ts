/** Carries the plans of one data centre on, under that data centre's lease. */
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

/** Between looks while plans are open, and while none is. */
const activePollIntervalMs = 500;
const idlePollIntervalMs = 2_000;

/** Authority over the plans of a data centre. */
export interface PlanLeaseHandle {
  /** True while it is worth trying; the guard is what protects. */
  readonly isHeld: boolean;
  /** Makes a transaction fail once the authority has passed on. */
  createFencingCheck(): Write;
}

/** Starts a plan's order or says how far it is. */
export type AdvanceCommand = (
  plan: MaintenancePlan,
  action: EngineCommandAction,
) => CommandProgress;

/** Takes the authority when it is free; `Nothing` while another has it. */
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

export class PlanRunner {
  readonly #options: PlanRunnerOptions;
  readonly #stopping = new AbortController();

  constructor(options: PlanRunnerOptions) {
    this.#options = options;
  }

  /** Moves plans on until stopped. */
  async advanceUntilStopped(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const open = await this.advanceOpenPlans().catch((error: unknown) => {
        const reason = String(error);
        this.#options.log.writeEvent('step_failed', { step: 'plans', reason });
        return 0;
      });
      const periodMs = open > 0 ? activePollIntervalMs : idlePollIntervalMs;
      await sleep(addJitter(periodMs, this.#options.random), signal);
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  /**
   * Moves each open plan of the data centre on by at most one state and says
   * how many there are.
   */
  async advanceOpenPlans(): Promise<number> {
    const open = (await this.#options.store.listOpenPlans()).orDefault([]);
    const mine = open.filter(
      ({ plan }) => plan.dataCenter === this.#options.dataCenter,
    );
    if (mine.length === 0) return 0;
    const authority = (await this.#options.acquireLease()).extract();
    if (authority === undefined) return mine.length;
    for (const stored of mine) {
      if (!authority.isHeld) break;
      await this.#advancePlan(stored, authority);
    }
    return mine.length;
  }

  async #advancePlan(
    stored: StoredPlan,
    authority: PlanLeaseHandle,
  ): Promise<void> {
    const change = await this.#computeChange(stored.plan);
    if (change === undefined || isUnchanged(stored.plan, change)) return;
    const guards = [authority.createFencingCheck()];
    const moved = await this.#options.store.updatePlan(stored, change, guards);
    moved.ifRight(({ plan }) => {
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

  /** Goes on only when all acknowledged and nothing runs any more. */
  async #closeTarget(plan: MaintenancePlan): Promise<PlanChange> {
    const { target } = plan.request;
    const {
      unacknowledgedInstances: unacknowledged,
      runningRequestCount: running,
    } = await this.#options.closer.closeEverywhere(target);
    if (unacknowledged.length > 0) {
      return {
        state: 'closing',
        waitingOn: unacknowledged.map(name => `instance ${name}`),
      };
    }
    const reported = await this.#countRunning(plan);
    const left = Math.max(running, reported);
    if (left > 0) {
      return { state: 'waiting', waitingOn: [`${left} running requests`] };
    }
    const next = requiresCommand(plan.request) ? 'acting' : 'closed';
    return { state: next, waitingOn: [] };
  }

  /** What the engine itself says; a vanished target runs nothing. */
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
        note: 'the engine is not there',
      };
    }
    return toPlanChange(this.#options.advanceCommand(plan, action));
  }

  /** A replacement ends with a new incarnation; the others stay closed. */
  async #watchClosedTarget(
    plan: MaintenancePlan,
  ): Promise<PlanChange | undefined> {
    if (plan.request.kind !== 'replace') {
      await this.#options.closer.closeEverywhere(plan.request.target);
      return undefined;
    }
    const target = this.#findTarget(plan.request.target);
    const replaced =
      target !== undefined && target.incarnation !== plan.incarnation;
    if (replaced) return { state: 'done', waitingOn: [] };
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
