/** Builds the response bodies of the OpenAI-compatible completion interfaces. */
import type { StreamEnd } from '@medlarlever/core';

import type { CompletionKind } from './completion-requests.js';

/** Fields that every chunk of one response repeats. */
export interface CompletionHead {
  /** Id of the stream, by which the caller can resume it. */
  readonly id: string;
  readonly kind: CompletionKind;
  /** Model alias as sent by the caller; empty for a resumed stream. */
  readonly model: string;
  /** Seconds since the Unix epoch. */
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

/** Builds one chunk of a streamed response. */
export const buildChunk = (head: CompletionHead, text: string) =>
  head.kind === 'chat'
    ? {
        ...toHeadFields(head),
        object: 'chat.completion.chunk',
        choices: [{ index: 0, delta: { content: text }, finish_reason: null }],
      }
    : {
        ...toHeadFields(head),
        object: 'text_completion',
        choices: [{ index: 0, text, finish_reason: null }],
      };

/** Builds the last chunk of a streamed response, with its token counts. */
export const buildFinalChunk = (head: CompletionHead, end: StreamEnd) =>
  head.kind === 'chat'
    ? {
        ...toHeadFields(head),
        object: 'chat.completion.chunk',
        choices: [{ index: 0, delta: {}, finish_reason: toFinishReason(end) }],
        usage: toUsage(end),
      }
    : {
        ...toHeadFields(head),
        object: 'text_completion',
        choices: [{ index: 0, text: '', finish_reason: toFinishReason(end) }],
        usage: toUsage(end),
      };

/** Builds the complete response of a request without streaming. */
export const buildCompletion = (
  head: CompletionHead,
  text: string,
  end: StreamEnd,
) =>
  head.kind === 'chat'
    ? {
        ...toHeadFields(head),
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
        ...toHeadFields(head),
        object: 'text_completion',
        choices: [{ index: 0, text, finish_reason: toFinishReason(end) }],
        usage: toUsage(end),
      };
