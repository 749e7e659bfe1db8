/** Server-sent events toward one caller, with bounded buffering. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

const slowCallerMs = 30_000;

/** Fields of one event; `data` is sent as JSON unless it is text. */
export interface ServerEvent {
  readonly id?: string;
  readonly data: unknown;
}

export class EventStream {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Sends the head of the answer. */
  open(headers: Readonly<Record<string, string>>): void {
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      ...headers,
    });
    this.#response.flushHeaders();
  }

  /** Sends an event; waits while the caller reads too slowly. */
  async send({ id, data }: ServerEvent): Promise<Either<Failure, void>> {
    const text = typeof data === 'string' ? data : JSON.stringify(data);
    const prefix = id === undefined ? '' : `id: ${id}\n`;
    return this.#write(`${prefix}data: ${text}\n\n`);
  }

  /** Sends a comment that keeps the connection alive. */
  async heartbeat(): Promise<Either<Failure, void>> {
    return this.#write(': heartbeat\n\n');
  }

  close(): void {
    this.#response.end();
  }

  async #write(text: string): Promise<Either<Failure, void>> {
    const response = this.#response;
    if (response.destroyed) return Left(callerGone());
    if (response.write(text)) return Right(undefined);
    return drained(response);
  }
}

const callerGone = () =>
  new Failure('caller_gone', 'the caller closed the connection', {
    executed: 'unknown',
  });

const drained = (response: ServerResponse): Promise<Either<Failure, void>> =>
  new Promise(resolve => {
    const settle = (outcome: Either<Failure, void>) => {
      clearTimeout(timer);
      response.off('drain', onDrain);
      response.off('close', onClose);
      resolve(outcome);
    };
    const onDrain = () => {
      settle(Right(undefined));
    };
    const onClose = () => {
      settle(Left(callerGone()));
    };
    const timer = setTimeout(() => {
      const reason = 'the caller read nothing for too long';
      settle(Left(new Failure('slow_caller', reason, { executed: 'unknown' })));
    }, slowCallerMs);
    response.on('drain', onDrain);
    response.on('close', onClose);
  });
