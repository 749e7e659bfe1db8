/** Token estimates of a text and digests of its prefix pieces. */
import { createHash } from 'node:crypto';

import { prefixBlockTokens } from '../target/target.js';
import type { ModelId } from '../target/target.js';

/** Characters counted as one token. */
export const charactersPerToken = 4;

/** Estimated tokens of a text, rounded up. */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / charactersPerToken);

const blockCharacters = prefixBlockTokens * charactersPerToken;

/** Bytes of a SHA-256 that are kept of a piece's digest. */
const digestBytes = 16;

const digestBlock = (previous: string, text: string): string =>
  createHash('sha256')
    .update(`${previous}\n`)
    .update(text)
    .digest()
    .subarray(0, digestBytes)
    .toString('base64url');

/**
 * Digests of the whole pieces of a prompt. Each digest covers the model and
 * all pieces before it, so that an equal digest means an equal prefix.
 */
export const digestPrefixBlocks = (
  model: ModelId,
  prompt: string,
): string[] => {
  const pieces: string[] = [];
  let previous = JSON.stringify([model.name, model.version, model.adapter]);
  for (
    let end = blockCharacters;
    end <= prompt.length;
    end += blockCharacters
  ) {
    previous = digestBlock(previous, prompt.slice(end - blockCharacters, end));
    pieces.push(previous);
  }
  return pieces;
};
