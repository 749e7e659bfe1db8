/** Validates request bodies of the OpenAI-compatible completion interfaces. */
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

const commonFields = {
  model: z.string().min(1).max(256),
  max_tokens: z.number().int().min(1).optional(),
  max_completion_tokens: z.number().int().min(1).optional(),
  stream: z.boolean().default(false),
  temperature: z.number().min(0).max(2).optional(),
  top_p: z.number().min(0).max(1).optional(),
  seed: z.number().int().optional(),
  n: z.literal(1).optional(),
  user: z.string().max(256).optional(),
};

const textPartSchema = z.object({ type: z.literal('text'), text: z.string() });

const messageSchema = z.object({
  role: z.enum(['system', 'developer', 'user', 'assistant']),
  content: z.union([z.string(), z.array(textPartSchema)]),
});

const chatBodySchema = z.object({
  ...commonFields,
  messages: z.array(messageSchema).min(1).max(10_000),
});

const completionBodySchema = z.object({
  ...commonFields,
  prompt: z.string().min(1),
});

/** Interface that the caller used: chat completions or completions. */
export type CompletionKind = 'chat' | 'completion';

/** A validated request, in one form for both interfaces. */
export interface CompletionRequest {
  readonly kind: CompletionKind;
  /** Model alias as sent by the caller. */
  readonly model: string;
  readonly prompt: string;
  /** Maximum number of output tokens, if the caller set one. */
  readonly maxTokens: number | undefined;
  /** True if the caller asked for server-sent events. */
  readonly stream: boolean;
}

type ChatMessage = z.infer<typeof messageSchema>;

const joinContentText = (content: ChatMessage['content']): string =>
  typeof content === 'string'
    ? content
    : content.map(part => part.text).join('');

/**
 * Joins chat messages into one prompt with a role marker before each message.
 * The prompt ends with the marker of the assistant, whose text the model adds.
 */
export const renderChatPrompt = (messages: readonly ChatMessage[]): string => {
  const turns = messages.map(
    ({ role, content }) => `<|${role}|>\n${joinContentText(content)}\n`,
  );
  return `${turns.join('')}<|assistant|>\n`;
};

const formatIssues = (error: z.ZodError): string =>
  error.issues
    .map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
    .join('; ');

const validateBody = <T>(
  schema: z.ZodType<T>,
  value: unknown,
): Either<Failure, T> => {
  const parsed = schema.safeParse(value);
  if (parsed.success) return Right(parsed.data);
  return Left(new Failure('invalid_request', formatIssues(parsed.error)));
};

/**
 * Validates the body of a request to the interface `kind`. Fails with
 * `invalid_request`, naming every invalid field.
 */
export const parseCompletionRequest = (
  kind: CompletionKind,
  value: unknown,
): Either<Failure, CompletionRequest> => {
  if (kind === 'chat') {
    return validateBody(chatBodySchema, value).map(body => ({
      kind,
      model: body.model,
      prompt: renderChatPrompt(body.messages),
      maxTokens: body.max_completion_tokens ?? body.max_tokens,
      stream: body.stream,
    }));
  }
  return validateBody(completionBodySchema, value).map(body => ({
    kind,
    model: body.model,
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    stream: body.stream,
  }));
};
