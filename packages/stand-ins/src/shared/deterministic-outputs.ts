/**
 * Deterministic answers of engines and services, so that tests can compare
 * complete answers.
 */
import { createHash } from 'node:crypto';

import { formatModelKey } from '@medlarlever/core';
import type { ModelId } from '@medlarlever/core';

/** `[answer N]` in a prompt limits the answer to N tokens. */
const completionLengthPattern = /\[answer (\d+)\]/;

/**
 * Returns a function that gives the text of token `index` of the answer to the
 * prompt.
 */
export const createTokenWriter = (
  prompt: string,
  model: ModelId,
): ((index: number) => string) => {
  const digest = createHash('sha256')
    .update(formatModelKey(model))
    .update(prompt)
    .digest('hex')
    .slice(0, 8);
  return index => `${digest}-${index} `;
};

/** Returns the text of token `index` of the answer to a prompt. */
export const getTokenText = (
  prompt: string,
  model: ModelId,
  index: number,
): string => createTokenWriter(prompt, model)(index);

/** Returns the number of tokens of the complete answer. */
export const countCompletionTokens = (
  prompt: string,
  maxTokens: number,
): number => {
  const requestedTokens = completionLengthPattern.exec(prompt)?.[1];
  if (requestedTokens === undefined) return maxTokens;
  return Math.min(maxTokens, Number(requestedTokens));
};

/** Returns the complete answer to a prompt. */
export const createCompletionText = (
  prompt: string,
  model: ModelId,
  maxTokens: number,
): string => {
  const tokens = countCompletionTokens(prompt, maxTokens);
  const writeToken = createTokenWriter(prompt, model);
  return Array.from({ length: tokens }, (_, index) => writeToken(index)).join(
    '',
  );
};

/**
 * Returns the body of a service's answer to execution number `run` of a call,
 * counted from 1.
 */
export const createServiceAnswerBody = (
  operation: string,
  body: string,
  run: number,
): string => {
  const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
  return JSON.stringify({ operation, digest, run });
};
