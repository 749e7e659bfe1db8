/** Prompt prefixes as the engines' caches name them. */
import { createHash } from 'node:crypto';

import { pieceTokens } from './target.js';
import type { ModelId } from './target.js';

/** Characters counted as one token in every estimate. */
export const charactersPerToken = 4;

/** Estimated tokens of a text. */
export const estimateTokens = (text: string): number =>
  Math.ceil(text.length / charactersPerToken);

const pieceCharacters = pieceTokens * charactersPerToken;

/** `name@version` with the adapter, as one text. */
export const modelKey = (model: ModelId): string =>
  `${model.name}@${model.version}${model.adapter === undefined ? '' : `+${model.adapter}`}`;

/**
 * Digests of the whole pieces of a prompt, the first piece first. Each digest
 * covers the model and all pieces before it.
 */
export const prefixPieces = (prompt: string, model: ModelId): string[] => {
  const pieces: string[] = [];
  let digest = modelKey(model);
  const whole = Math.floor(prompt.length / pieceCharacters);
  for (let piece = 0; piece < whole; piece += 1) {
    const start = piece * pieceCharacters;
    digest = createHash('sha256')
      .update(digest)
      .update(prompt.slice(start, start + pieceCharacters))
      .digest('base64url')
      .slice(0, 22);
    pieces.push(digest);
  }
  return pieces;
};
