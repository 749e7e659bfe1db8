/** Suspends every outside call of the actors and lets one go at a time. */
import { computeDigest, Failure, FleetList, Table } from '@medlarlever/core';
import type {
  CommitResult,
  FleetMember,
  EngineCommand,
  EngineCommandStatus,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
} from '@medlarlever/core';
import { FakeEngine } from '@medlarlever/stand-ins';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

/** A call that an actor made and that has not reached its end. */
export interface PendingCall {
  readonly actor: string;
  readonly label: string;
  /** Whether its answer can be lost after the effect. */
  readonly losable: boolean;
  /** Takes effect and answers, or loses the answer. */
  readonly go: (outcome: 'answer' | 'lose' | 'crash') => Promise<void>;
}

const lostAnswer = () =>
  Left(
    new Failure('platform_unknown', 'the answer was lost', {
      executed: 'unknown',
    }),
  );

export class Scheduler {
  readonly #pending: PendingCall[] = [];
  readonly #crashed = new Set<string>();
  /** Digest of all answers that each actor has got, in order. */
  readonly #histories = new Map<string, string>();

  get pending(): readonly PendingCall[] {
    return this.#pending;
  }

  get crashed(): ReadonlySet<string> {
    return this.#crashed;
  }

  /** Equal texts mean that every actor has seen the same. */
  get history(): string {
    return JSON.stringify([
      [...this.#histories].sort(([a], [b]) => (a < b ? -1 : 1)),
      this.#pending.map(({ actor, label }) => [actor, label]).sort(),
      [...this.#crashed],
    ]);
  }

  call<T>(
    actor: string,
    label: string,
    run: () => Promise<Either<Failure, T>>,
    losable = false,
  ): Promise<Either<Failure, T>> {
    return new Promise(resolve => {
      if (this.#crashed.has(actor)) return;
      const call: PendingCall = {
        actor,
        label,
        losable,
        go: async outcome => {
          this.#pending.splice(this.#pending.indexOf(call), 1);
          const answer = await run();
          if (outcome === 'crash') {
            this.crash(actor);
            return;
          }
          const given = outcome === 'lose' ? lostAnswer() : answer;
          this.#note(actor, label, given);
          resolve(given);
        },
      };
      this.#pending.push(call);
    });
  }

  /** Stops an actor for good; nothing that it had not sent takes effect. */
  crash(actor: string): void {
    this.#crashed.add(actor);
    for (const call of this.#pending.filter(c => c.actor === actor)) {
      this.#pending.splice(this.#pending.indexOf(call), 1);
    }
  }

  #note(actor: string, label: string, answer: Either<Failure, unknown>): void {
    const text = answer.caseOf({
      Left: failure => failure.code,
      Right: value => JSON.stringify(value),
    });
    const earlier = this.#histories.get(actor) ?? '';
    this.#histories.set(actor, computeDigest(`${earlier} ${label}=${text}`));
  }
}

/** Runs before the effect of a commit; broken variants change it here. */
export type Alteration = (transaction: Transaction) => Transaction;

/** An actor's view of the shared table. */
export class ScheduledTable extends Table {
  constructor(
    private readonly scheduler: Scheduler,
    private readonly actor: string,
    private readonly table: Table,
    private readonly alter: Alteration = transaction => transaction,
  ) {
    super();
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const label = `read ${keys.map(key => key.sort).join()}`;
    return this.scheduler.call(this.actor, label, () =>
      this.table.readRows(keys),
    );
  }

  override scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>> {
    return this.scheduler.call(this.actor, `scan ${partition}`, () =>
      this.table.scanPartition(partition, options),
    );
  }

  override commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const sent = this.alter(transaction);
    const label = `commit ${sent.writes.map(write => `${write.kind} ${write.key.partition}`).join()}`;
    return this.scheduler.call(
      this.actor,
      label,
      () => this.table.commitTransaction(sent),
      true,
    );
  }
}

export class ScheduledFleetList extends FleetList {
  constructor(
    private readonly scheduler: Scheduler,
    private readonly actor: string,
    private readonly fleet: FleetList,
  ) {
    super();
  }

  override listMembers(): Promise<Either<Failure, readonly FleetMember[]>> {
    return this.scheduler.call(this.actor, 'fleet', () =>
      this.fleet.listMembers(),
    );
  }
}

/** An actor's connection to the shared engine, for orders only. */
export class ScheduledEngine extends FakeEngine {
  constructor(
    private readonly scheduler: Scheduler,
    private readonly actor: string,
    private readonly shared: FakeEngine,
  ) {
    super(shared.options);
  }

  override sendCommand(
    order: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.scheduler.call(
      this.actor,
      `order ${order.id}`,
      () => this.shared.sendCommand(order),
      true,
    );
  }

  override getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.scheduler.call(this.actor, `status ${id}`, () =>
      this.shared.getCommandStatus(id),
    );
  }
}
