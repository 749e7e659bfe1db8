/** Sends server-sent events to one caller, with bounded buffering. */
import type { ServerResponse } from 'node:http';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Longest wait for a caller whose connection accepts no further data. */
const slowCallerTimeoutMs = 30_000;

/** One event. `data` is sent unchanged if it is a string, otherwise as JSON. */
export interface ServerEvent {
  readonly id?: string;
  readonly data: unknown;
}

/**
 * Writes events to an HTTP response. Sending fails with `caller_gone` after the
 * caller has closed the connection, and with `slow_caller` if the caller reads
 * nothing for 30 seconds.
 */
export class ServerEventStream {
  readonly #response: ServerResponse;

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  /** Sends status 200, the headers of an event stream and `headers`. */
  sendHead(headers: Readonly<Record<string, string>>): void {
    this.#response.writeHead(200, {
      'content-type': 'text/event-stream; charset=utf-8',
      'cache-control': 'no-store',
      ...headers,
    });
    this.#response.flushHeaders();
  }

  /** Sends an event and waits while the send buffer of the response is full. */
  async sendEvent({ id, data }: ServerEvent): Promise<Either<Failure, void>> {
    const text = typeof data === 'string' ? data : JSON.stringify(data);
    const prefix = id === undefined ? '' : `id: ${id}\n`;
    return this.#write(`${prefix}data: ${text}\n\n`);
  }

  /** Sends a comment that keeps the connection alive. */
  async sendHeartbeat(): Promise<Either<Failure, void>> {
    return this.#write(': heartbeat\n\n');
  }

  /** Ends the response. */
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

/** Waits until the send buffer is empty, the caller disconnects or a timeout. */
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
      const reason =
        'the caller read too slowly: its send buffer stayed full for 30 s';
      settle(Left(new Failure('slow_caller', reason, { executed: 'unknown' })));
    }, slowCallerTimeoutMs);
    response.on('drain', onDrain);
    response.on('close', onClose);
  });
