/** Sends the items of a generation to its caller, streamed or as one body. */
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

/**
 * Collects the text of all chunks. Fails with the first failure item, or with
 * `internal` if the items end without a final item.
 */
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
  new Failure('internal', 'the stream closed before its final item', {
    executed: 'unknown',
  });

/** Collects all items and builds the response body. */
export const collectResponse = async (
  head: CompletionHead,
  items: AsyncIterable<AnswerItem>,
): Promise<Either<Failure, unknown>> => {
  const outcome = await collectText(items);
  return outcome.map(({ id, text, end }) =>
    buildCompletion({ ...head, id: id ?? head.id }, text, end),
  );
};

/**
 * Sends the response as server-sent events. A failure before the first item is
 * returned, so that the caller gets an error response with its HTTP status; a
 * later failure is sent as the last event.
 */
export const streamResponse = async (
  initialHead: CompletionHead,
  items: AsyncIterable<AnswerItem>,
  response: ServerResponse,
): Promise<Either<Failure, void>> => {
  const stream = new ServerEventStream(response);
  let head: CompletionHead | undefined;
  for await (const item of items) {
    if (item.kind === 'failure' && head === undefined)
      return Left(item.failure);
    if (head === undefined) {
      head =
        item.kind === 'started' ? { ...initialHead, id: item.id } : initialHead;
      stream.sendHead({ 'x-request-id': head.id });
    }
    const sendResult = await sendStreamItem(head, item, stream);
    if (sendResult.isLeft()) return sendResult;
    if (item.kind === 'end' || item.kind === 'failure') break;
  }
  if (head === undefined) return Left(createMissingEndFailure());
  stream.close();
  return Right(undefined);
};

const sendStreamItem = async (
  head: CompletionHead,
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
        data: buildChunk(head, item.chunk.text),
      });
    }
    case 'end': {
      const sendResult = await stream.sendEvent({
        data: buildFinalChunk(head, item.end),
      });
      return sendResult.isLeft()
        ? sendResult
        : stream.sendEvent({ data: '[DONE]' });
    }
  }
};
