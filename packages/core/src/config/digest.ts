/** Canonical JSON and SHA-256 digests, by which immutable bodies are stored. */
import { createHash } from 'node:crypto';

const sortKeys = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value)
    .filter(([, item]) => item !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(
    entries.map(([key, item]) => [key, sortKeys(item)]),
  );
};

/** JSON text with sorted keys, so that equal values give equal text. */
export const toCanonicalJson = (value: unknown): string =>
  JSON.stringify(sortKeys(value));

/** SHA-256 of a text, in hexadecimal. */
export const computeDigest = (text: string): string =>
  createHash('sha256').update(text).digest('hex');
