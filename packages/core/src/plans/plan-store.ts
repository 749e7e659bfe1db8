/** Plans in the platform's table: one row each, one open plan a target. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import { runCatching } from '../shared/run-catching.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import type { Condition, Row, RowKey, Table, Write } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';

import { isOpenPlan, maintenancePlanSchema } from './maintenance-plan.js';
import type { MaintenancePlan } from './maintenance-plan.js';

const openPartition = 'plans-open';
const endedPartition = 'plans-ended';
const maxListedPlans = 100;

/** A plan with the version of its row. */
export interface StoredPlan {
  readonly plan: MaintenancePlan;
  readonly version: number;
}

/** Open plans are kept by target, which admits one for each target. */
const getOpenPlanRowKey = ({ request }: MaintenancePlan): RowKey => ({
  partition: openPartition,
  sort: request.target,
});

/** Ended plans sort by time, the newest last. */
const getEndedPlanRowKey = ({ id, createdAtMs }: MaintenancePlan): RowKey => ({
  partition: endedPartition,
  sort: `${String(createdAtMs).padStart(16, '0')}-${id}`,
});

/** `null` in the row of a target whose last plan ended: rows are kept. */
const openPlanSchema = maintenancePlanSchema.nullable();

const parseStoredPlans = (row: Row): StoredPlan[] => {
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

  async listOpenPlans(): Promise<Either<Failure, readonly StoredPlan[]>> {
    const rows = await this.#table.scanPartition(openPartition);
    return rows.map(found => found.flatMap(parseStoredPlans));
  }

  async listEndedPlans(): Promise<Either<Failure, readonly MaintenancePlan[]>> {
    const rows = await this.#table.scanPartition(endedPartition);
    return rows.map(found =>
      found
        .slice(-maxListedPlans)
        .map(row => maintenancePlanSchema.parse(row.value)),
    );
  }

  /** Stores a new plan; `plan_conflict` when the target has an open one. */
  createPlan(plan: MaintenancePlan): Promise<Either<Failure, StoredPlan>> {
    const key = getOpenPlanRowKey(plan);
    return runCatching(async unwrap => {
      const [row] = await unwrap(this.#table.readRows([key]));
      if (row !== undefined && parseStoredPlans(row).length > 0)
        throw createPlanConflict();
      const condition: Condition =
        row === undefined
          ? { kind: 'absent' }
          : { kind: 'version', version: row.version };
      const write: Write = { kind: 'put', key, condition, value: plan };
      const outcome = await this.#commitWrites([write]);
      await unwrap(outcome.mapLeft(toPlanConflict));
      return { plan, version: (row?.version ?? 0) + 1 };
    });
  }

  /**
   * Moves a plan on if its row is still as read; `guards` hold in the same
   * transaction. An ended plan leaves its target free.
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
    const committed = await this.#commitWrites([...writes, ...guards]);
    return committed.map(() => ({ plan, version: stored.version + 1 }));
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
        : Left(new Failure('condition_failed', 'the plan has moved on')),
    );
  }
}

const createPlanConflict = () =>
  new Failure('plan_conflict', 'another plan covers the target');

const toPlanConflict = (failure: Failure): Failure =>
  failure.code === 'condition_failed' ? createPlanConflict() : failure;
