/**
 * Rows by which instances find each other when the addresses of their settings
 * are stale, and by which a new one knows how many share the retry budget.
 */
import {
  addJitter,
  createRandomToken,
  commitWithRetry,
  sleep,
} from '@medlarlever/core';
import type { Log, Table } from '@medlarlever/core';
import { z } from 'zod';

const instancesPartition = 'instances';

/** Peers tell of newcomers sooner; the rows are for those that know nobody. */
const refreshIntervalMs = 20_000;
const retryIntervalMs = 2_000;

const instanceRowSchema = z.object({ address: z.string().min(1) });

export interface InstanceDirectoryOptions {
  readonly table: Table;
  readonly name: string;
  /** Peer address of this instance. */
  readonly address: string;
  readonly random: () => number;
  readonly log: Log;
}

export class InstanceDirectory {
  readonly #options: InstanceDirectoryOptions;
  #addressesByName = new Map<string, string>();

  constructor(options: InstanceDirectoryOptions) {
    this.#options = options;
  }

  /** Peer addresses of the other instances. */
  get peerAddresses(): readonly string[] {
    const { name } = this.#options;
    return [...this.#addressesByName]
      .filter(([other]) => other !== name)
      .map(([, address]) => address);
  }

  /** Names of all instances that ever wrote their row. */
  get instanceNames(): readonly string[] {
    return [...this.#addressesByName.keys()];
  }

  /** Writes the own row, then reads all from time to time. */
  async run(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    await sleep(random() * retryIntervalMs, signal);
    while (!signal.aborted && !(await this.#writeOwnRow())) {
      await sleep(addJitter(retryIntervalMs, random), signal);
    }
    while (!signal.aborted) {
      const read = await this.#readRows();
      await sleep(
        addJitter(read ? refreshIntervalMs : retryIntervalMs, random),
        signal,
      );
    }
  }

  async #writeOwnRow(): Promise<boolean> {
    const { table, name, address, random, log } = this.#options;
    const commit = await commitWithRetry({
      table,
      random,
      log,
      retryTimeoutMs: retryIntervalMs,
      transaction: {
        token: createRandomToken(random),
        writes: [
          {
            kind: 'put',
            key: { partition: instancesPartition, sort: name },
            condition: { kind: 'any' },
            value: { address },
          },
        ],
      },
    });
    return commit.isRight();
  }

  async #readRows(): Promise<boolean> {
    const rows = await this.#options.table.scanPartition(instancesPartition);
    return rows
      .map(found => {
        for (const { sort, value } of found) this.#applyRow(sort, value);
        return true;
      })
      .orDefault(false);
  }

  #applyRow(name: string, value: unknown): void {
    const row = instanceRowSchema.safeParse(value);
    if (row.success) {
      this.#addressesByName.set(name, row.data.address);
      return;
    }
    const reason = row.error.message;
    this.#options.log.writeEvent('row_unreadable', { row: name, reason });
  }
}
