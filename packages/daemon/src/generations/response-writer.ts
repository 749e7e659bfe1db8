/** Passes a generation's stream on to its caller, streamed or whole. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import type { AnswerItem, StreamEnd } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import {
  buildChunk,
  buildFinalChunk,
  buildCompletion,
} from './completion-responses.js';
import type { CompletionHead } from './completion-responses.js';
import { ServerEventStream } from './event-stream.js';

interface CollectedText {
  readonly id: string | undefined;
  readonly text: string;
  readonly end: StreamEnd;
}

/** Collects the whole text; the first failure ends it. */
export const collectText = async (
  items: AsyncIterable<AnswerItem>,
): Promise<Either<Failure, CollectedText>> => {
  const parts: string[] = [];
  let id: string | undefined;
  for await (const item of items) {
    if (item.kind === 'failure') return Left(item.failure);
    if (item.kind === 'started') id = item.id;
    if (item.kind === 'chunk') parts.push(item.chunk.text);
    if (item.kind === 'end') {
      return Right({ id, text: parts.join(''), end: item.end });
    }
  }
  return Left(createMissingEndFailure());
};

const createMissingEndFailure = () =>
  new Failure('internal', 'the stream ended without an end', {
    executed: 'unknown',
  });

/** The whole answer as one body. */
export const collectResponse = async (
  answer: CompletionHead,
  items: AsyncIterable<AnswerItem>,
): Promise<Either<Failure, unknown>> => {
  const outcome = await collectText(items);
  return outcome.map(({ id, text, end }) =>
    buildCompletion({ ...answer, id: id ?? answer.id }, text, end),
  );
};

/**
 * Streams the answer as server-sent events. A failure before the first item
 * is returned, so that it becomes an ordinary error answer; a later one is
 * sent as the last event.
 */
export const streamResponse = async (
  answer: CompletionHead,
  items: AsyncIterable<AnswerItem>,
  response: ServerResponse,
): Promise<Either<Failure, void>> => {
  const stream = new ServerEventStream(response);
  let head: CompletionHead | undefined;
  for await (const item of items) {
    if (item.kind === 'failure' && head === undefined)
      return Left(item.failure);
    if (head === undefined) {
      head = item.kind === 'started' ? { ...answer, id: item.id } : answer;
      stream.sendHead({ 'x-request-id': head.id });
    }
    const sent = await sendStreamItem(head, item, stream);
    if (sent.isLeft()) return sent;
    if (item.kind === 'end' || item.kind === 'failure') break;
  }
  if (head === undefined) return Left(createMissingEndFailure());
  stream.close();
  return Right(undefined);
};

const sendStreamItem = async (
  answer: CompletionHead,
  item: AnswerItem,
  stream: ServerEventStream,
): Promise<Either<Failure, void>> => {
  switch (item.kind) {
    case 'started':
    case 'heartbeat':
      return stream.sendHeartbeat();
    case 'failure':
      return stream.sendEvent({ data: item.failure.toBody() });
    case 'chunk': {
      const id = String(item.chunk.index);
      return stream.sendEvent({
        id,
        data: buildChunk(answer, item.chunk.text),
      });
    }
    case 'end': {
      const sent = await stream.sendEvent({
        data: buildFinalChunk(answer, item.end),
      });
      return sent.isLeft() ? sent : stream.sendEvent({ data: '[DONE]' });
    }
  }
};
