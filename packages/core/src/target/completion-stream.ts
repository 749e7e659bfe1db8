/** OpenAI-style completion requests and their server-sent event streams. */
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

import { formatModelKey } from './model-key.js';
import type { GenerationTask, StreamItem } from './target.js';

/** Data of the last event of a stream. */
const doneMarker = '[DONE]';

/** Longest event, in characters; it is held until its end has arrived. */
const maxEventLength = 1024 * 1024;

/** Body of `POST /v1/completions`. */
export const completionRequestSchema = z.object({
  model: z.string(),
  /** The prompt, followed by the text to continue. */
  prompt: z.string(),
  max_tokens: z.number().int().nonnegative(),
  stream: z.literal(true),
  priority: z.number().int(),
  /** Length of the original prompt and tokens of the text to continue. */
  continuation: z
    .object({
      prompt_characters: z.number().int().nonnegative(),
      tokens: z.number().int().nonnegative(),
    })
    .optional(),
  kv_transfer_params: z
    .object({
      remote_address: z.string().optional(),
      remote_id: z.string().optional(),
      prefill_only: z.boolean().optional(),
    })
    .optional(),
});
export type CompletionRequest = z.infer<typeof completionRequestSchema>;

/** Data of one event of a stream. */
export const completionEventSchema = z.object({
  sequence_number: z.number().int().nonnegative().optional(),
  choices: z
    .array(
      z.object({
        text: z.string(),
        finish_reason: z
          .enum(['stop', 'length', 'cancelled', 'moved'])
          .nullish(),
      }),
    )
    .min(1),
  usage: z
    .object({
      prompt_tokens: z.number().int(),
      completion_tokens: z.number().int(),
    })
    .nullish(),
});
export type CompletionEvent = z.infer<typeof completionEventSchema>;

const toKvTransferParams = ({ cacheFrom, isPrefillOnly }: GenerationTask) => {
  if (cacheFrom === undefined && isPrefillOnly !== true) return undefined;
  return {
    remote_address: cacheFrom?.address,
    remote_id: cacheFrom?.id,
    prefill_only: isPrefillOnly,
  };
};

/** Converts a task to the request body for an engine. */
export const toCompletionRequest = (
  generation: GenerationTask,
): CompletionRequest => {
  const { prompt, continuation, maxTokens } = generation;
  return {
    model: formatModelKey(generation.model),
    prompt: prompt + (continuation?.text ?? ''),
    max_tokens: maxTokens - (continuation?.tokens ?? 0),
    stream: true,
    priority: generation.priority,
    continuation:
      continuation === undefined
        ? undefined
        : { prompt_characters: prompt.length, tokens: continuation.tokens },
    kv_transfer_params: toKvTransferParams(generation),
  };
};

/** Converts the events of one stream to items. */
class CompletionEventReader {
  constructor(private nextChunkIndex: number) {}

  toStreamItems(event: CompletionEvent): StreamItem[] {
    const [choice] = event.choices;
    const items: StreamItem[] = [];
    if (choice === undefined) return items;
    if (choice.text !== '') {
      const index = event.sequence_number ?? this.nextChunkIndex;
      this.nextChunkIndex = index + 1;
      items.push({ kind: 'chunk', chunk: { index, text: choice.text } });
    }
    if (choice.finish_reason == null) return items;
    const promptTokens = event.usage?.prompt_tokens ?? 0;
    const outputTokens = event.usage?.completion_tokens ?? this.nextChunkIndex;
    const { finish_reason: reason } = choice;
    items.push({ kind: 'end', end: { reason, promptTokens, outputTokens } });
    return items;
  }
}

/**
 * Reads server-sent events as items; comments become heartbeats. `firstIndex` is
 * the index of the first chunk when events have no sequence number. Throws on a
 * malformed event and on one that is too long.
 */
export async function* readCompletionStream(
  body: AsyncIterable<Uint8Array>,
  firstIndex: number,
): AsyncGenerator<StreamItem, void, undefined> {
  const reader = new CompletionEventReader(firstIndex);
  const decoder = new TextDecoder();
  let items: StreamItem[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === doneMarker) return;
      const event = completionEventSchema.parse(JSON.parse(data));
      items.push(...reader.toStreamItems(event));
    },
    onComment: () => {
      items.push({ kind: 'heartbeat' });
    },
    onError: error => {
      if (error.type === 'max-buffer-size-exceeded') throw error;
    },
    maxBufferSize: maxEventLength,
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    const parsedItems = items;
    items = [];
    yield* parsedItems;
  }
}
