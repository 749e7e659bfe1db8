/** What surrounds the simulated engine in a process of its own. */
import { formatModelKey } from '@medlarlever/core';
import { request } from 'undici';
import { z } from 'zod';

import type { CacheImport, WeightLoad } from './engine-simulator.js';

const importTimeoutMs = 2_000;
const exportedCacheSchema = z.object({ tokens: z.number() });

/** Fetches exported caches from the other engines. */
export const importOverHttp: CacheImport = async ({ address, id }) => {
  try {
    const url = `http://${address}/kv/${encodeURIComponent(id)}`;
    const signal = AbortSignal.timeout(importTimeoutMs);
    const { statusCode, body } = await request(url, { signal });
    if (statusCode === 200) return exportedCacheSchema.parse(await body.json());
    await body.dump();
    return undefined;
  } catch {
    return undefined;
  }
};

/** Loads weights from the store at `url`. */
export const loadOverHttp =
  (url: string): WeightLoad =>
  async model => {
    const path = `/weights/${encodeURIComponent(formatModelKey(model))}`;
    const { body } = await request(new URL(path, url));
    await body.dump();
  };
