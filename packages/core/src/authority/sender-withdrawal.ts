/** Takes this process out of an order's senders when it can send no more. */
import type { Maybe } from 'purify-ts';

import { jittered, sleep } from '../shared/time.js';
import type { Engine } from '../target/target.js';

import type { OrderRecord } from './command-record.js';
import type { OrderRows } from './command-store.js';
import type { OrderSenders } from './command-senders.js';
import type { SerialTasks } from './keyed-task-queue.js';

const pauseMs = 2_000;

/** Afterwards the order waits for its successor's or an operator's release. */
const givenUpAfterMs = 10 * 60_000;

/** An order that this process wrote, or may have written. */
export interface PendingOrder {
  readonly target: string;
  readonly orderId: string;
  /** Version of the row that the order was written over. */
  readonly baseVersion: number;
  /** True while a copy of the order may be on its way to the engine. */
  readonly unanswered: boolean;
}

export interface OrderWithdrawalOptions {
  readonly rows: OrderRows;
  readonly senders: OrderSenders;
  readonly engine: (target: string) => Maybe<Engine>;
  /** Keeps apart from this process's own work on the target's order. */
  readonly serial: SerialTasks;
  readonly random: () => number;
}

export class OrderWithdrawal {
  readonly #options: OrderWithdrawalOptions;
  readonly #stopping = new AbortController();

  constructor(options: OrderWithdrawalOptions) {
    this.#options = options;
  }

  /** Tries until it is done; each try is harmless. */
  async run(pending: PendingOrder): Promise<void> {
    const endMs = performance.now() + givenUpAfterMs;
    const { serial } = this.#options;
    const attempt = () => serial.run(pending.target, () => this.#done(pending));
    while (performance.now() < endMs && !(await attempt())) {
      const waitMs = jittered(pauseMs, this.#options.random);
      if (!(await sleep(waitMs, this.#stopping.signal))) return;
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  async #done(pending: PendingOrder): Promise<boolean> {
    const { rows, senders } = this.#options;
    const { version, record } = (await rows.read(pending.target)).orDefault({
      version: 0,
      record: undefined,
    });
    if (version <= pending.baseVersion) return false;
    if (record?.order.id !== pending.orderId) return true;
    if (!senders.includesSelf(record.senders)) return true;
    if (pending.unanswered && !(await this.#isKnown(record))) return false;
    const next = { ...record, senders: senders.others(record.senders) };
    return (await rows.writeUnguarded(version, next)).isRight();
  }

  /** An engine that knows the id ignores a copy that arrives late. */
  async #isKnown(record: OrderRecord): Promise<boolean> {
    if (record.state === 'done' || record.state === 'failed') return true;
    const engine = this.#options.engine(record.target).extract();
    if (engine === undefined) return false;
    return (await engine.orderStatus(record.order.id)).isRight();
  }
}
