/** Deterministic answers, so that tests can compare whole ones. */
import { createHash } from 'node:crypto';

import { formatModelKey } from '@medlarlever/core';
import type { ModelId } from '@medlarlever/core';

/** `[answer N]` in a prompt ends its answer after N tokens. */
const answerPattern = /\[answer (\d+)\]/;

/** Gives the tokens of the answer to a prompt by their index. */
export const answerWriter = (
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
export const answerText = (
  prompt: string,
  model: ModelId,
  index: number,
): string => answerWriter(prompt, model)(index);

/** Tokens that the whole answer has. */
export const answerTokens = (prompt: string, maxTokens: number): number => {
  const wanted = answerPattern.exec(prompt)?.[1];
  if (wanted === undefined) return maxTokens;
  return Math.min(maxTokens, Number(wanted));
};

/** The whole answer to a prompt. */
export const wholeAnswer = (
  prompt: string,
  model: ModelId,
  maxTokens: number,
): string => {
  const tokens = answerTokens(prompt, maxTokens);
  const write = answerWriter(prompt, model);
  return Array.from({ length: tokens }, (_, index) => write(index)).join('');
};

/** Body of a service's answer to its `run`-th execution of a call. */
export const serviceAnswerText = (
  operation: string,
  body: string,
  run: number,
): string => {
  const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
  return JSON.stringify({ operation, digest, run });
};
