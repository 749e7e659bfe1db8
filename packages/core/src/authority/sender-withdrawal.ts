/** Removes this process from the senders of a command it will not send again. */
import type { Maybe } from 'purify-ts';

import { addJitter, sleep } from '../shared/time.js';
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
  readonly previousRowVersion: number;
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
      version: 0,
      record: undefined,
    });
    if (version <= pending.previousRowVersion) return false;
    if (record?.order.id !== pending.commandId) return true;
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
