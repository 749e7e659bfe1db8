/** Takes operators' plans: preview, submit, cancel and look up. */
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

const cancellableStates = new Set<MaintenancePlan['state']>([
  'closing',
  'waiting',
  'closed',
]);

export interface PlanManagerOptions {
  readonly store: PlanStore;
  readonly directory: FleetTargetDirectory;
}

export class PlanManager {
  readonly #store: PlanStore;
  readonly #directory: FleetTargetDirectory;

  constructor({ store, directory }: PlanManagerOptions) {
    this.#store = store;
    this.#directory = directory;
  }

  /** The plan as it would be made; nothing is stored. */
  previewPlan(
    request: MaintenancePlanRequest,
    author: string,
  ): Either<Failure, MaintenancePlan> {
    return this.#directory
      .findMember(request.target)
      .toEither(new Failure('unknown_target', `no target "${request.target}"`))
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

  /** Stores the plan; the target's data centre carries it out. */
  async submitPlan(
    request: MaintenancePlanRequest,
    author: string,
  ): Promise<Either<Failure, MaintenancePlan>> {
    const planned = this.previewPlan(request, author);
    if (planned.isLeft()) return planned;
    const stored = await this.#store.createPlan(planned.unsafeCoerce());
    return stored.map(({ plan }) => plan);
  }

  async listPlans(): Promise<Either<Failure, readonly MaintenancePlan[]>> {
    const [open, ended] = await Promise.all([
      this.#store.listOpenPlans(),
      this.#store.listEndedPlans(),
    ]);
    return open.chain(found =>
      ended.map(old => [...old, ...found.map(({ plan }) => plan)]),
    );
  }

  async findPlan(id: string): Promise<Either<Failure, MaintenancePlan>> {
    const plans = await this.listPlans();
    return plans.chain(found =>
      Maybe.fromNullable(found.find(plan => plan.id === id)).toEither(
        new Failure('plan_not_found', `no plan "${id}"`),
      ),
    );
  }

  /** Opens the target again; an order that was sent runs to its end. */
  async cancelPlan(id: string): Promise<Either<Failure, MaintenancePlan>> {
    const open = await this.#store.listOpenPlans();
    const stored = open.chain(found => findOpenPlan(found, id));
    if (stored.isLeft()) return Left(stored.extract());
    const { plan } = stored.unsafeCoerce();
    if (!cancellableStates.has(plan.state)) {
      const reason = `plan "${id}" is ${plan.state} and runs to its end`;
      return Left(new Failure('plan_conflict', reason));
    }
    const change = { state: 'cancelling' as const, waitingOn: [] };
    const changed = await this.#store.updatePlan(
      stored.unsafeCoerce(),
      change,
      [],
    );
    return changed.map(moved => moved.plan);
  }

  #createWarning({ kind, target }: MaintenancePlanRequest): string {
    const open = this.#directory
      .listEngines()
      .filter(entry => !entry.isLeaving && entry.target.name !== target);
    const isEngine = this.#directory
      .listEngines()
      .some(entry => entry.target.name === target);
    if (!isEngine || open.some(({ isLocal: local }) => local)) return '';
    return `${kind}: no other engine takes work in this data centre`;
  }
}

const findOpenPlan = (
  plans: readonly StoredPlan[],
  id: string,
): Either<Failure, StoredPlan> => {
  const found = plans.find(({ plan }) => plan.id === id);
  if (found !== undefined) return Right(found);
  return Left(new Failure('plan_not_found', `no open plan "${id}"`));
};
