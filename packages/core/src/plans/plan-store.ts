/** Plans in the platform's table: one row each, one open plan a target. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import { runSteps } from '../shared/run-catching.js';
import { settle } from '../table/commit-with-retry.js';
import type { Condition, Row, RowKey, Table, Write } from '../table/table.js';
import { randomToken } from '../table/random-token.js';

import { isOpen, planSchema } from './maintenance-plan.js';
import type { Plan } from './maintenance-plan.js';

const openPartition = 'plans-open';
const endedPartition = 'plans-ended';
const listedPlans = 100;

/** A plan with the version of its row. */
export interface StoredPlan {
  readonly plan: Plan;
  readonly version: number;
}

/** Open plans are kept by target, which admits one for each target. */
const openKey = ({ request }: Plan): RowKey => ({
  partition: openPartition,
  sort: request.target,
});

/** Ended plans sort by time, the newest last. */
const endedKey = ({ id, createdAtMs }: Plan): RowKey => ({
  partition: endedPartition,
  sort: `${String(createdAtMs).padStart(16, '0')}-${id}`,
});

/** `null` in the row of a target whose last plan ended: rows are kept. */
const openPlanSchema = planSchema.nullable();

const toStored = (row: Row): StoredPlan[] => {
  const plan = openPlanSchema.parse(row.value);
  return plan === null ? [] : [{ plan, version: row.version }];
};

export interface PlanStoreOptions {
  readonly table: Table;
  readonly random: () => number;
}

export class PlanStore {
  readonly #options: PlanStoreOptions;
  readonly #table: Table;

  constructor(options: PlanStoreOptions) {
    this.#options = options;
    this.#table = options.table;
  }

  async open(): Promise<Either<Failure, readonly StoredPlan[]>> {
    const rows = await this.#table.scan(openPartition);
    return rows.map(found => found.flatMap(toStored));
  }

  async ended(): Promise<Either<Failure, readonly Plan[]>> {
    const rows = await this.#table.scan(endedPartition);
    return rows.map(found =>
      found.slice(-listedPlans).map(row => planSchema.parse(row.value)),
    );
  }

  /** Stores a new plan; `plan_conflict` when the target has an open one. */
  create(plan: Plan): Promise<Either<Failure, StoredPlan>> {
    const key = openKey(plan);
    return runSteps(async unwrap => {
      const [row] = await unwrap(this.#table.read([key]));
      if (row !== undefined && toStored(row).length > 0) throw conflict();
      const condition: Condition =
        row === undefined
          ? { kind: 'absent' }
          : { kind: 'version', version: row.version };
      const write: Write = { kind: 'put', key, condition, value: plan };
      const outcome = await this.#commit([write]);
      await unwrap(outcome.mapLeft(asPlanConflict));
      return { plan, version: (row?.version ?? 0) + 1 };
    });
  }

  /**
   * Moves a plan on if its row is still as read; `guards` hold in the same
   * transaction. An ended plan leaves its target free.
   */
  async change(
    stored: StoredPlan,
    change: Partial<Pick<Plan, 'state' | 'waitingOn' | 'note'>>,
    guards: readonly Write[],
  ): Promise<Either<Failure, StoredPlan>> {
    const plan = { ...stored.plan, ...change, changedAtMs: Date.now() };
    const condition = { kind: 'version', version: stored.version } as const;
    const key = openKey(plan);
    const writes: Write[] = isOpen(plan)
      ? [{ kind: 'put', key, condition, value: plan }]
      : [
          { kind: 'put', key, condition, value: null },
          {
            kind: 'put',
            key: endedKey(plan),
            condition: { kind: 'any' },
            value: plan,
          },
        ];
    const committed = await this.#commit([...writes, ...guards]);
    return committed.map(() => ({ plan, version: stored.version + 1 }));
  }

  async #commit(writes: readonly Write[]): Promise<Either<Failure, void>> {
    const { table, random } = this.#options;
    const transaction = { token: randomToken(random), writes: [...writes] };
    const commit = await settle({ table, transaction, random });
    return commit.chain(({ kind }) =>
      kind === 'committed'
        ? Right(undefined)
        : Left(new Failure('condition_failed', 'the plan has moved on')),
    );
  }
}

const conflict = () =>
  new Failure('plan_conflict', 'another plan covers the target');

const asPlanConflict = (failure: Failure): Failure =>
  failure.code === 'condition_failed' ? conflict() : failure;
