/** Carries role changes out as plans. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { RoleChanger } from '../roles/role-controller.js';
import type { RoleChange } from '../roles/role-policy.js';
import { Failure } from '../shared/failure.js';
import { sleep } from '../shared/time.js';

import { isOpenPlan } from './maintenance-plan.js';
import type { MaintenancePlan } from './maintenance-plan.js';
import type { PlanManager } from './plan-manager.js';

const planAuthor = 'role policy';
const pollIntervalMs = 500;

/** A closing that takes longer costs callers more than the change gains. */
const closingTimeoutMs = 15_000;

export class PlannedRoleChanger extends RoleChanger {
  readonly #planner: PlanManager;

  constructor(planner: PlanManager) {
    super();
    this.#planner = planner;
  }

  override async changeRole(
    change: RoleChange,
  ): Promise<Either<Failure, void>> {
    const request = {
      kind: 'role' as const,
      target: change.engine,
      role: change.to,
    };
    const plan = await this.#planner.submitPlan(request, planAuthor);
    if (plan.isLeft()) return Left(plan.extract());
    return this.#waitForPlanEnd(plan.unsafeCoerce());
  }

  /** Waits for the end; a plan that an instance holds up is cancelled. */
  async #waitForPlanEnd({
    id,
    createdAtMs,
  }: MaintenancePlan): Promise<Either<Failure, void>> {
    while (await sleep(pollIntervalMs)) {
      const found = (await this.#planner.findPlan(id)).toMaybe().extract();
      if (found === undefined) continue;
      if (!isOpenPlan(found)) return toResult(found);
      const late = Date.now() - createdAtMs > closingTimeoutMs;
      if (late && found.state === 'closing') await this.#planner.cancelPlan(id);
    }
    return Right(undefined);
  }
}

const toResult = ({ state, note }: MaintenancePlan): Either<Failure, void> =>
  state === 'done'
    ? Right(undefined)
    : Left(new Failure('plan_conflict', `the plan was ${state}: ${note}`));
