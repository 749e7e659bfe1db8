/** Asks engines what they keep when a restart has lost what was known. */
import { sleep } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { TargetClient } from '../relay/target-client.js';

import type { TargetRegistry } from './target-registry.js';
import type { TargetRecord } from './target-record.js';

/** Instances that start together do not ask an engine at the same moment. */
const startupJitterMs = 400;

/** Engines that register later than this after the start are new. */
const startupWindowMs = 5_000;

export interface PrefixCacheLoaderOptions {
  readonly client: TargetClient;
  readonly getTargets: () => TargetRegistry;
  readonly log: Log;
  readonly random: () => number;
}

export class PrefixCacheLoader {
  readonly #startedAtMs = performance.now();

  constructor(private readonly options: PrefixCacheLoaderOptions) {}

  /** An engine became known. */
  async loadCache(record: TargetRecord): Promise<void> {
    const { client, getTargets: targets, log, random } = this.options;
    if (record.role === undefined) return;
    if (performance.now() - this.#startedAtMs > startupWindowMs) return;
    await sleep(random() * startupJitterMs);
    const parts = await client.listCachedSegments(record);
    parts
      .ifLeft(failure => {
        const reason = failure.message;
        log.writeEvent('cache_unlisted', { target: record.id, reason });
      })
      .ifRight(kept => {
        targets().findTarget(record.id)?.prefixCache.addSegments(kept);
      });
  }
}
