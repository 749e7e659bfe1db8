/** Reads a request's body as bytes, within limits of size, time and memory. */
import type { IncomingMessage } from 'node:http';

import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Bytes of bodies that are held at the same time. */
const maxBufferedBytes = 64 * 1024 * 1024;

const overloadRetryAfterMs = 500;

export interface BodyLimits {
  readonly maxBytes: number;
  /** Longest pause between two pieces of a body. */
  readonly maxPauseMs: number;
}

export class BodyReader {
  #bufferedBytes = 0;

  /** Bytes held at present. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /** The whole body; the caller of this releases its bytes when done. */
  readBody(
    message: IncomingMessage,
    limits: BodyLimits,
  ): Promise<Either<Failure, Buffer>> {
    return new Promise(resolve => {
      const chunks: Buffer[] = [];
      let size = 0;
      const finish = (result: Either<Failure, Buffer>) => {
        clearTimeout(timer);
        message.off('data', onData);
        if (result.isLeft()) this.releaseBytes(size);
        resolve(result);
      };
      const onData = (chunk: Buffer) => {
        size += chunk.length;
        this.#bufferedBytes += chunk.length;
        chunks.push(chunk);
        timer.refresh();
        if (size > limits.maxBytes)
          finish(Left(createTooLargeFailure(limits.maxBytes)));
        else if (this.#bufferedBytes > maxBufferedBytes)
          finish(Left(createOverloadedFailure()));
      };
      const timer = setTimeout(() => {
        finish(Left(createTimeoutFailure()));
      }, limits.maxPauseMs);
      message.on('data', onData);
      message.once('end', () => {
        finish(Right(Buffer.concat(chunks)));
      });
      message.once('close', () => {
        finish(Left(createCallerGoneFailure()));
      });
    });
  }

  /** Gives back the bytes of a body. */
  releaseBytes(bytes: number): void {
    this.#bufferedBytes -= bytes;
  }
}

const createTooLargeFailure = (bytes: number) =>
  new Failure('body_too_large', `the body is longer than ${bytes} bytes`);

const createOverloadedFailure = () =>
  new Failure('overloaded', 'too many bytes of requests are under way', {
    retryAfterMs: overloadRetryAfterMs,
  });

const createTimeoutFailure = () =>
  new Failure('request_timeout', 'the body did not arrive in time');

const createCallerGoneFailure = () =>
  new Failure('caller_gone', 'the caller left before its body was whole');
