/** Scheduler that suspends every call of an actor to a shared component and completes one call at a time. */
import {
  computeDigest,
  EraTracker,
  Failure,
  FleetList,
  Table,
} from '@medlarlever/core';
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

/** A call that an actor has made and that has not completed. */
export interface PendingCall {
  readonly actor: string;
  readonly label: string;
  /** Whether the answer can be lost after the call has taken effect. */
  readonly canLoseAnswer: boolean;
  /** Executes the call; then delivers its answer (`answer`), a failure with an unknown outcome (`lose`), or crashes the actor (`crash`). */
  readonly completeCall: (
    outcome: 'answer' | 'lose' | 'crash',
  ) => Promise<void>;
}

const createLostAnswer = () =>
  Left(
    new Failure(
      'platform_unknown',
      'the call was executed but its answer was lost',
      {
        executed: 'unknown',
      },
    ),
  );

/** Holds the pending calls of all actors and the history of the answers that they received. */
export class CallScheduler {
  readonly #pendingCalls: PendingCall[] = [];
  readonly #crashedActors = new Set<string>();
  /** Digest of all answers that each actor has received, in order. */
  readonly #historyDigests = new Map<string, string>();

  get pendingCalls(): readonly PendingCall[] {
    return this.#pendingCalls;
  }

  get crashedActors(): ReadonlySet<string> {
    return this.#crashedActors;
  }

  /** Text that is equal for two schedules in which every actor received the same answers and has the same pending calls. */
  get serializedHistory(): string {
    return JSON.stringify([
      [...this.#historyDigests].sort(([a], [b]) => (a < b ? -1 : 1)),
      this.#pendingCalls.map(({ actor, label }) => [actor, label]).sort(),
      [...this.#crashedActors],
    ]);
  }

  /** Adds a pending call; the promise resolves when the call completes and never if the actor crashes. */
  scheduleCall<T>(
    actor: string,
    label: string,
    run: () => Promise<Either<Failure, T>>,
    canLoseAnswer = false,
  ): Promise<Either<Failure, T>> {
    return new Promise(resolve => {
      if (this.#crashedActors.has(actor)) return;
      const call: PendingCall = {
        actor,
        label,
        canLoseAnswer,
        completeCall: async outcome => {
          this.#pendingCalls.splice(this.#pendingCalls.indexOf(call), 1);
          const answer = await run();
          if (outcome === 'crash') {
            this.crashActor(actor);
            return;
          }
          const deliveredAnswer =
            outcome === 'lose' ? createLostAnswer() : answer;
          this.#recordAnswer(actor, label, deliveredAnswer);
          resolve(deliveredAnswer);
        },
      };
      this.#pendingCalls.push(call);
    });
  }

  /** Stops an actor permanently and drops its pending calls without executing them. */
  crashActor(actor: string): void {
    this.#crashedActors.add(actor);
    for (const call of this.#pendingCalls.filter(
      pending => pending.actor === actor,
    )) {
      this.#pendingCalls.splice(this.#pendingCalls.indexOf(call), 1);
    }
  }

  #recordAnswer(
    actor: string,
    label: string,
    answer: Either<Failure, unknown>,
  ): void {
    const answerText = answer.caseOf({
      Left: failure => failure.code,
      Right: value => JSON.stringify(value),
    });
    const previousDigest = this.#historyDigests.get(actor) ?? '';
    this.#historyDigests.set(
      actor,
      computeDigest(`${previousDigest} ${label}=${answerText}`),
    );
  }
}

/** Changes a transaction before it is committed; tests use it to violate the protocol on purpose. */
export type TransactionAlteration = (transaction: Transaction) => Transaction;

/** The shared table as one actor uses it: every call waits in the scheduler. */
export class ScheduledTable extends Table {
  constructor(
    private readonly scheduler: CallScheduler,
    private readonly actor: string,
    private readonly sharedTable: Table,
    private readonly alterTransaction: TransactionAlteration = transaction =>
      transaction,
    override readonly eras = new EraTracker(),
  ) {
    super();
  }

  override readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const label = `read ${keys.map(key => key.sort).join()}`;
    return this.#scheduleCall(label, () => this.sharedTable.readRows(keys));
  }

  override scanPartition(
    partition: string,
    options?: ScanOptions,
  ): Promise<Either<Failure, readonly Row[]>> {
    return this.#scheduleCall(`scan ${partition}`, () =>
      this.sharedTable.scanPartition(partition, options),
    );
  }

  override commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const label = `commit ${transaction.writes.map(write => `${write.kind} ${write.key.partition}`).join()}`;
    return this.#scheduleCall(
      label,
      () => {
        const altered = this.alterTransaction(transaction);
        return this.sharedTable.commitTransaction(altered);
      },
      true,
    );
  }

  /** Schedules a call; an answer that is not lost also names the table's era. */
  async #scheduleCall<T>(
    label: string,
    run: () => Promise<Either<Failure, T>>,
    canLoseAnswer = false,
  ): Promise<Either<Failure, T>> {
    const answer = await this.scheduler.scheduleCall(
      this.actor,
      label,
      run,
      canLoseAnswer,
    );
    return answer.ifRight(() => {
      this.eras.recordEra(this.sharedTable.eras.currentEra);
    });
  }
}

/** The shared fleet list as one actor uses it: every call waits in the scheduler. */
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

/** The shared engine as one actor uses it, for commands only: every call waits in the scheduler. */
export class ScheduledEngine extends FakeEngine {
  constructor(
    private readonly scheduler: CallScheduler,
    private readonly actor: string,
    private readonly sharedEngine: FakeEngine,
  ) {
    super(sharedEngine.options);
  }

  override sendCommand(
    command: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>> {
    return this.scheduler.scheduleCall(
      this.actor,
      `order ${command.id}`,
      () => this.sharedEngine.sendCommand(command),
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
