/** Stores plans in the platform's table, with one open plan per target. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import { runCatching } from '../shared/run-catching.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import {
  createNextVersion,
  createWrittenVersion,
} from '../table/row-version.js';
import type { RowVersion } from '../table/row-version.js';
import { createUnchangedCondition } from '../table/table.js';
import type { Row, RowKey, Table, Write } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';

import { isOpenPlan, maintenancePlanSchema } from './maintenance-plan.js';
import type { MaintenancePlan } from './maintenance-plan.js';

const openPartition = 'plans-open';
const endedPartition = 'plans-ended';
/** Maximum number of ended plans that are listed, the newest ones. */
const maxListedPlans = 100;

/** A plan with the version of its row. */
export interface StoredPlan {
  readonly plan: MaintenancePlan;
  readonly version: RowVersion;
}

/** Key by target, which limits each target to one open plan. */
const getOpenPlanRowKey = ({ request }: MaintenancePlan): RowKey => ({
  partition: openPartition,
  sort: request.target,
});

/** Key that sorts ended plans by creation time, the oldest first. */
const getEndedPlanRowKey = ({ id, createdAtMs }: MaintenancePlan): RowKey => ({
  partition: endedPartition,
  sort: `${String(createdAtMs).padStart(16, '0')}-${id}`,
});

/** The row of a target is kept with the value `null` when its plan ends. */
const openPlanSchema = maintenancePlanSchema.nullable();

const parseStoredPlans = (row: Row): StoredPlan[] => {
  const plan = openPlanSchema.parse(row.value);
  return plan === null ? [] : [{ plan, version: row.version }];
};

export interface PlanStoreOptions {
  readonly table: Table;
  readonly random: () => number;
}

/** Reads and conditionally writes the rows of plans. */
export class PlanStore {
  readonly #options: PlanStoreOptions;
  readonly #table: Table;

  constructor(options: PlanStoreOptions) {
    this.#options = options;
    this.#table = options.table;
  }

  async listOpenPlans(): Promise<Either<Failure, readonly StoredPlan[]>> {
    const rows = await this.#table.scanPartition(openPartition);
    return rows.map(planRows => planRows.flatMap(parseStoredPlans));
  }

  async listEndedPlans(): Promise<Either<Failure, readonly MaintenancePlan[]>> {
    const rows = await this.#table.scanPartition(endedPartition);
    return rows.map(planRows =>
      planRows
        .slice(-maxListedPlans)
        .map(row => maintenancePlanSchema.parse(row.value)),
    );
  }

  /** Stores a new plan; fails with `plan_conflict` if its target has one open. */
  createPlan(plan: MaintenancePlan): Promise<Either<Failure, StoredPlan>> {
    const key = getOpenPlanRowKey(plan);
    return runCatching(async unwrap => {
      const [row] = await unwrap(this.#table.readRows([key]));
      if (row !== undefined && parseStoredPlans(row).length > 0)
        throw createPlanConflict();
      const condition = createUnchangedCondition(row?.version);
      const write: Write = { kind: 'put', key, condition, value: plan };
      const { currentEra } = this.#table.eras;
      const outcome = await this.#commitWrites([write]);
      await unwrap(outcome.mapLeft(toPlanConflict));
      return { plan, version: createWrittenVersion(row?.version, currentEra) };
    });
  }

  /**
   * Changes a plan if its row is still at the version that was read. The
   * transaction includes `guards` and fails if one of their conditions fails.
   * A plan that ends moves to the partition of ended plans.
   */
  async updatePlan(
    stored: StoredPlan,
    change: Partial<Pick<MaintenancePlan, 'state' | 'waitingOn' | 'note'>>,
    guards: readonly Write[],
  ): Promise<Either<Failure, StoredPlan>> {
    const plan = { ...stored.plan, ...change, changedAtMs: Date.now() };
    const condition = { kind: 'version', version: stored.version } as const;
    const key = getOpenPlanRowKey(plan);
    const writes: Write[] = isOpenPlan(plan)
      ? [{ kind: 'put', key, condition, value: plan }]
      : [
          { kind: 'put', key, condition, value: null },
          {
            kind: 'put',
            key: getEndedPlanRowKey(plan),
            condition: { kind: 'any' },
            value: plan,
          },
        ];
    const commitResult = await this.#commitWrites([...writes, ...guards]);
    return commitResult.map(() => ({
      plan,
      version: createNextVersion(stored.version),
    }));
  }

  async #commitWrites(
    writes: readonly Write[],
  ): Promise<Either<Failure, void>> {
    const { table, random } = this.#options;
    const transaction = {
      token: createRandomToken(random),
      writes: [...writes],
    };
    const commit = await commitWithRetry({ table, transaction, random });
    return commit.chain(({ kind }) =>
      kind === 'committed'
        ? Right(undefined)
        : Left(
            new Failure(
              'condition_failed',
              'the plan was changed by another instance; read it again',
            ),
          ),
    );
  }
}

const createPlanConflict = () =>
  new Failure('plan_conflict', 'the target has another open plan');

const toPlanConflict = (failure: Failure): Failure =>
  failure.code === 'condition_failed' ? createPlanConflict() : failure;
