/** A caller on an HTTP/1.1 connection. */
import type { ServerResponse } from 'node:http';

import type { Failure } from '@medlarlever/core';

import { Caller } from '../requests/relay-request.js';
import type { ResponseHead } from '../requests/relay-request.js';

const msPerSecond = 1_000;

export class HttpCaller extends Caller {
  readonly #response: ServerResponse;
  readonly #disconnectController = new AbortController();
  #hasBegun = false;
  #isCloseDelimited = false;

  /** `closing` tells whether the connection ends with this answer. */
  constructor(
    response: ServerResponse,
    private readonly isClosing: () => boolean,
  ) {
    super();
    this.#response = response;
    const { socket } = response;
    const onEnd = () => {
      this.#disconnectController.abort();
    };
    // Node closes its side then, too: no answer would arrive any more.
    socket?.once('end', onEnd);
    response.once('close', () => {
      socket?.off('end', onEnd);
      if (!response.writableFinished) this.#disconnectController.abort();
    });
  }

  override get disconnectSignal(): AbortSignal {
    return this.#disconnectController.signal;
  }

  override get hasStarted(): boolean {
    return this.#hasBegun;
  }

  override writeHead(head: ResponseHead): void {
    this.#hasBegun = true;
    this.#isCloseDelimited = head.isCloseDelimited;
    // An answer without a length is passed on as such: nobody knows here
    // whether it is whole.
    if (head.isCloseDelimited) {
      this.#response.useChunkedEncodingByDefault = false;
    }
    const headers = [...head.headers];
    if (head.isCloseDelimited || this.isClosing()) {
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
        this.#disconnectController.signal.removeEventListener('abort', done);
        resolve();
      };
      this.#response.once('drain', done);
      this.#disconnectController.signal.addEventListener('abort', done, {
        once: true,
      });
      if (this.#disconnectController.signal.aborted) done();
    });
  }

  override end(): void {
    this.#response.end();
  }

  override abortResponse(): void {
    const { socket } = this.#response;
    if (this.#isCloseDelimited) socket?.resetAndDestroy();
    else this.#response.destroy();
  }

  override sendFailure(failure: Failure): void {
    this.#sendFailure(failure, this.isClosing());
  }

  /** Refuses a request that was not read to its end. */
  refuseAndClose(failure: Failure): void {
    this.#sendFailure(failure, true);
  }

  #sendFailure(failure: Failure, close: boolean): void {
    this.#hasBegun = true;
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
