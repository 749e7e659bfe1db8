/** Removes this process from the senders of a command it will not send again. */
import type { Maybe } from 'purify-ts';

import { addJitter, sleep } from '../shared/time.js';
import type { RowVersion } from '../table/row-version.js';
import type { Engine } from '../target/target.js';

import type { CommandRecord } from './command-record.js';
import type { CommandStore } from './command-store.js';
import type { CommandSenderResolver } from './command-senders.js';
import type { KeyedTaskQueue } from './keyed-task-queue.js';

const retryDelayMs = 2_000;

/**
 * After this time the process stays a sender until the fleet list reports it as
 * gone or an operator releases the command.
 */
const withdrawalTimeoutMs = 10 * 60_000;

/** A command that this process recorded, or may have recorded. */
export interface PendingWithdrawal {
  readonly target: string;
  readonly commandId: string;
  /** Version of the row before the command was written. */
  readonly previousRowVersion: RowVersion | undefined;
  /** True if a sent copy of the command may still reach the engine. */
  readonly isUnanswered: boolean;
}

export interface SenderWithdrawalOptions {
  readonly store: CommandStore;
  readonly senders: CommandSenderResolver;
  readonly findEngine: (target: string) => Maybe<Engine>;
  /** Serializes, per target, withdrawals with the commands of this process. */
  readonly taskQueue: KeyedTaskQueue;
  readonly random: () => number;
}

/** Withdraws this process as a sender, in the background. */
export class SenderWithdrawal {
  readonly #options: SenderWithdrawalOptions;
  readonly #stopController = new AbortController();

  constructor(options: SenderWithdrawalOptions) {
    this.#options = options;
  }

  /**
   * Retries until the withdrawal is done, `stop` is called or ten minutes have
   * passed. An attempt can be repeated without further effect.
   */
  async withdrawWithRetry(pending: PendingWithdrawal): Promise<void> {
    const deadlineMs = performance.now() + withdrawalTimeoutMs;
    const { taskQueue } = this.#options;
    const attempt = () =>
      taskQueue.runTask(pending.target, () => this.#tryWithdraw(pending));
    while (performance.now() < deadlineMs && !(await attempt())) {
      const waitMs = addJitter(retryDelayMs, this.#options.random);
      if (!(await sleep(waitMs, this.#stopController.signal))) return;
    }
  }

  stop(): void {
    this.#stopController.abort();
  }

  /** Returns true when no further attempt is needed. */
  async #tryWithdraw(pending: PendingWithdrawal): Promise<boolean> {
    const { store, senders } = this.#options;
    const { version, record } = (
      await store.readCommand(pending.target)
    ).orDefault({
      version: undefined,
      record: undefined,
    });
    if (!mayContainWrite(version, pending)) return false;
    if (record?.order.id !== pending.commandId)
      return isSameEra(version, pending);
    if (!senders.includesSelf(record.senders)) return true;
    if (pending.isUnanswered && !(await this.#isKnownToEngine(record)))
      return false;
    const updatedRecord = {
      ...record,
      senders: senders.removeSelf(record.senders),
    };
    return (await store.writeWithoutLease(version, updatedRecord)).isRight();
  }

  /** True if the engine knows the command id and so ignores a late copy. */
  async #isKnownToEngine(record: CommandRecord): Promise<boolean> {
    if (record.state === 'done' || record.state === 'failed') return true;
    const engine = this.#options.findEngine(record.target).extract();
    if (engine === undefined) return false;
    return (await engine.getCommandStatus(record.order.id)).isRight();
  }
}

/**
 * False while the row is as it was before the command was written. After a
 * restore of the store, versions say nothing about that.
 */
const mayContainWrite = (
  version: RowVersion | undefined,
  { previousRowVersion }: PendingWithdrawal,
): version is RowVersion => {
  if (version === undefined) return false;
  if (previousRowVersion === undefined) return true;
  return (
    version.era !== previousRowVersion.era ||
    version.number > previousRowVersion.number
  );
};

/**
 * True if the store was not restored since the command was written. After a
 * restore, a row without the command may still receive it: the write may arrive
 * late, and its condition may hold again.
 */
const isSameEra = (
  version: RowVersion,
  { previousRowVersion }: PendingWithdrawal,
): boolean =>
  previousRowVersion === undefined || version.era === previousRowVersion.era;
