/** Takes this process out of an order's senders when it can send no more. */
import type { Maybe } from 'purify-ts';

import { addJitter, sleep } from '../shared/time.js';
import type { Engine } from '../target/target.js';

import type { CommandRecord } from './command-record.js';
import type { CommandStore } from './command-store.js';
import type { CommandSenders } from './command-senders.js';
import type { KeyedTaskQueue } from './keyed-task-queue.js';

const retryDelayMs = 2_000;

/** Afterwards the order waits for its successor's or an operator's release. */
const withdrawalTimeoutMs = 10 * 60_000;

/** An order that this process wrote, or may have written. */
export interface PendingWithdrawal {
  readonly target: string;
  readonly commandId: string;
  /** Version of the row that the order was written over. */
  readonly previousRowVersion: number;
  /** True while a copy of the order may be on its way to the engine. */
  readonly isUnanswered: boolean;
}

export interface SenderWithdrawalOptions {
  readonly store: CommandStore;
  readonly senders: CommandSenders;
  readonly findEngine: (target: string) => Maybe<Engine>;
  /** Keeps apart from this process's own work on the target's order. */
  readonly taskQueue: KeyedTaskQueue;
  readonly random: () => number;
}

export class SenderWithdrawal {
  readonly #options: SenderWithdrawalOptions;
  readonly #stopping = new AbortController();

  constructor(options: SenderWithdrawalOptions) {
    this.#options = options;
  }

  /** Tries until it is done; each try is harmless. */
  async withdrawWithRetry(pending: PendingWithdrawal): Promise<void> {
    const endMs = performance.now() + withdrawalTimeoutMs;
    const { taskQueue: serial } = this.#options;
    const attempt = () =>
      serial.runTask(pending.target, () => this.#tryWithdraw(pending));
    while (performance.now() < endMs && !(await attempt())) {
      const waitMs = addJitter(retryDelayMs, this.#options.random);
      if (!(await sleep(waitMs, this.#stopping.signal))) return;
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  async #tryWithdraw(pending: PendingWithdrawal): Promise<boolean> {
    const { store: rows, senders } = this.#options;
    const { version, record } = (
      await rows.readCommand(pending.target)
    ).orDefault({
      version: 0,
      record: undefined,
    });
    if (version <= pending.previousRowVersion) return false;
    if (record?.order.id !== pending.commandId) return true;
    if (!senders.includesSelf(record.senders)) return true;
    if (pending.isUnanswered && !(await this.#isKnownToEngine(record)))
      return false;
    const next = { ...record, senders: senders.removeSelf(record.senders) };
    return (await rows.writeWithoutLease(version, next)).isRight();
  }

  /** An engine that knows the id ignores a copy that arrives late. */
  async #isKnownToEngine(record: CommandRecord): Promise<boolean> {
    if (record.state === 'done' || record.state === 'failed') return true;
    const engine = this.#options.findEngine(record.target).extract();
    if (engine === undefined) return false;
    return (await engine.getCommandStatus(record.order.id)).isRight();
  }
}
