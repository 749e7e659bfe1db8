/**
 * Keeps in the platform's table what is refused because it crashes targets. Instances tell
 * each other of it, but if all start anew, none of them knows it any more.
 */
import {
  addJitter,
  commitWithRetry,
  createRandomToken,
  sleep,
} from '@medlarlever/core';
import type { Log, Table, Write } from '@medlarlever/core';

import { logFailedStep } from '../shared/guarded-step.js';

import type { PromptQuarantine } from './prompt-quarantine.js';
import { ageRefusal, savedRefusalSchema } from './refusal.js';
import type { Refusal } from './refusal.js';
import { decodeRequestCrash } from './request-crash.js';
import type { RequestQuarantine } from './request-quarantine.js';

const partition = 'refusals';

/** Time between two looks at what is refused. */
const saveIntervalMs = 1_000;
const retryIntervalMs = 2_000;

/** Rows that are written or removed at a time, the most that a transaction takes. */
const maxWrites = 25;

/** Dependencies of {@link RefusalArchive}. */
export interface RefusalArchiveOptions {
  readonly table: Table;
  readonly requests: RequestQuarantine;
  readonly promptQuarantine: PromptQuarantine;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
  readonly log: Log;
}

/** Reads the refusals at the start, and writes those that this instance helped to find. */
export class RefusalArchive {
  /** Keys of the rows that this instance has read or written. */
  readonly #savedKeys = new Set<string>();
  #era: number | undefined;

  constructor(private readonly options: RefusalArchiveOptions) {}

  /** Reads all rows, then writes and removes rows until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { random, log } = this.options;
    while (!signal.aborted && !(await this.#readRows()))
      await sleep(addJitter(retryIntervalMs, random), signal);
    while (!signal.aborted) {
      await this.#saveChanges().catch((error: unknown) => {
        logFailedStep(log, 'refusals', error);
      });
      await sleep(addJitter(saveIntervalMs, random), signal);
    }
  }

  async #readRows(): Promise<boolean> {
    const scan = await this.options.table.scanPartition(partition);
    return scan
      .map(rows => {
        for (const { sort, value } of rows) this.#applyRow(sort, value);
        this.options.log.writeEvent('refusals_read', { rows: rows.length });
        return true;
      })
      .orDefault(false);
  }

  #applyRow(key: string, value: unknown): void {
    const row = savedRefusalSchema.safeParse(value);
    if (!row.success) {
      const reason = row.error.message;
      this.options.log.writeEvent('row_unreadable', { row: key, reason });
      return;
    }
    const { requests, promptQuarantine } = this.options;
    const { requestCrashes, targetCrashes } = ageRefusal(row.data);
    this.#savedKeys.add(key);
    requests.apply(requestCrashes.map(decodeRequestCrash), []);
    promptQuarantine.apply({
      crashes: targetCrashes,
      answers: [],
      refuted: [],
    });
  }

  async #saveChanges(): Promise<void> {
    const { requests, promptQuarantine } = this.options;
    const refusals = [
      ...requests.listRefusals(),
      ...promptQuarantine.listRefusals(),
    ];
    this.#forgetRowsAfterRestore(refusals);
    const writes = [
      ...this.#listUnsaved(refusals).map(createPut),
      ...this.#listEndedKeys(refusals).map(createDelete),
    ].slice(0, maxWrites);
    if (writes.length > 0) await this.#commit(writes);
  }

  /** A restored store may lack the rows, so those of this instance are written again. */
  #forgetRowsAfterRestore(refusals: readonly Refusal[]): void {
    const { currentEra } = this.options.table.eras;
    if (currentEra === this.#era) return;
    this.#era = currentEra;
    for (const { key, isOwn } of refusals)
      if (isOwn) this.#savedKeys.delete(key);
  }

  #listUnsaved(refusals: readonly Refusal[]): Refusal[] {
    return refusals.filter(
      ({ key, isOwn }) => isOwn && !this.#savedKeys.has(key),
    );
  }

  /** Keys of rows whose refusals have ended. */
  #listEndedKeys(refusals: readonly Refusal[]): string[] {
    const knownKeys = new Set(refusals.map(({ key }) => key));
    return [...this.#savedKeys].filter(key => !knownKeys.has(key));
  }

  async #commit(writes: Write[]): Promise<void> {
    const { table, random, log } = this.options;
    const result = await commitWithRetry({
      table,
      random,
      log,
      retryTimeoutMs: retryIntervalMs,
      transaction: { token: createRandomToken(random), writes },
    });
    if (result.isLeft()) return;
    for (const { kind, key } of writes) {
      if (kind === 'put') this.#savedKeys.add(key.sort);
      else this.#savedKeys.delete(key.sort);
    }
  }
}

const createPut = ({ key, requestCrashes, targetCrashes }: Refusal): Write => ({
  kind: 'put',
  key: { partition, sort: key },
  condition: { kind: 'any' },
  value: { savedAtMs: Date.now(), requestCrashes, targetCrashes },
});

const createDelete = (key: string): Write => ({
  kind: 'delete',
  key: { partition, sort: key },
  condition: { kind: 'any' },
});
