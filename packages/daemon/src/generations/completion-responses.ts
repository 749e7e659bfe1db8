/** Answers of the completion interfaces, in OpenAI's shapes. */
import type { StreamEnd } from '@medlarlever/core';

import type { CompletionKind } from './completion-requests.js';

/** What every part of one answer repeats. */
export interface AnswerHead {
  readonly id: string;
  readonly kind: CompletionKind;
  /** Alias by which the caller asked. */
  readonly model: string;
  /** Unix seconds. */
  readonly created: number;
}

const usage = (end: StreamEnd) => ({
  prompt_tokens: end.promptTokens,
  completion_tokens: end.outputTokens,
  total_tokens: end.promptTokens + end.outputTokens,
});

const finishReason = (end: StreamEnd): string =>
  end.reason === 'length' ? 'length' : 'stop';

const head = ({ id, model, created }: AnswerHead) => ({ id, model, created });

/** One chunk of a streamed answer. */
export const chunkBody = (answer: AnswerHead, text: string) =>
  answer.kind === 'chat'
    ? {
        ...head(answer),
        object: 'chat.completion.chunk',
        choices: [{ index: 0, delta: { content: text }, finish_reason: null }],
      }
    : {
        ...head(answer),
        object: 'text_completion',
        choices: [{ index: 0, text, finish_reason: null }],
      };

/** Last chunk of a streamed answer. */
export const endBody = (answer: AnswerHead, end: StreamEnd) =>
  answer.kind === 'chat'
    ? {
        ...head(answer),
        object: 'chat.completion.chunk',
        choices: [{ index: 0, delta: {}, finish_reason: finishReason(end) }],
        usage: usage(end),
      }
    : {
        ...head(answer),
        object: 'text_completion',
        choices: [{ index: 0, text: '', finish_reason: finishReason(end) }],
        usage: usage(end),
      };

/** The whole answer of a request without streaming. */
export const wholeBody = (answer: AnswerHead, text: string, end: StreamEnd) =>
  answer.kind === 'chat'
    ? {
        ...head(answer),
        object: 'chat.completion',
        choices: [
          {
            index: 0,
            message: { role: 'assistant', content: text },
            finish_reason: finishReason(end),
          },
        ],
        usage: usage(end),
      }
    : {
        ...head(answer),
        object: 'text_completion',
        choices: [{ index: 0, text, finish_reason: finishReason(end) }],
        usage: usage(end),
      };
