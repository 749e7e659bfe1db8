/** Changes the roles of engines through maintenance plans. */
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

/**
 * A plan that stays in the state `closing` for longer is cancelled, because the
 * closed engine costs callers more than the role change gains.
 */
const closingTimeoutMs = 15_000;

/** Submits a plan for each role change and waits for its end. */
export class PlannedRoleChanger extends RoleChanger {
  readonly #planManager: PlanManager;

  constructor(planManager: PlanManager) {
    super();
    this.#planManager = planManager;
  }

  override async changeRole(
    change: RoleChange,
  ): Promise<Either<Failure, void>> {
    const request = {
      kind: 'role' as const,
      target: change.engine,
      role: change.to,
    };
    const submitResult = await this.#planManager.submitPlan(
      request,
      planAuthor,
    );
    if (submitResult.isLeft()) return Left(submitResult.extract());
    return this.#waitForPlanEnd(submitResult.unsafeCoerce());
  }

  /**
   * Waits until the plan ends. Cancels the plan if it is still in the state
   * `closing` after `closingTimeoutMs`.
   */
  async #waitForPlanEnd({
    id,
    createdAtMs,
  }: MaintenancePlan): Promise<Either<Failure, void>> {
    while (await sleep(pollIntervalMs)) {
      const plan = (await this.#planManager.findPlan(id)).toMaybe().extract();
      if (plan === undefined) continue;
      if (!isOpenPlan(plan)) return toResult(plan);
      const isLate = Date.now() - createdAtMs > closingTimeoutMs;
      if (isLate && plan.state === 'closing')
        await this.#planManager.cancelPlan(id);
    }
    return Right(undefined);
  }
}

const toResult = ({ state, note }: MaintenancePlan): Either<Failure, void> =>
  state === 'done'
    ? Right(undefined)
    : Left(
        new Failure(
          'plan_conflict',
          `the role change plan ended as ${state}: ${note}`,
        ),
      );
