/** What surrounds the simulated engine in a process of its own. */
import { formatModelKey } from '@medlarlever/core';
import { request } from 'undici';
import { z } from 'zod';

import type { CacheImporter, WeightLoader } from './engine-simulator.js';

const cacheImportTimeoutMs = 2_000;
const exportedCacheSchema = z.object({ tokens: z.number() });

/** Fetches exported caches from the other engines. */
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

/** Loads weights from the store at `url`. */
export const createHttpWeightLoader =
  (url: string): WeightLoader =>
  async model => {
    const path = `/weights/${encodeURIComponent(formatModelKey(model))}`;
    const { body } = await request(new URL(path, url));
    await body.dump();
  };
