/** Lets operators preview, submit, cancel and look up maintenance plans. */
import { randomUUID } from 'node:crypto';

import { Left, Maybe, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { FleetTargetDirectory } from '../membership/fleet-target-directory.js';
import { Failure } from '../shared/failure.js';

import type {
  MaintenancePlan,
  MaintenancePlanRequest,
} from './maintenance-plan.js';
import type { PlanStore, StoredPlan } from './plan-store.js';

/** A plan in the state `acting` has sent a command, which runs to its end. */
const cancellableStates = new Set<MaintenancePlan['state']>([
  'closing',
  'waiting',
  'closed',
]);

export interface PlanManagerOptions {
  readonly store: PlanStore;
  readonly directory: FleetTargetDirectory;
}

/** Creates and cancels plans; `PlanRunner` executes them. */
export class PlanManager {
  readonly #store: PlanStore;
  readonly #directory: FleetTargetDirectory;

  constructor({ store, directory }: PlanManagerOptions) {
    this.#store = store;
    this.#directory = directory;
  }

  /** Returns the plan that `submitPlan` would store, without storing it. */
  previewPlan(
    request: MaintenancePlanRequest,
    author: string,
  ): Either<Failure, MaintenancePlan> {
    return this.#directory
      .findMember(request.target)
      .toEither(
        new Failure(
          'unknown_target',
          `target "${request.target}" is not in the fleet`,
        ),
      )
      .map(member => ({
        id: randomUUID(),
        request,
        state: 'closing' as const,
        incarnation: member.incarnation,
        dataCenter: member.dataCenter,
        author,
        createdAtMs: Date.now(),
        changedAtMs: Date.now(),
        waitingOn: [],
        note: this.#createWarning(request),
      }));
  }

  /**
   * Stores the plan, which an instance in the target's data centre executes.
   * Fails with `unknown_target`, or with `plan_conflict` if the target has an
   * open plan.
   */
  async submitPlan(
    request: MaintenancePlanRequest,
    author: string,
  ): Promise<Either<Failure, MaintenancePlan>> {
    const planResult = this.previewPlan(request, author);
    if (planResult.isLeft()) return planResult;
    const createResult = await this.#store.createPlan(
      planResult.unsafeCoerce(),
    );
    return createResult.map(({ plan }) => plan);
  }

  /** Lists the ended plans, oldest first, and then the open ones. */
  async listPlans(): Promise<Either<Failure, readonly MaintenancePlan[]>> {
    const [openResult, endedResult] = await Promise.all([
      this.#store.listOpenPlans(),
      this.#store.listEndedPlans(),
    ]);
    return openResult.chain(openPlans =>
      endedResult.map(endedPlans => [
        ...endedPlans,
        ...openPlans.map(({ plan }) => plan),
      ]),
    );
  }

  /** Fails with `plan_not_found` when no listed plan has this id. */
  async findPlan(id: string): Promise<Either<Failure, MaintenancePlan>> {
    const plans = await this.listPlans();
    return plans.chain(listedPlans =>
      Maybe.fromNullable(listedPlans.find(plan => plan.id === id)).toEither(
        new Failure('plan_not_found', `plan "${id}" does not exist`),
      ),
    );
  }

  /**
   * Cancels the plan, so that its target is opened again. Fails with
   * `plan_conflict` once the plan has reached a state that runs to its end.
   */
  async cancelPlan(id: string): Promise<Either<Failure, MaintenancePlan>> {
    const openResult = await this.#store.listOpenPlans();
    const storedPlan = openResult.chain(openPlans =>
      findOpenPlan(openPlans, id),
    );
    if (storedPlan.isLeft()) return Left(storedPlan.extract());
    const { plan } = storedPlan.unsafeCoerce();
    if (!cancellableStates.has(plan.state)) {
      const reason = `plan "${id}" is ${plan.state} and cannot be cancelled`;
      return Left(new Failure('plan_conflict', reason));
    }
    const change = { state: 'cancelling' as const, waitingOn: [] };
    const updateResult = await this.#store.updatePlan(
      storedPlan.unsafeCoerce(),
      change,
      [],
    );
    return updateResult.map(updated => updated.plan);
  }

  /** Warns when the plan closes the last local engine; empty otherwise. */
  #createWarning({ kind, target }: MaintenancePlanRequest): string {
    const openEngines = this.#directory
      .listEngines()
      .filter(entry => !entry.isLeaving && entry.target.name !== target);
    const isEngine = this.#directory
      .listEngines()
      .some(entry => entry.target.name === target);
    if (!isEngine || openEngines.some(({ isLocal }) => isLocal)) return '';
    return `${kind}: no other engine in this data centre accepts requests`;
  }
}

const findOpenPlan = (
  plans: readonly StoredPlan[],
  id: string,
): Either<Failure, StoredPlan> => {
  const openPlan = plans.find(({ plan }) => plan.id === id);
  if (openPlan !== undefined) return Right(openPlan);
  return Left(new Failure('plan_not_found', `plan "${id}" is not open`));
};
