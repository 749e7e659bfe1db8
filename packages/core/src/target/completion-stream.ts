/** Streams of OpenAI-style completions as server-sent events. */
import { createParser } from 'eventsource-parser';
import { z } from 'zod';

import { modelKey } from './model-key.js';
import type { Generation, StreamItem } from './target.js';

/** Last event of a stream. */
const doneMark = '[DONE]';

/** Body of `POST /v1/completions`. */
export const completionRequestSchema = z.object({
  model: z.string(),
  /** The prompt, followed by the text to be continued. */
  prompt: z.string(),
  max_tokens: z.number().int().nonnegative(),
  stream: z.literal(true),
  priority: z.number().int(),
  /** Where the prompt ends and how many tokens its continuation has. */
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

/** One event of a stream. */
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

const transferOf = ({ cacheFrom, prefillOnly }: Generation) => {
  if (cacheFrom === undefined && prefillOnly !== true) return undefined;
  return {
    remote_address: cacheFrom?.address,
    remote_id: cacheFrom?.id,
    prefill_only: prefillOnly,
  };
};

export const toCompletionRequest = (
  generation: Generation,
): CompletionRequest => {
  const { prompt, continuation, maxTokens } = generation;
  return {
    model: modelKey(generation.model),
    prompt: prompt + (continuation?.text ?? ''),
    max_tokens: maxTokens - (continuation?.tokens ?? 0),
    stream: true,
    priority: generation.priority,
    continuation:
      continuation === undefined
        ? undefined
        : { prompt_characters: prompt.length, tokens: continuation.tokens },
    kv_transfer_params: transferOf(generation),
  };
};

/** Turns the events of one stream into items. */
class EventReader {
  constructor(private nextIndex: number) {}

  items(event: CompletionEvent): StreamItem[] {
    const [choice] = event.choices;
    const items: StreamItem[] = [];
    if (choice === undefined) return items;
    if (choice.text !== '') {
      const index = event.sequence_number ?? this.nextIndex;
      this.nextIndex = index + 1;
      items.push({ kind: 'chunk', chunk: { index, text: choice.text } });
    }
    if (choice.finish_reason == null) return items;
    const promptTokens = event.usage?.prompt_tokens ?? 0;
    const outputTokens = event.usage?.completion_tokens ?? this.nextIndex;
    const { finish_reason: reason } = choice;
    items.push({ kind: 'end', end: { reason, promptTokens, outputTokens } });
    return items;
  }
}

/** Reads a stream of server-sent events; comments become heartbeats. */
export async function* readCompletion(
  body: AsyncIterable<Uint8Array>,
  firstIndex: number,
): AsyncGenerator<StreamItem, void, undefined> {
  const reader = new EventReader(firstIndex);
  const decoder = new TextDecoder();
  let items: StreamItem[] = [];
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === doneMark) return;
      const event = completionEventSchema.parse(JSON.parse(data));
      items.push(...reader.items(event));
    },
    onComment: () => {
      items.push({ kind: 'heartbeat' });
    },
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, { stream: true }));
    const ready = items;
    items = [];
    yield* ready;
  }
}
