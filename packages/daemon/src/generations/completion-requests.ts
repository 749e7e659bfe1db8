/** Bodies of the completion interfaces, in OpenAI's shapes. */
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

/** Which of the two interfaces the caller used. */
export type CompletionKind = 'chat' | 'completion';

/** A completion request, whichever interface it came by. */
export interface CompletionRequest {
  readonly kind: CompletionKind;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number | undefined;
  readonly stream: boolean;
}

type ChatMessage = z.infer<typeof messageSchema>;

const joinContentText = (content: ChatMessage['content']): string =>
  typeof content === 'string'
    ? content
    : content.map(part => part.text).join('');

/** Renders messages as one prompt that ends where the answer begins. */
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
  const checked = schema.safeParse(value);
  if (checked.success) return Right(checked.data);
  return Left(new Failure('invalid_request', formatIssues(checked.error)));
};

/** Checks the body of the interface named by `kind`. */
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
