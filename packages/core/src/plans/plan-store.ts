/** Plans in the platform's table: one row each, one open plan a target. */
import { randomUUID } from 'node:crypto';

import { Left, Maybe, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Row, RowKey, Table, Write } from '../table/table.js';

import { isOpen, planSchema } from './plan.js';
import type { Plan } from './plan.js';

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

const toStored = (row: Row): StoredPlan => ({
  plan: planSchema.parse(row.value),
  version: row.version,
});

export class PlanStore {
  readonly #table: Table;

  constructor(table: Table) {
    this.#table = table;
  }

  async open(): Promise<Either<Failure, readonly StoredPlan[]>> {
    const rows = await this.#table.scan(openPartition);
    return rows.map(found => found.map(toStored));
  }

  async ended(): Promise<Either<Failure, readonly Plan[]>> {
    const rows = await this.#table.scan(endedPartition);
    return rows.map(found =>
      found.slice(-listedPlans).map(row => toStored(row).plan),
    );
  }

  async find(target: string): Promise<Either<Failure, Maybe<StoredPlan>>> {
    const key = { partition: openPartition, sort: target };
    const rows = await this.#table.read([key]);
    return rows.map(([row]) => Maybe.fromNullable(row).map(toStored));
  }

  /** Stores a new plan; `plan_conflict` when the target has an open one. */
  async create(plan: Plan): Promise<Either<Failure, StoredPlan>> {
    const committed = await this.#commit([
      {
        kind: 'put',
        key: openKey(plan),
        condition: { kind: 'absent' },
        value: plan,
      },
    ]);
    return committed
      .mapLeft(failure =>
        failure.code === 'condition_failed'
          ? new Failure('plan_conflict', 'another plan covers the target')
          : failure,
      )
      .map(() => ({ plan, version: 1 }));
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
    const writes: Write[] = isOpen(plan)
      ? [{ kind: 'put', key: openKey(plan), condition, value: plan }]
      : [
          { kind: 'delete', key: openKey(plan), condition },
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
    const token = randomUUID();
    const commit = await this.#table.commit({ token, writes: [...writes] });
    return commit.chain(({ kind }) =>
      kind === 'committed'
        ? Right(undefined)
        : Left(new Failure('condition_failed', 'the plan has moved on')),
    );
  }
}
