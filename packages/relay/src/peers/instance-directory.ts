/**
 * Rows by which instances find each other when the addresses of their settings
 * are stale, and by which a new one knows how many share the retry budget.
 */
import { jittered, randomToken, settle, sleep } from '@medlarlever/core';
import type { Log, Table } from '@medlarlever/core';
import { z } from 'zod';

const partition = 'instances';

/** Peers tell of newcomers sooner; the rows are for those that know nobody. */
const periodMs = 20_000;
const retryMs = 2_000;

const rowSchema = z.object({ address: z.string().min(1) });

export interface InstanceRowsOptions {
  readonly table: Table;
  readonly name: string;
  /** Peer address of this instance. */
  readonly address: string;
  readonly random: () => number;
  readonly log: Log;
}

export class InstanceRows {
  readonly #options: InstanceRowsOptions;
  #addresses = new Map<string, string>();

  constructor(options: InstanceRowsOptions) {
    this.#options = options;
  }

  /** Peer addresses of the other instances. */
  get contacts(): readonly string[] {
    const { name } = this.#options;
    return [...this.#addresses]
      .filter(([other]) => other !== name)
      .map(([, address]) => address);
  }

  /** Names of all instances that ever wrote their row. */
  get names(): readonly string[] {
    return [...this.#addresses.keys()];
  }

  /** Writes the own row, then reads all from time to time. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    await sleep(random() * retryMs, signal);
    while (!signal.aborted && !(await this.#write())) {
      await sleep(jittered(retryMs, random), signal);
    }
    while (!signal.aborted) {
      const read = await this.#read();
      await sleep(jittered(read ? periodMs : retryMs, random), signal);
    }
  }

  async #write(): Promise<boolean> {
    const { table, name, address, random, log } = this.#options;
    const commit = await settle({
      table,
      random,
      log,
      patienceMs: retryMs,
      transaction: {
        token: randomToken(random),
        writes: [
          {
            kind: 'put',
            key: { partition, sort: name },
            condition: { kind: 'any' },
            value: { address },
          },
        ],
      },
    });
    return commit.isRight();
  }

  async #read(): Promise<boolean> {
    const rows = await this.#options.table.scan(partition);
    return rows
      .map(found => {
        for (const { sort, value } of found) this.#take(sort, value);
        return true;
      })
      .orDefault(false);
  }

  #take(name: string, value: unknown): void {
    const row = rowSchema.safeParse(value);
    if (row.success) {
      this.#addresses.set(name, row.data.address);
      return;
    }
    const reason = row.error.message;
    this.#options.log.event('row_unreadable', { row: name, reason });
  }
}
