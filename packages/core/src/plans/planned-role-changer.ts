/** Carries role changes out as plans. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { RoleChanger } from '../roles/role-controller.js';
import type { RoleChange } from '../roles/role-policy.js';
import { Failure } from '../shared/failure.js';
import { sleep } from '../shared/time.js';

import { isOpen } from './maintenance-plan.js';
import type { Plan } from './maintenance-plan.js';
import type { Planner } from './plan-manager.js';

const author = 'role policy';
const pollMs = 500;

/** A closing that takes longer costs callers more than the change gains. */
const closingLimitMs = 15_000;

export class PlannedRoleChanger extends RoleChanger {
  readonly #planner: Planner;

  constructor(planner: Planner) {
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
    const plan = await this.#planner.submit(request, author);
    if (plan.isLeft()) return Left(plan.extract());
    return this.#follow(plan.unsafeCoerce());
  }

  /** Waits for the end; a plan that an instance holds up is cancelled. */
  async #follow({ id, createdAtMs }: Plan): Promise<Either<Failure, void>> {
    while (await sleep(pollMs)) {
      const found = (await this.#planner.find(id)).toMaybe().extract();
      if (found === undefined) continue;
      if (!isOpen(found)) return endOf(found);
      const late = Date.now() - createdAtMs > closingLimitMs;
      if (late && found.state === 'closing') await this.#planner.cancel(id);
    }
    return Right(undefined);
  }
}

const endOf = ({ state, note }: Plan): Either<Failure, void> =>
  state === 'done'
    ? Right(undefined)
    : Left(new Failure('plan_conflict', `the plan was ${state}: ${note}`));
