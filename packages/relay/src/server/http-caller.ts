/** Caller on an HTTP/1.1 connection. */
import type { ServerResponse } from 'node:http';

import type { Failure } from '@medlarlever/core';

import { Caller } from '../requests/relay-request.js';
import type { ResponseHead } from '../requests/relay-request.js';
import { namesLength } from '../requests/response-length.js';

import { discardBody, sendFailureResponse } from './failure-response.js';

/** Options of a {@link HttpCaller}. */
export interface HttpCallerOptions {
  /** Returns true if the connection must close after this response. */
  readonly isClosing: () => boolean;
  /** Header that tells answers of targets from failures; none by default. */
  readonly resultHeader?: {
    readonly name: string;
    readonly answer: string;
    readonly failure: string;
  };
}

/**
 * Writes the response for one request to its HTTP/1.1 connection. A response without a
 * length is sent in chunks: the kernel closes the connections of a process that is killed in
 * the regular way, which must not look like the end of the response. A caller of HTTP/1.0
 * knows no chunks; there the end of the connection is all that ends such a response.
 */
export class HttpCaller extends Caller {
  readonly #response: ServerResponse;
  readonly #disconnectController = new AbortController();
  #hasStarted = false;
  #endsWithConnection = false;

  constructor(
    response: ServerResponse,
    private readonly options: HttpCallerOptions,
  ) {
    super();
    this.#response = response;
    const { socket } = response;
    const onEnd = () => {
      this.#disconnectController.abort();
    };
    // Node then closes its side as well, so no response can reach the caller.
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
    return this.#hasStarted;
  }

  override get bufferedBytes(): number {
    const { destroyed, writableFinished, writableLength } = this.#response;
    return destroyed || writableFinished ? 0 : writableLength;
  }

  override writeHead(head: ResponseHead): void {
    this.#hasStarted = true;
    this.#endsWithConnection =
      !this.#response.useChunkedEncodingByDefault && !namesLength(head);
    const headers = [...head.headers, ...this.#createResultHeader('answer')];
    if (this.options.isClosing()) headers.push('Connection', 'close');
    this.#response.writeHead(head.status, headers);
    this.#response.flushHeaders();
  }

  override write(chunk: Buffer): boolean {
    return this.#response.write(chunk);
  }

  override waitForDrain(): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        this.#response.off('drain', finish);
        this.#disconnectController.signal.removeEventListener('abort', finish);
        resolve();
      };
      this.#response.once('drain', finish);
      this.#disconnectController.signal.addEventListener('abort', finish, {
        once: true,
      });
      if (this.#disconnectController.signal.aborted) finish();
    });
  }

  /** Resolves when the connection has taken the whole response, or is closed. */
  waitUntilSent(): Promise<void> {
    const response = this.#response;
    if (response.writableFinished || response.destroyed)
      return Promise.resolve();
    return new Promise(resolve => {
      response.once('finish', resolve);
      response.once('close', resolve);
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
    this.#sendFailure(failure, this.options.isClosing());
  }

  /**
   * Sends a failure for a request whose body was not read completely, and closes
   * the connection once the caller has sent the rest, or after a second.
   */
  refuseAndClose(failure: Failure): void {
    this.#sendFailure(failure, true, discardBody(this.#response.req));
  }

  #createResultHeader(result: 'answer' | 'failure'): string[] {
    const { resultHeader } = this.options;
    return resultHeader === undefined
      ? []
      : [resultHeader.name, resultHeader[result]];
  }

  #sendFailure(
    failure: Failure,
    closesConnection: boolean,
    endsAfter?: Promise<void>,
  ): void {
    this.#hasStarted = true;
    sendFailureResponse(this.#response, failure, {
      headers: this.#createResultHeader('failure'),
      closesConnection,
      endsAfter,
    });
  }
}
