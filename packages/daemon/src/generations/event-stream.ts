/** Server-sent events toward one caller, with bounded buffering. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

const slowCallerTimeoutMs = 30_000;

/** Fields of one event; `data` is sent as JSON unless it is text. */
export interface ServerEvent {
  readonly id?: string;
  readonly data: unknown;
}

export class ServerEventStream {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Sends the head of the answer. */
  sendHead(headers: Readonly<Record<string, string>>): void {
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      ...headers,
    });
    this.#response.flushHeaders();
  }

  /** Sends an event; waits while the caller reads too slowly. */
  async sendEvent({ id, data }: ServerEvent): Promise<Either<Failure, void>> {
    const text = typeof data === 'string' ? data : JSON.stringify(data);
    const prefix = id === undefined ? '' : `id: ${id}\n`;
    return this.#write(`${prefix}data: ${text}\n\n`);
  }

  /** Sends a comment that keeps the connection alive. */
  async sendHeartbeat(): Promise<Either<Failure, void>> {
    return this.#write(': heartbeat\n\n');
  }

  close(): void {
    this.#response.end();
  }

  async #write(text: string): Promise<Either<Failure, void>> {
    const response = this.#response;
    if (response.destroyed) return Left(createCallerGoneFailure());
    if (response.write(text)) return Right(undefined);
    return waitForDrain(response);
  }
}

const createCallerGoneFailure = () =>
  new Failure('caller_gone', 'the caller closed the connection', {
    executed: 'unknown',
  });

const waitForDrain = (
  response: ServerResponse,
): Promise<Either<Failure, void>> =>
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
      settle(Left(createCallerGoneFailure()));
    };
    const timer = setTimeout(() => {
      const reason = 'the caller read nothing for too long';
      settle(Left(new Failure('slow_caller', reason, { executed: 'unknown' })));
    }, slowCallerTimeoutMs);
    response.on('drain', onDrain);
    response.on('close', onClose);
  });
