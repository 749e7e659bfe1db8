/**
 * Directory of instances in the platform's table. Instances use it to find each
 * other when the addresses in their settings are stale, and a new instance uses
 * it to count the instances that share the retry budget.
 */
import {
  addJitter,
  createRandomToken,
  commitWithRetry,
  sleep,
  socketAddressSchema,
} from '@medlarlever/core';
import type { Log, Table } from '@medlarlever/core';
import { z } from 'zod';

const instancesPartition = 'instances';

/**
 * Interval for reading the rows. It can be long, because peers announce new
 * instances sooner; only instances without any known peer depend on the rows.
 */
const refreshIntervalMs = 20_000;
const retryIntervalMs = 2_000;

const instanceRowSchema = z.object({ address: socketAddressSchema });

/** Dependencies and identity for {@link InstanceDirectory}. */
export interface InstanceDirectoryOptions {
  readonly table: Table;
  readonly name: string;
  /** Peer address of this instance. */
  readonly address: string;
  readonly random: () => number;
  readonly log: Log;
}

/** Writes this instance's row and reads the rows of all instances. */
export class InstanceDirectory {
  readonly #options: InstanceDirectoryOptions;
  #addressesByName = new Map<string, string>();
  #readCount = 0;

  constructor(options: InstanceDirectoryOptions) {
    this.#options = options;
  }

  /** Peer addresses of the other instances, as last read. */
  get peerAddresses(): readonly string[] {
    const { name } = this.#options;
    return [...this.#addressesByName]
      .filter(([other]) => other !== name)
      .map(([, address]) => address);
  }

  /** Names of all instances that have ever written their row. */
  get instanceNames(): readonly string[] {
    return [...this.#addressesByName.keys()];
  }

  /** True once the rows were read again, after an interval in which all could be written. */
  get isSettled(): boolean {
    return this.#readCount >= 2;
  }

  /**
   * Writes this instance's row, then reads all rows at intervals until the signal
   * aborts. Failed writes and reads are retried after `retryIntervalMs`. After a
   * restore of the store, which may lack the row, it is written again.
   */
  async run(signal: AbortSignal): Promise<void> {
    const { random, table } = this.#options;
    while (!signal.aborted) {
      // The instances must not all write at once.
      await sleep(random() * retryIntervalMs, signal);
      const eraSignal = AbortSignal.any([signal, table.eras.endSignal]);
      await this.#writeAndRead(eraSignal);
    }
  }

  /** Writes the row once, then reads all rows until the signal aborts. */
  async #writeAndRead(signal: AbortSignal): Promise<void> {
    const { random } = this.#options;
    while (!signal.aborted && !(await this.#writeOwnRow())) {
      await sleep(addJitter(retryIntervalMs, random), signal);
    }
    while (!signal.aborted) {
      const succeeded = await this.#readRows();
      await sleep(
        addJitter(succeeded ? refreshIntervalMs : retryIntervalMs, random),
        signal,
      );
    }
  }

  async #writeOwnRow(): Promise<boolean> {
    const { table, name, address, random, log } = this.#options;
    const result = await commitWithRetry({
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
    return result.isRight();
  }

  async #readRows(): Promise<boolean> {
    const scan = await this.#options.table.scanPartition(instancesPartition);
    return scan
      .map(rows => {
        for (const { sort, value } of rows) this.#applyRow(sort, value);
        this.#readCount += 1;
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
