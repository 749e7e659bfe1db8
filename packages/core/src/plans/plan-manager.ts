/** Takes operators' plans: preview, submit, cancel and look up. */
import { randomUUID } from 'node:crypto';

import { Left, Maybe, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { FleetDirectory } from '../membership/fleet-target-directory.js';
import { Failure } from '../shared/failure.js';

import type { Plan, PlanRequest } from './maintenance-plan.js';
import type { PlanStore, StoredPlan } from './plan-store.js';

const cancellable = new Set<Plan['state']>(['closing', 'waiting', 'closed']);

export interface PlannerOptions {
  readonly store: PlanStore;
  readonly directory: FleetDirectory;
}

export class Planner {
  readonly #store: PlanStore;
  readonly #directory: FleetDirectory;

  constructor({ store, directory }: PlannerOptions) {
    this.#store = store;
    this.#directory = directory;
  }

  /** The plan as it would be made; nothing is stored. */
  preview(request: PlanRequest, author: string): Either<Failure, Plan> {
    return this.#directory
      .member(request.target)
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
        note: this.#warning(request),
      }));
  }

  /** Stores the plan; the target's data centre carries it out. */
  async submit(
    request: PlanRequest,
    author: string,
  ): Promise<Either<Failure, Plan>> {
    const planned = this.preview(request, author);
    if (planned.isLeft()) return planned;
    const stored = await this.#store.create(planned.unsafeCoerce());
    return stored.map(({ plan }) => plan);
  }

  async list(): Promise<Either<Failure, readonly Plan[]>> {
    const [open, ended] = await Promise.all([
      this.#store.open(),
      this.#store.ended(),
    ]);
    return open.chain(found =>
      ended.map(old => [...old, ...found.map(({ plan }) => plan)]),
    );
  }

  async find(id: string): Promise<Either<Failure, Plan>> {
    const plans = await this.list();
    return plans.chain(found =>
      Maybe.fromNullable(found.find(plan => plan.id === id)).toEither(
        new Failure('plan_not_found', `no plan "${id}"`),
      ),
    );
  }

  /** Opens the target again; an order that was sent runs to its end. */
  async cancel(id: string): Promise<Either<Failure, Plan>> {
    const open = await this.#store.open();
    const stored = open.chain(found => findOpen(found, id));
    if (stored.isLeft()) return Left(stored.extract());
    const { plan } = stored.unsafeCoerce();
    if (!cancellable.has(plan.state)) {
      const reason = `plan "${id}" is ${plan.state} and runs to its end`;
      return Left(new Failure('plan_conflict', reason));
    }
    const change = { state: 'cancelling' as const, waitingOn: [] };
    const changed = await this.#store.change(stored.unsafeCoerce(), change, []);
    return changed.map(moved => moved.plan);
  }

  #warning({ kind, target }: PlanRequest): string {
    const open = this.#directory
      .engines()
      .filter(entry => !entry.leaving && entry.target.name !== target);
    const isEngine = this.#directory
      .engines()
      .some(entry => entry.target.name === target);
    if (!isEngine || open.some(({ local }) => local)) return '';
    return `${kind}: no other engine takes work in this data centre`;
  }
}

const findOpen = (
  plans: readonly StoredPlan[],
  id: string,
): Either<Failure, StoredPlan> => {
  const found = plans.find(({ plan }) => plan.id === id);
  if (found !== undefined) return Right(found);
  return Left(new Failure('plan_not_found', `no open plan "${id}"`));
};
