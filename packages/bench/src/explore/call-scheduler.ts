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
  readonly canLoseAnswer: boolean;
  /** Takes effect and answers, or loses the answer. */
  readonly completeCall: (
    outcome: 'answer' | 'lose' | 'crash',
  ) => Promise<void>;
}

const createLostAnswer = () =>
  Left(
    new Failure('platform_unknown', 'the answer was lost', {
      executed: 'unknown',
    }),
  );

export class CallScheduler {
  readonly #pendingCalls: PendingCall[] = [];
  readonly #crashedActors = new Set<string>();
  /** Digest of all answers that each actor has got, in order. */
  readonly #historyDigests = new Map<string, string>();

  get pendingCalls(): readonly PendingCall[] {
    return this.#pendingCalls;
  }

  get crashedActors(): ReadonlySet<string> {
    return this.#crashedActors;
  }

  /** Equal texts mean that every actor has seen the same. */
  get serializedHistory(): string {
    return JSON.stringify([
      [...this.#historyDigests].sort(([a], [b]) => (a < b ? -1 : 1)),
      this.#pendingCalls.map(({ actor, label }) => [actor, label]).sort(),
      [...this.#crashedActors],
    ]);
  }

  scheduleCall<T>(
    actor: string,
    label: string,
    run: () => Promise<Either<Failure, T>>,
    losable = false,
  ): Promise<Either<Failure, T>> {
    return new Promise(resolve => {
      if (this.#crashedActors.has(actor)) return;
      const call: PendingCall = {
        actor,
        label,
        canLoseAnswer: losable,
        completeCall: async outcome => {
          this.#pendingCalls.splice(this.#pendingCalls.indexOf(call), 1);
          const answer = await run();
          if (outcome === 'crash') {
            this.crashActor(actor);
            return;
          }
          const given = outcome === 'lose' ? createLostAnswer() : answer;
          this.#recordAnswer(actor, label, given);
          resolve(given);
        },
      };
      this.#pendingCalls.push(call);
    });
  }

  /** Stops an actor for good; nothing that it had not sent takes effect. */
  crashActor(actor: string): void {
    this.#crashedActors.add(actor);
    for (const call of this.#pendingCalls.filter(c => c.actor === actor)) {
      this.#pendingCalls.splice(this.#pendingCalls.indexOf(call), 1);
    }
  }

  #recordAnswer(
    actor: string,
    label: string,
    answer: Either<Failure, unknown>,
  ): void {
    const text = answer.caseOf({
      Left: failure => failure.code,
      Right: value => JSON.stringify(value),
    });
    const earlier = this.#historyDigests.get(actor) ?? '';
    this.#historyDigests.set(
      actor,
      computeDigest(`${earlier} ${label}=${text}`),
    );
  }
}

/** Runs before the effect of a commit; broken variants change it here. */
export type TransactionAlteration = (transaction: Transaction) => Transaction;

/** An actor's view of the shared table. */
export class ScheduledTable extends Table {
  constructor(
    private readonly scheduler: CallScheduler,
    private readonly actor: string,
    private readonly sharedTable: Table,
    private readonly alterTransaction: TransactionAlteration = transaction =>
      transaction,
  ) {
    super();
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const label = `read ${keys.map(key => key.sort).join()}`;
    return this.scheduler.scheduleCall(this.actor, label, () =>
      this.sharedTable.readRows(keys),
    );
  }

  override scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>> {
    return this.scheduler.scheduleCall(this.actor, `scan ${partition}`, () =>
      this.sharedTable.scanPartition(partition, options),
    );
  }

  override commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const sent = this.alterTransaction(transaction);
    const label = `commit ${sent.writes.map(write => `${write.kind} ${write.key.partition}`).join()}`;
    return this.scheduler.scheduleCall(
      this.actor,
      label,
      () => this.sharedTable.commitTransaction(sent),
      true,
    );
  }
}

export class ScheduledFleetList extends FleetList {
  constructor(
    private readonly scheduler: CallScheduler,
    private readonly actor: string,
    private readonly sharedFleetList: FleetList,
  ) {
    super();
  }

  override listMembers(): Promise<Either<Failure, readonly FleetMember[]>> {
    return this.scheduler.scheduleCall(this.actor, 'fleet', () =>
      this.sharedFleetList.listMembers(),
    );
  }
}

/** An actor's connection to the shared engine, for orders only. */
export class ScheduledEngine extends FakeEngine {
  constructor(
    private readonly scheduler: CallScheduler,
    private readonly actor: string,
    private readonly sharedEngine: FakeEngine,
  ) {
    super(sharedEngine.options);
  }

  override sendCommand(
    order: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.scheduler.scheduleCall(
      this.actor,
      `order ${order.id}`,
      () => this.sharedEngine.sendCommand(order),
      true,
    );
  }

  override getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.scheduler.scheduleCall(this.actor, `status ${id}`, () =>
      this.sharedEngine.getCommandStatus(id),
    );
  }
}
