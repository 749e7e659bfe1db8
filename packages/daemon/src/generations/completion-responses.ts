/** Answers of the completion interfaces, in OpenAI's shapes. */
import type { StreamEnd } from '@medlarlever/core';

import type { CompletionKind } from './completion-requests.js';

/** What every part of one answer repeats. */
export interface CompletionHead {
  readonly id: string;
  readonly kind: CompletionKind;
  /** Alias by which the caller asked. */
  readonly model: string;
  /** Unix seconds. */
  readonly created: number;
}

const toUsage = (end: StreamEnd) => ({
  prompt_tokens: end.promptTokens,
  completion_tokens: end.outputTokens,
  total_tokens: end.promptTokens + end.outputTokens,
});

const toFinishReason = (end: StreamEnd): string =>
  end.reason === 'length' ? 'length' : 'stop';

const toHeadFields = ({ id, model, created }: CompletionHead) => ({
  id,
  model,
  created,
});

/** One chunk of a streamed answer. */
export const buildChunk = (answer: CompletionHead, text: string) =>
  answer.kind === 'chat'
    ? {
        ...toHeadFields(answer),
        object: 'chat.completion.chunk',
        choices: [{ index: 0, delta: { content: text }, finish_reason: null }],
      }
    : {
        ...toHeadFields(answer),
        object: 'text_completion',
        choices: [{ index: 0, text, finish_reason: null }],
      };

/** Last chunk of a streamed answer. */
export const buildFinalChunk = (answer: CompletionHead, end: StreamEnd) =>
  answer.kind === 'chat'
    ? {
        ...toHeadFields(answer),
        object: 'chat.completion.chunk',
        choices: [{ index: 0, delta: {}, finish_reason: toFinishReason(end) }],
        usage: toUsage(end),
      }
    : {
        ...toHeadFields(answer),
        object: 'text_completion',
        choices: [{ index: 0, text: '', finish_reason: toFinishReason(end) }],
        usage: toUsage(end),
      };

/** The whole answer of a request without streaming. */
export const buildCompletion = (
  answer: CompletionHead,
  text: string,
  end: StreamEnd,
) =>
  answer.kind === 'chat'
    ? {
        ...toHeadFields(answer),
        object: 'chat.completion',
        choices: [
          {
            index: 0,
            message: { role: 'assistant', content: text },
            finish_reason: toFinishReason(end),
          },
        ],
        usage: toUsage(end),
      }
    : {
        ...toHeadFields(answer),
        object: 'text_completion',
        choices: [{ index: 0, text, finish_reason: toFinishReason(end) }],
        usage: toUsage(end),
      };
