/** Digests by which immutable bodies are stored and compared. */
import { createHash } from 'node:crypto';

const sorted = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(sorted);
  if (typeof value !== 'object' || value === null) return value;
  const entries = Object.entries(value)
    .filter(([, part]) => part !== undefined)
    .sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([key, part]) => [key, sorted(part)]));
};

/** JSON text that is the same for equal values. */
export const canonicalJson = (value: unknown): string =>
  JSON.stringify(sorted(value));

/** SHA-256 of a text, in hexadecimal. */
export const digestOf = (text: string): string =>
  createHash('sha256').update(text).digest('hex');
