/**
 * Estimates the token count of a text and computes digests of its prefix
 * blocks.
 */
import { createHash } from 'node:crypto';

import { prefixBlockTokens } from '../target/target.js';
import type { ModelId } from '../target/target.js';

/** Average number of characters assumed per token. */
export const charactersPerToken = 4;

/** Estimates the number of tokens of a text, rounded up. */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / charactersPerToken);

const blockCharacters = prefixBlockTokens * charactersPerToken;

/** Number of bytes to which the SHA-256 digest of a block is truncated. */
const digestBytes = 16;

const digestBlock = (previousDigest: string, text: string): string =>
  createHash('sha256')
    .update(`${previousDigest}\n`)
    .update(text)
    .digest()
    .subarray(0, digestBytes)
    .toString('base64url');

/**
 * Returns the digests of the complete blocks of a prompt; a partial last block
 * has none. Each digest covers the model and all text up to the end of its
 * block, so that equal digests mean equal prefixes.
 */
export const digestPrefixBlocks = (
  model: ModelId,
  prompt: string,
): string[] => {
  const digests: string[] = [];
  let previousDigest = JSON.stringify([
    model.name,
    model.version,
    model.adapter,
  ]);
  for (
    let endIndex = blockCharacters;
    endIndex <= prompt.length;
    endIndex += blockCharacters
  ) {
    previousDigest = digestBlock(
      previousDigest,
      prompt.slice(endIndex - blockCharacters, endIndex),
    );
    digests.push(previousDigest);
  }
  return digests;
};
