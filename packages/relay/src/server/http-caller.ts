/** A caller on an HTTP/1.1 connection. */
import type { ServerResponse } from 'node:http';

import type { Failure } from '@medlarlever/core';

import { Caller } from '../requests/relay-request.js';
import type { ResponseHead } from '../requests/relay-request.js';

const msPerSecond = 1_000;

export class HttpCaller extends Caller {
  readonly #response: ServerResponse;
  readonly #leaving = new AbortController();
  #begun = false;
  #endsWithConnection = false;

  /** `closing` tells whether the connection ends with this answer. */
  constructor(
    response: ServerResponse,
    private readonly closing: () => boolean,
  ) {
    super();
    this.#response = response;
    const { socket } = response;
    const onEnd = () => {
      this.#leaving.abort();
    };
    // Node closes its side then, too: no answer would arrive any more.
    socket?.once('end', onEnd);
    response.once('close', () => {
      socket?.off('end', onEnd);
      if (!response.writableFinished) this.#leaving.abort();
    });
  }

  override get disconnectSignal(): AbortSignal {
    return this.#leaving.signal;
  }

  override get hasStarted(): boolean {
    return this.#begun;
  }

  override writeHead(head: ResponseHead): void {
    this.#begun = true;
    this.#endsWithConnection = head.isCloseDelimited;
    // An answer without a length is passed on as such: nobody knows here
    // whether it is whole.
    if (head.isCloseDelimited) {
      this.#response.useChunkedEncodingByDefault = false;
    }
    const headers = [...head.headers];
    if (head.isCloseDelimited || this.closing()) {
      headers.push('Connection', 'close');
    }
    this.#response.writeHead(head.status, headers);
    this.#response.flushHeaders();
  }

  override write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  override waitForDrain(): Promise<void> {
    return new Promise(resolve => {
      const done = () => {
        this.#response.off('drain', done);
        this.#leaving.signal.removeEventListener('abort', done);
        resolve();
      };
      this.#response.once('drain', done);
      this.#leaving.signal.addEventListener('abort', done, { once: true });
      if (this.#leaving.signal.aborted) done();
    });
  }

  override end(): void {
    this.#response.end();
  }

  override abortResponse(): void {
    const { socket } = this.#response;
    if (this.#endsWithConnection) socket?.resetAndDestroy();
    else this.#response.destroy();
  }

  override sendFailure(failure: Failure): void {
    this.#refuse(failure, this.closing());
  }

  /** Refuses a request that was not read to its end. */
  refuseAndClose(failure: Failure): void {
    this.#refuse(failure, true);
  }

  #refuse(failure: Failure, close: boolean): void {
    this.#begun = true;
    const body = JSON.stringify(failure.toBody());
    const headers = [
      'Content-Type',
      'application/json',
      'Content-Length',
      String(Buffer.byteLength(body)),
    ];
    if (failure.retryAfterMs !== undefined) {
      const seconds = failure.retryAfterMs / msPerSecond;
      headers.push('Retry-After', seconds.toFixed(3));
    }
    if (close) headers.push('Connection', 'close');
    this.#response.writeHead(failure.status, headers);
    this.#response.end(body);
  }
}
