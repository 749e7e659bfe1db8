/** Asks engines what they keep when a restart has lost what was known. */
import { sleep } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { TargetClient } from '../relay/target-client.js';

import type { TargetBook } from './target-registry.js';
import type { TargetRecord } from './target-record.js';

/** Instances that start together do not ask an engine at the same moment. */
const spreadMs = 400;

/** Engines that register later than this after the start are new. */
const startMs = 5_000;

export interface CacheLearnerOptions {
  readonly client: TargetClient;
  readonly targets: () => TargetBook;
  readonly log: Log;
  readonly random: () => number;
}

export class CacheLearner {
  readonly #startedMs = performance.now();

  constructor(private readonly options: CacheLearnerOptions) {}

  /** An engine became known. */
  async registered(record: TargetRecord): Promise<void> {
    const { client, targets, log, random } = this.options;
    if (record.role === undefined) return;
    if (performance.now() - this.#startedMs > startMs) return;
    await sleep(random() * spreadMs);
    const parts = await client.listCache(record);
    parts
      .ifLeft(failure => {
        const reason = failure.message;
        log.event('cache_unlisted', { target: record.id, reason });
      })
      .ifRight(kept => {
        targets().find(record.id)?.cache.add(kept);
      });
  }
}
