/** Deterministic answers, so that tests can compare whole ones. */
import { createHash } from 'node:crypto';

import { formatModelKey } from '@medlarlever/core';
import type { ModelId } from '@medlarlever/core';

/** `[answer N]` in a prompt ends its answer after N tokens. */
const completionLengthPattern = /\[answer (\d+)\]/;

/** Gives the tokens of the answer to a prompt by their index. */
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

/** Text of token `index` of the answer to a prompt. */
export const getTokenText = (
  prompt: string,
  model: ModelId,
  index: number,
): string => createTokenWriter(prompt, model)(index);

/** Tokens that the whole answer has. */
export const countCompletionTokens = (
  prompt: string,
  maxTokens: number,
): number => {
  const wanted = completionLengthPattern.exec(prompt)?.[1];
  if (wanted === undefined) return maxTokens;
  return Math.min(maxTokens, Number(wanted));
};

/** The whole answer to a prompt. */
export const createCompletionText = (
  prompt: string,
  model: ModelId,
  maxTokens: number,
): string => {
  const tokens = countCompletionTokens(prompt, maxTokens);
  const write = createTokenWriter(prompt, model);
  return Array.from({ length: tokens }, (_, index) => write(index)).join('');
};

/** Body of a service's answer to its `run`-th execution of a call. */
export const createServiceAnswerBody = (
  operation: string,
  body: string,
  run: number,
): string => {
  const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
  return JSON.stringify({ operation, digest, run });
};
