/** Passes a generation's stream on to its caller, streamed or whole. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import type { AnswerItem, StreamEnd } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { chunkBody, endBody, wholeBody } from './completion-responses.js';
import type { AnswerHead } from './completion-responses.js';
import { EventStream } from './event-stream.js';

interface WholeAnswer {
  readonly id: string | undefined;
  readonly text: string;
  readonly end: StreamEnd;
}

/** Collects the whole text; the first failure ends it. */
export const collect = async (
  items: AsyncIterable<AnswerItem>,
): Promise<Either<Failure, WholeAnswer>> => {
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
  return Left(endless());
};

const endless = () =>
  new Failure('internal', 'the stream ended without an end', {
    executed: 'unknown',
  });

/** The whole answer as one body. */
export const relayWhole = async (
  answer: AnswerHead,
  items: AsyncIterable<AnswerItem>,
): Promise<Either<Failure, unknown>> => {
  const outcome = await collect(items);
  return outcome.map(({ id, text, end }) =>
    wholeBody({ ...answer, id: id ?? answer.id }, text, end),
  );
};

/**
 * Streams the answer as server-sent events. A failure before the first item
 * is returned, so that it becomes an ordinary error answer; a later one is
 * sent as the last event.
 */
export const relayStream = async (
  answer: AnswerHead,
  items: AsyncIterable<AnswerItem>,
  response: ServerResponse,
): Promise<Either<Failure, void>> => {
  const stream = new EventStream(response);
  let head: AnswerHead | undefined;
  for await (const item of items) {
    if (item.kind === 'failure' && head === undefined)
      return Left(item.failure);
    if (head === undefined) {
      head = item.kind === 'started' ? { ...answer, id: item.id } : answer;
      stream.open({ 'x-request-id': head.id });
    }
    const sent = await sendItem(head, item, stream);
    if (sent.isLeft()) return sent;
    if (item.kind === 'end' || item.kind === 'failure') break;
  }
  if (head === undefined) return Left(endless());
  stream.close();
  return Right(undefined);
};

const sendItem = async (
  answer: AnswerHead,
  item: AnswerItem,
  stream: EventStream,
): Promise<Either<Failure, void>> => {
  switch (item.kind) {
    case 'started':
    case 'heartbeat':
      return stream.heartbeat();
    case 'failure':
      return stream.send({ data: item.failure.toBody() });
    case 'chunk': {
      const id = String(item.chunk.index);
      return stream.send({ id, data: chunkBody(answer, item.chunk.text) });
    }
    case 'end': {
      const sent = await stream.send({ data: endBody(answer, item.end) });
      return sent.isLeft() ? sent : stream.send({ data: '[DONE]' });
    }
  }
};
