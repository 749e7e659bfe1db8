/**
 * Access of a simulated engine in its own process to other engines and to the
 * weight store.
 */
import { formatModelKey } from '@medlarlever/core';
import { request } from 'undici';
import { z } from 'zod';

import type { CacheImporter, WeightLoader } from './engine-simulator.js';

/** Milliseconds after which the import of a KV cache fails. */
const cacheImportTimeoutMs = 2_000;
const exportedCacheSchema = z.object({ tokens: z.number() });

/**
 * Fetches an exported KV cache from another engine; `undefined` when that fails
 * in any way.
 */
export const importCacheOverHttp: CacheImporter = async ({ address, id }) => {
  try {
    const url = `http://${address}/kv/${encodeURIComponent(id)}`;
    const signal = AbortSignal.timeout(cacheImportTimeoutMs);
    const { statusCode, body } = await request(url, { signal });
    if (statusCode === 200) return exportedCacheSchema.parse(await body.json());
    await body.dump();
    return undefined;
  } catch {
    return undefined;
  }
};

/**
 * Creates a loader that reads model weights from the weight store at `url` and
 * discards them.
 */
export const createHttpWeightLoader =
  (url: string): WeightLoader =>
  async model => {
    const path = `/weights/${encodeURIComponent(formatModelKey(model))}`;
    const { body } = await request(new URL(path, url));
    await body.dump();
  };
